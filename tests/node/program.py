"""The real program as a process of its own, for tests that start it."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
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


def until_line(run: subprocess.Popen[bytes], start: bytes) -> None:
    """Read the program's log up to a line that begins with `start`."""
    assert run.stderr is not None
    for line in run.stderr:
        if line.startswith(start):
            return
    raise AssertionError(f"the log ended without {start!r}")


@contextmanager
def program(
    tmp_path: Path,
    hosts: ScriptedServer | list[ScriptedServer],
    *before: str,
    words: tuple[str, ...] = (),
    **overrides: object,
) -> Iterator[tuple[subprocess.Popen[bytes], int]]:
    """Run the real program in its release build; yield its process and its port.

    Args:
        tmp_path: Where its configuration is written.
        hosts: The endpoints that it knows.
        before: The command that runs the program's command.
        words: The program's arguments.
        overrides: Of the configuration.
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
    command = [*before, sys.executable, "-O", "-m", "tansyladder", *words]
    run = subprocess.Popen(command, env=env, stderr=subprocess.PIPE)
    with run:
        try:
            until_line(run, b"event=started")
            yield run, port
        finally:
            run.kill()  # a test that fails must not wait for the program's end


def client_of(port: int, key: str = "7f") -> Peer:
    """Connect a client to the program and send its first line."""
    client = Peer(socket.create_connection(("127.0.0.1", port), 5))
    client.send_lines(f"OPEN {unique_id()} {key} c=chat,d=1200,g=5c")
    return client
