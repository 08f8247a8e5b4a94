"""The list of tests that are known to fail: what it lets pass, and what it does not."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

SUITE = "def test_red():\n    assert False\n\n\ndef test_green():\n    pass\n"
RED = "tests/test_it.py::test_red"
GREEN = "tests/test_it.py::test_green"


@pytest.mark.parametrize(
    ("lines", "exit_code", "expected_text"),
    [
        ([f"{RED} | the cause | 33"], 0, f"known red: {RED}: the cause (issue 33)"),
        ([], 1, "1 failed, 1 passed"),
        ([f"{RED} | the cause | 33", f"{GREEN} | none | 33"], 1, "XPASS(strict)"),
        (["tests/test_it.py::test_gone | the cause | 33"], 4, "no such test: tests/test_it.py::test_gone"),
        ([f"{RED} | the cause"], 4, "line 1: 'test id | cause | issue' expected"),
        ([f"{RED} | a | 1", f"{RED} | b | 2"], 4, "line 2: stands twice"),
        ([f"{RED} | a | 1", "b | b | 2", "c | c | 3", "d | d | 4"], 4, "line 4: 3 lines at most"),
        (None, 4, "KNOWN-RED.txt: missing"),
    ],
)
def test_only_listed_failures_are_tolerated(
    tmp_path: Path, lines: list[str] | None, exit_code: int, expected_text: str
) -> None:
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests" / "test_it.py").write_text(SUITE)
    (tmp_path / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    shutil.copy(Path(__file__).parent / "conftest.py", tmp_path / "tests")
    if lines is not None:
        (tmp_path / "KNOWN-RED.txt").write_text("\n".join(lines))
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
    done = subprocess.run(command, cwd=tmp_path, capture_output=True, text=True, timeout=60)
    assert done.returncode == exit_code, done.stdout
    assert expected_text in done.stdout + done.stderr
