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
CASE = "review/6/run.sh"


@pytest.mark.parametrize(
    ("lines", "exit_code", "expected_output"),
    [
        ([f"{RED} | pytest, seed 7 | seen | 33"], 0, f"known red: {RED}: seen (pytest, seed 7; issue 33)"),
        ([], 1, "1 failed, 1 passed"),
        ([f"{RED} | pytest | seen | 33", f"{GREEN} | pytest | none | 33"], 1, "XPASS(strict)"),
        ([f"{MISSING} | pytest | seen | 33"], 4, f"no such test: {MISSING}"),
        ([f"{RED} | pytest | seen"], 4, f"line 1: '{known_red.LINE_FORMAT}' expected"),
        ([f"{RED} | pytest |  | 33"], 4, f"line 1: '{known_red.LINE_FORMAT}' expected"),
        ([f"{RED} | a | b | 1", f"{RED} | c | d | 2"], 4, "line 2: the test is listed twice"),
        # A case that pytest does not collect is printed, and tolerates no failure of a test.
        ([f"{RED} | a | b | 1", f"{CASE} | sh | seen | 2"], 0, f"known red: {CASE}: seen (sh; issue 2)"),
        ([f"{CASE} | sh | seen | 2"], 1, "1 failed, 1 passed"),
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
