"""Runs the real program as a separate process."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from tests.node.harness import (
    Peer,
    ScriptedServer,
    endpoint_entry,
    load_test_config,
    unique_id,
)

LOG_TIMEOUT_SECONDS = 30.0  # after which a program that has not written the awaited line is killed


def read_log_until(process: subprocess.Popen[bytes], start: bytes) -> None:
    """Read the program's log up to a line that begins with `start`."""
    assert process.stderr is not None
    watchdog = threading.Timer(LOG_TIMEOUT_SECONDS, process.kill)
    watchdog.start()
    try:
        for line in process.stderr:
            if line.startswith(start):
                return
    finally:
        watchdog.cancel()
    raise AssertionError(f"the program's log ended before a line that begins with {start!r}")


@contextmanager
def running_program(
    tmp_path: Path,
    hosts: ScriptedServer | list[ScriptedServer],
    *before: str,
    arguments: tuple[str, ...] = (),
    **overrides: object,
) -> Iterator[tuple[subprocess.Popen[bytes], int]]:
    """Run the real program with assertions disabled (`-O`), as in production; yield its process and its port.

    Args:
        tmp_path: The directory to which the configuration is written.
        hosts: The stream hosts behind the endpoints of the known list.
        before: A command that is put in front of the program's, and executes it.
        arguments: The program's command-line arguments.
        overrides: Keys of the configuration that get other values.
    """
    hosts = hosts if isinstance(hosts, list) else [hosts]
    with socket.create_server(("127.0.0.1", 0)) as spare:
        port = spare.getsockname()[1]
    entries = [endpoint_entry(f"s{index}", host.address) for index, host in enumerate(hosts)]
    config = load_test_config(tmp_path, *entries, **overrides)
    discovery = "{}:{}".format(*config.discovery)
    env = {
        **os.environ,
        "GW_CONFIG": str(tmp_path / "config.json"),
        "GW_LISTEN": f"127.0.0.1:{port}",
        "GW_DISCOVERY": discovery,
    }
    command = [*before, sys.executable, "-O", "-m", "tansyladder", *arguments]
    process = subprocess.Popen(command, env=env, stderr=subprocess.PIPE)
    with process:
        try:
            read_log_until(process, b"event=started")
            yield process, port
        finally:
            process.kill()  # so that a failing test does not wait until the program exits


def stop_process(process: subprocess.Popen[bytes]) -> None:
    """Stop a process by SIGSTOP, and wait until all threads have stopped: one may still accept a client."""
    process.send_signal(signal.SIGSTOP)
    os.waitid(os.P_PID, process.pid, os.WSTOPPED)


@contextmanager
def program_started_again(tmp_path: Path, port: int, **environment: str) -> Iterator[subprocess.Popen[bytes]]:
    """Run the program with the configuration that `running_program` wrote, on the same port.

    Args:
        tmp_path: The directory that contains the configuration.
        port: The port of the clients' listener.
        environment: Further environment variables.
    """
    variables = {"GW_CONFIG": str(tmp_path / "config.json"), "GW_LISTEN": f"127.0.0.1:{port}"}
    with subprocess.Popen(
        [sys.executable, "-O", "-m", "tansyladder"],
        env={**os.environ, **variables, **environment},
        stderr=subprocess.PIPE,
    ) as process:
        try:
            yield process
        finally:
            process.kill()


def connect_client(port: int, key: str = "7f", connection_id: str = "") -> Peer:
    """Connect a client to the program and send a valid first line; without `connection_id` with a new id."""
    client = Peer(socket.create_connection(("127.0.0.1", port), 5))
    client.send_lines(f"OPEN {connection_id or unique_id()} {key} c=chat,d=1200,g=5c")
    return client
