"""The commands `check` and `serve`, and a start without arguments."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.answers.program import run
from tests.node.harness import endpoint_entry, load_test_config


def test_check_accepts_a_valid_configuration(tmp_path: Path) -> None:
    load_test_config(tmp_path, endpoint_entry("s0", "127.0.0.1:9"))
    assert run("check", str(tmp_path / "config.json")).returncode == 0


@pytest.mark.parametrize(
    ("file_name", "text", "path"),
    [
        ("bad.json", '{"limits": {"sockets": "many"}}', "limits.sockets"),
        ("bad.sexp", "(resume (expires 1))", "resume.expires"),
    ],
)
def test_check_names_the_error_and_exits_with_2(tmp_path: Path, file_name: str, text: str, path: str) -> None:
    (tmp_path / file_name).write_text(text)
    result = run("check", str(tmp_path / file_name))
    assert result.returncode == 2
    assert path in result.stderr
    assert "Traceback" not in result.stderr


def test_a_start_with_bad_settings_names_the_error_and_exits_with_2(tmp_path: Path) -> None:
    load_test_config(tmp_path, endpoint_entry("s0", "127.0.0.1:9"))
    (tmp_path / "bad.sexp").write_text("(resume (expires 1))")
    config_file = tmp_path / "config.json"
    result = run("serve", "--settings", str(tmp_path / "bad.sexp"), config_file=config_file)
    assert result.returncode == 2
    assert "event=bad_settings" in result.stderr
    assert "resume.expires" in result.stderr


def test_a_start_without_arguments_imports_no_optional_package(tmp_path: Path) -> None:
    """Started without arguments, the node must not import packages that only tools and extras need."""
    load_test_config(tmp_path)
    code = (
        "import signal, sys;"
        "sys.argv = ['tansyladder'];"
        "signal.sigwait = lambda _: signal.SIGTERM;"
        "from tansyladder.__main__ import main; main();"
        "print(sorted({'click', 'sexpdata', 'cryptography', 'hdrh', 'numpy', 'xxhash'} & sys.modules.keys()))"
    )
    env = {**os.environ, "GW_CONFIG": str(tmp_path / "config.json")}
    result = subprocess.run([sys.executable, "-c", code], env=env, capture_output=True, text=True, timeout=30)
    assert result.stdout.strip() == "[]", result.stderr
