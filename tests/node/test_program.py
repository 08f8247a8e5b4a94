"""The real program under SIGTERM and SIGHUP."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import threading
import time
import tomllib
from pathlib import Path

from tests.node.harness import (
    ScriptedDiscovery,
    ScriptedServer,
    answer_up,
    endpoint_entry,
    load_test_config,
    read_until_closed,
    unique_id,
)
from tests.node.program import connect_client, read_log_until, running_program


def test_a_planned_restart_migrates_its_connections_and_ends_in_time(tmp_path: Path) -> None:
    """Connections must be migrated before the platform kills the program.

    Three endpoints allow 24 pending attempts, eight each. With fewer, some of the 20 clients would wait, and
    might miss their deadlines.
    """
    hosts = [ScriptedServer(answer_up(read_until_closed)) for _ in range(3)]
    with running_program(tmp_path, hosts) as (process, port):
        clients = [connect_client(port, unique_id()) for _ in range(20)]
        assert {client.read_line() for client in clients} == {"UP r1"}
        start = time.monotonic()
        process.send_signal(signal.SIGTERM)
        time.sleep(0.2)
        clients.append(connect_client(port, unique_id()))
        assert clients[-1].read_line() == "UP r1"  # late requests are served, then migrated like the others
        assert [client.read_line() for client in clients] == ["MOVE"] * 21
        for client in clients:
            client.close()
        assert process.wait(5) == 0
        assert time.monotonic() - start < 1.2 + 0.7


def test_sighup_reloads_the_file_and_an_invalid_one_changes_nothing(tmp_path: Path) -> None:
    """Neither the signal, whose default action ends a process, nor a partial file may end the program."""
    host = ScriptedServer(answer_up(read_until_closed))
    old = ScriptedDiscovery(5, endpoint_entry("s0", host.address))
    new = ScriptedDiscovery(2, endpoint_entry("s0", host.address))
    file = tmp_path / "config.json"
    with running_program(tmp_path, host, discovery=old.address) as (process, port):
        assert process.stderr is not None
        client = connect_client(port)
        assert client.read_line() == "UP r1"
        document = file.read_text()
        file.write_text(document[: len(document) // 2])
        process.send_signal(signal.SIGHUP)
        read_log_until(process, b'event=reload_failed error="GW_CONFIG: not JSON')
        changed = json.loads(document) | {"discovery": new.address, "seed": "1"}
        file.write_text(json.dumps(changed))
        for _ in range(5):
            process.send_signal(signal.SIGHUP)
        read_log_until(process, b"event=reload_ignored changed_keys=seed")
        read_log_until(process, f"event=reloaded discovery={new.address} is_discovery_switched=True".encode())
        read_log_until(process, b"event=endpoints_updated revision=2 is_complete=True")
        process.send_signal(signal.SIGTERM)
        for _ in range(5):
            process.send_signal(signal.SIGHUP)
        assert client.read_line() == "MOVE"
        client.close()
        assert process.wait(5) == 0


def test_a_sighup_before_the_program_is_ready_is_not_fatal(tmp_path: Path) -> None:
    """SIGHUP must be ignored from the start: the interpreter runs a while before the program can block it."""
    deploy = Path(__file__).parent.parent.parent / "deploy" / "balancer.toml"
    command = tomllib.loads(deploy.read_text())["run"].replace(".venv/bin/python", sys.executable)
    load_test_config(tmp_path)
    env = {**os.environ, "GW_CONFIG": str(tmp_path / "config.json")}
    process = subprocess.Popen(["/bin/sh", "-c", command], env=env, stderr=subprocess.PIPE)
    with process:
        started = threading.Thread(target=read_log_until, args=(process, b"event=started"))
        shell = (b"", b"/bin/sh")  # the command line is empty for a moment while the shell is loaded
        while Path(f"/proc/{process.pid}/cmdline").read_bytes().split(b"\0")[0] in shell:
            time.sleep(0.001)  # so that the signal goes to the program, not to the shell that starts it
        started.start()
        while started.is_alive():
            process.send_signal(signal.SIGHUP)
            time.sleep(0.002)
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0
