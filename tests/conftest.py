"""What applies to all tests: known failures, the check for threads, and seeds that make runs repeatable."""

from __future__ import annotations

import pytest
from hypothesis import settings

from tests import known_red
from tests.known_red import pytest_collection_modifyitems
from tests.threads import stop_and_check_threads

# The same examples in each run; a test that sets its own `derandomize` goes by that.
settings.register_profile("repeatable", derandomize=True)
settings.load_profile("repeatable")

__all__ = ["pytest_collection_modifyitems", "pytest_terminal_summary", "stop_and_check_threads"]


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the known failures, and the option that runs the tests in this order once more."""
    known_red.pytest_terminal_summary(terminalreporter, config)
    terminalreporter.write_line(f"order of the tests: --randomly-seed={config.getoption('randomly_seed')}")
