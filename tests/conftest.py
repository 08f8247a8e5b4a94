"""What pytest applies to all tests: the list of known failures, and the check for leftover threads."""

from __future__ import annotations

from tests.known_red import pytest_collection_modifyitems, pytest_terminal_summary
from tests.threads import fail_on_leftover_threads

__all__ = ["fail_on_leftover_threads", "pytest_collection_modifyitems", "pytest_terminal_summary"]
