"""What pytest applies to all tests: the list of known failures."""

from __future__ import annotations

from tests.known_red import pytest_collection_modifyitems, pytest_terminal_summary

__all__ = ["pytest_collection_modifyitems", "pytest_terminal_summary"]
