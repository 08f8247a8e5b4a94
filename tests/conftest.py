"""Tests that are known to fail for a real fault: `KNOWN-RED.txt`, a line each, `test id | cause | issue`.

They are run, passed over and printed. What passes although it is listed, what is listed and does not exist,
and a fourth line fail the run.
"""

from __future__ import annotations

from pathlib import Path

import pytest

MAX_KNOWN_RED = 3  # more are mended before further work
FILE = "KNOWN-RED.txt"


def known_red(root: Path) -> dict[str, str]:
    """The listed tests, by their ids, and what the line says of each; UsageError: a line can't be taken."""
    file = root / FILE
    if not file.exists():
        raise pytest.UsageError(f"{FILE}: missing; it may be empty")
    listed: dict[str, str] = {}
    for number, line in enumerate(filter(str.strip, file.read_text().splitlines()), 1):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"{FILE}: line {number}: 'test id | cause | issue' expected")
        if number > MAX_KNOWN_RED:
            raise pytest.UsageError(f"{FILE}: line {number}: {MAX_KNOWN_RED} lines at most")
        if parts[0] in listed:
            raise pytest.UsageError(f"{FILE}: line {number}: stands twice")
        listed[parts[0]] = f"{parts[1]} (issue {parts[2]})"
    return listed


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    listed = known_red(config.rootpath)
    found = {item.nodeid: item for item in items}
    whole = config.args == config.getini("testpaths")  # a part of the suite can't tell what does not exist
    for ident, why in listed.items():
        if ident in found:
            found[ident].add_marker(pytest.mark.xfail(reason=why, strict=True))
        elif whole:
            raise pytest.UsageError(f"{FILE}: no such test: {ident}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for ident, why in known_red(config.rootpath).items():
        terminalreporter.write_line(f"known red: {ident}: {why}")
