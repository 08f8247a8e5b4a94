"""Runs the real program as a separate process, and makes calls to it as operators and clients do."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest

from tansyladder.__main__ import main
from tansyladder.lab.node import find_free_port

ROOT = Path(__file__).parent.parent.parent
ANSWER_TIMEOUT_SECONDS = 10.0  # how long to wait for an answer of the node
MAX_RUN_SECONDS = 40.0  # a node that runs longer is killed, so that no test hangs
PROGRAM = (sys.executable, "-O", "-m", "tansyladder")

PLATFORM_SETTINGS: dict[str, Any] = {
    "family": "conn",
    "discovery": "on_request",
    "localities": ["a"],
    "kinds": ["m"],
    "locality": 0,
    "classes": [{"name": "chat", "slo": 300_000, "hard_limit": 1_200_000, "worth": 5.0}],
    "ceilings": {"attempts_cap": 3, "connect_timeout": 75_000, "retry_after": True},
}


def platform_config(*member_addresses: str, **changed: Any) -> dict[str, Any]:
    """Return the platform's configuration as a dictionary; nothing listens at its address of discovery."""
    members = [
        {"id": f"s{index}", "host_port": address, "locality": "a", "flavor": "m", "phase": "up"}
        for index, address in enumerate(member_addresses)
    ]
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{find_free_port()}",
        "operator": f"127.0.0.1:{find_free_port()}",
        "discovery": "127.0.0.1:1",
        "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "known": {"revision": 1, "complete": True, "members": members},
        "settings": PLATFORM_SETTINGS,
        **changed,
    }


def port_of(address: str) -> int:
    return int(address.rpartition(":")[2])


def environment(config_file: Path | None = None) -> dict[str, str]:
    """Return this process's environment without GW_ variables, except GW_CONFIG if a file is given."""
    plain = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
    return plain | ({"GW_CONFIG": str(config_file)} if config_file else {})


def run(*arguments: str, config_file: Path | None = None) -> subprocess.CompletedProcess[str]:
    """Run the program until it exits."""
    env = environment(config_file)
    return subprocess.run([*PROGRAM, *arguments], env=env, capture_output=True, text=True, timeout=30)


def command_line(arguments: list[str], monkeypatch: pytest.MonkeyPatch) -> object:
    """Run a command in this process, and return its exit code."""
    monkeypatch.setattr(sys, "argv", ["tansyladder", *arguments])
    with pytest.raises(SystemExit) as exited:
        main()
    return exited.value.code


class RunningNode:
    """A node that runs as a separate process, with its ports and its log."""

    def __init__(self, process: subprocess.Popen[str], config: dict[str, Any], folder: Path) -> None:
        self.process = process
        self.folder = folder
        self.port = port_of(config["listen"])
        self.operator_port = port_of(config["operator"])

    def log_line(self, start: str) -> str:
        """Read the log up to a line that begins with `start`, and return that line."""
        assert self.process.stderr is not None
        for line in self.process.stderr:
            if line.startswith(start):
                return line.rstrip("\n")
        raise AssertionError(f"the node's log ended before a line that begins with {start!r}")

    def call(self, line: str) -> list[str]:
        """Call the admin server, and return the lines of its answer."""
        with socket.create_connection(("127.0.0.1", self.operator_port), ANSWER_TIMEOUT_SECONDS) as sock:
            sock.sendall(f"{line}\n".encode())
            return sock.makefile("r").read().splitlines()

    def call_until(self, line: str, is_wanted: Callable[[str], bool]) -> list[str]:
        """Repeat a call until `is_wanted` accepts the first line of the answer, and return that answer."""
        deadline = time.monotonic() + ANSWER_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            answer = self.call(line)
            if answer and is_wanted(answer[0]):
                return answer
            time.sleep(0.02)
        raise AssertionError(f"call {line!r} still has the answer {answer} after {ANSWER_TIMEOUT_SECONDS} s")

    def first_answer(self, line: str) -> str:
        """Connect as a client, send a first line, and return the first line of the answer."""
        with socket.create_connection(("127.0.0.1", self.port), ANSWER_TIMEOUT_SECONDS) as sock:
            sock.sendall(f"{line}\r\n".encode())
            return sock.makefile("r").readline().strip()


@contextmanager
def running_node(folder: Path, config: dict[str, Any], operator_settings: str = "") -> Iterator[RunningNode]:
    """Run the real program with assertions disabled (`-O`); yield its node once it has logged its start."""
    config_file = folder / "config.json"
    settings_file = folder / "settings.sexp"
    config_file.write_text(json.dumps(config))
    settings_file.write_text(operator_settings)
    arguments = ("serve", "--settings", str(settings_file)) if operator_settings else ()
    env = environment(config_file) | {"TMPDIR": str(folder)}
    with subprocess.Popen([*PROGRAM, *arguments], env=env, stderr=subprocess.PIPE, text=True) as process:
        watchdog = threading.Timer(MAX_RUN_SECONDS, process.kill)  # which ends any wait for a log line
        watchdog.start()
        try:
            node = RunningNode(process, config, folder)
            node.log_line("event=started ")
            yield node
        finally:
            watchdog.cancel()
            process.kill()
