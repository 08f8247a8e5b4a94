"""Settings for all tests: known failures, the check for leftover threads, and repeatable runs."""

from __future__ import annotations

import pytest
from hypothesis import settings

from tests import known_red
from tests.known_red import pytest_collection_modifyitems
from tests.threads import stop_and_check_threads

# Hypothesis generates the same examples in each run, unless a test sets its own `derandomize`.
settings.register_profile("repeatable", derandomize=True)
settings.load_profile("repeatable")

__all__ = ["pytest_collection_modifyitems", "pytest_terminal_summary", "stop_and_check_threads"]


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the known failures, and the option that repeats the run in the same order."""
    known_red.pytest_terminal_summary(terminalreporter, config)
    terminalreporter.write_line(f"order of the tests: --randomly-seed={config.getoption('randomly_seed')}")
