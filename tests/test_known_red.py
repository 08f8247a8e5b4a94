"""Only tests that `KNOWN-RED.txt` lists may fail, and an invalid list fails the run."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests import known_red
from tests.suite import run_suite

SUITE = "def test_red():\n    assert False\n\n\ndef test_green():\n    pass\n"
RED = "tests/test_suite.py::test_red"
GREEN = "tests/test_suite.py::test_green"
MISSING = "tests/test_suite.py::test_missing"


@pytest.mark.parametrize(
    ("lines", "exit_code", "expected_output"),
    [
        ([f"{RED} | the cause | 33"], 0, f"known red: {RED}: the cause (issue 33)"),
        ([], 1, "1 failed, 1 passed"),
        ([f"{RED} | the cause | 33", f"{GREEN} | none | 33"], 1, "XPASS(strict)"),
        ([f"{MISSING} | the cause | 33"], 4, f"no such test: {MISSING}"),
        ([f"{RED} | the cause"], 4, "line 1: 'test id | cause | issue' expected"),
        ([f"{RED} | a | 1", f"{RED} | b | 2"], 4, "line 2: the test is listed twice"),
        ([f"{RED} | a | 1", "b | b | 2", "c | c | 3", "d | d | 4"], 4, "line 4: 3 lines at most"),
        (None, 4, "KNOWN-RED.txt: missing"),
    ],
)
def test_only_listed_failures_are_tolerated(
    tmp_path: Path, lines: list[str] | None, exit_code: int, expected_output: str
) -> None:
    """Run pytest on one failing and one passing test, with a KNOWN-RED.txt of these lines."""
    if lines is not None:
        (tmp_path / "KNOWN-RED.txt").write_text("\n".join(lines))
    run = run_suite(tmp_path, known_red, SUITE)
    assert run.returncode == exit_code, run.stdout
    assert expected_output in run.stdout + run.stderr
