"""Runs pytest in another process on a generated test suite, with one module of `tests` as its conftest.py."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from types import ModuleType

PYTEST = (sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider")
TIMEOUT_SECONDS = 60


def run_suite(root: Path, plugin: ModuleType, suite: str) -> subprocess.CompletedProcess[str]:
    """Write `suite` to `tests/test_suite.py` under `root`, with `plugin` as its conftest.py, and run it."""
    tests = root / "tests"
    tests.mkdir()
    (tests / "__init__.py").touch()
    (tests / "test_suite.py").write_text(suite)
    (tests / "conftest.py").write_text(Path(str(plugin.__file__)).read_text())
    (root / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    return subprocess.run(PYTEST, cwd=root, capture_output=True, text=True, timeout=TIMEOUT_SECONDS)
