"""The exit codes of the program and of its commands; no command ends in a traceback.

Tested elsewhere: 0 after SIGTERM (`tests/node/test_program.py`, a planned restart), 2 for a configuration of
the wrong type (`tests/config/test_platform.py`), 2 for invalid settings at the start and for invalid files at
`check` (`tests/test_node_commands.py`), 0, 1 and 3 of the store's commands
(`tests/store/test_repair.py`), 0 and 1 of the simulator's host (`tests/simulator/test_wire.py`).
"""

from __future__ import annotations

import json
import signal
import socket
from pathlib import Path

import pytest

from tansyladder.lab.node import find_free_port
from tests.answers.own_output import CommandResult, run_command
from tests.answers.program import ROOT, platform_config, port_of, run, running_node

PEERS = f"""
(resume (enabled true) (keys (1 "{"ab" * 32}")))
(peers (enabled true) (fleet "f") (key "{"cd" * 32}") (voters "n0") (members (n0 "127.0.0.1:PORT")))
"""


def test_sigint_ends_a_node_with_0(tmp_path: Path) -> None:
    with running_node(tmp_path, platform_config()) as node:
        node.process.send_signal(signal.SIGINT)
        assert node.log_line("event=stopping ") == "event=stopping signal=SIGINT"
        assert node.log_line("event=drained ") == "event=drained established=0 pending=0"
        assert node.process.wait(10) == 0


def test_sigterm_ends_a_node_with_peers_with_0(tmp_path: Path) -> None:
    settings = PEERS.replace("PORT", str(find_free_port()))
    with running_node(tmp_path, platform_config(), settings) as node:
        node.process.send_signal(signal.SIGTERM)
        assert node.process.wait(10) == 0


def test_a_start_without_a_configuration_ends_with_2() -> None:
    finished = run()
    assert finished.returncode == 2
    assert finished.stderr.startswith("event=bad_config error=GW_CONFIG: not set")


@pytest.mark.parametrize(("key", "variable"), [("listen", "GW_LISTEN"), ("operator", "GW_OPERATOR")])
def test_an_address_in_use_ends_the_start_with_2(tmp_path: Path, key: str, variable: str) -> None:
    config = platform_config()
    config_file = tmp_path / "config.json"
    config_file.write_text(json.dumps(config))
    with socket.create_server(("127.0.0.1", port_of(config[key]))):
        finished = run(config_file=config_file)
    assert finished.returncode == 2
    assert finished.stderr.splitlines()[-1].startswith(f"event=bad_config error={variable}: ")


def test_a_node_that_is_not_among_its_peers_ends_the_start_with_2(tmp_path: Path) -> None:
    config_file = tmp_path / "config.json"
    settings_file = tmp_path / "settings.sexp"
    config_file.write_text(json.dumps(platform_config(name="n7")))
    settings_file.write_text(PEERS.replace("PORT", str(find_free_port())))
    finished = run("serve", "--settings", str(settings_file), config_file=config_file)
    assert finished.returncode == 2
    assert finished.stderr.splitlines()[-1].startswith("event=bad_settings error=peers: ")


def test_check_accepts_valid_files(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    config_file = tmp_path / "config.json"
    config_file.write_text(json.dumps(platform_config("127.0.0.1:9")))
    example = ROOT / "deploy" / "settings.example.sexp"
    valid_configuration = CommandResult(0, f"{config_file}: sound: node n0, 1 members known\n", "")
    assert run_command(["check", str(config_file)], monkeypatch) == valid_configuration
    assert run_command(["check", str(example)], monkeypatch) == CommandResult(0, f"{example}: sound\n", "")


@pytest.mark.parametrize(
    ("arguments", "exit_code"),
    [
        (["--help"], 0),
        (["lab", "--help"], 0),
        (["store", "--help"], 0),
        (["start"], 2),
        (["serve", "--port", "1"], 2),
        (["check"], 2),
        (["check", "missing.json"], 2),
        (["check", "missing.sexp"], 2),
        (["lab", "scenarios", "--only", "nobody"], 2),
        (["lab", "stories", "--only", "nobody"], 2),
        (["lab", "drain", "--sessions", "0"], 2),
        (["lab", "fleet", "missing"], 2),
        (["store", "verify", "missing"], 2),
    ],
)
def test_the_command_lines_exit_codes(
    arguments: list[str], exit_code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    result = run_command(arguments, monkeypatch)
    assert result.exit_code == exit_code
    assert result.stdout if exit_code == 0 else result.stderr
