"""Marks the tests that `KNOWN-RED.txt` lists as expected failures.

Each line of the file is `test id | cause | issue`. The summary of a run prints all of them. A run fails if a
listed test passes or does not exist, or if the list has more than three lines.
"""

from __future__ import annotations

from pathlib import Path

import pytest

MAX_KNOWN_RED = 3  # fix listed tests before more are added
FILE_NAME = "KNOWN-RED.txt"
LINE_FORMAT = "test id | cause | issue"


def read_known_red(root: Path) -> dict[str, str]:
    """Return cause and issue of each listed test by id. Raises UsageError for a missing or invalid file."""
    file = root / FILE_NAME
    if not file.exists():
        raise pytest.UsageError(f"{FILE_NAME}: missing; it may be empty")
    listed: dict[str, str] = {}
    for number, line in enumerate(filter(str.strip, file.read_text().splitlines()), 1):
        columns = [column.strip() for column in line.split("|")]
        if len(columns) != LINE_FORMAT.count("|") + 1 or not all(columns):
            raise pytest.UsageError(f"{FILE_NAME}: line {number}: '{LINE_FORMAT}' expected, found {line!r}")
        if number > MAX_KNOWN_RED:
            raise pytest.UsageError(f"{FILE_NAME}: line {number}: {MAX_KNOWN_RED} lines at most")
        test_id, cause, issue = columns
        if test_id in listed:
            raise pytest.UsageError(f"{FILE_NAME}: line {number}: the test is listed twice: {test_id}")
        listed[test_id] = f"{cause} (issue {issue})"
    return listed


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures."""
    collected = {item.nodeid: item for item in items}
    is_whole_suite = config.args == config.getini("testpaths")  # else listed tests may be left out
    for test_id, reason in read_known_red(config.rootpath).items():
        if test_id in collected:
            collected[test_id].add_marker(pytest.mark.xfail(reason=reason, strict=True))
        elif is_whole_suite:
            raise pytest.UsageError(f"{FILE_NAME}: no such test: {test_id}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the listed tests with cause and issue."""
    for test_id, reason in read_known_red(config.rootpath).items():
        terminalreporter.write_line(f"known red: {test_id}: {reason}")
