"""The real program: planned restarts and SIGHUP."""

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
from tests.node.program import client_of, program, until_line


def test_a_planned_restart_migrates_its_connections_and_ends_in_time(tmp_path: Path) -> None:
    """Three endpoints can have 20 set-ups in flight, eight each: who waits for one may miss the deadline."""
    hosts = [ScriptedServer(answer_up(read_until_closed)) for _ in range(3)]
    with program(tmp_path, hosts) as (run, port):
        clients = [client_of(port, unique_id()) for _ in range(20)]
        assert {client.read_line() for client in clients} == {"UP r1"}
        start = time.monotonic()
        run.send_signal(signal.SIGTERM)
        time.sleep(0.2)
        clients.append(client_of(port, unique_id()))
        assert clients[-1].read_line() == "UP r1"  # late requests are served, and migrated like the others
        assert [client.read_line() for client in clients] == ["MOVE"] * 21
        for client in clients:
            client.close()
        assert run.wait(5) == 0
        assert time.monotonic() - start < 1.2 + 0.7


def test_sighup_reads_the_file_and_a_bad_one_changes_nothing(tmp_path: Path) -> None:
    """Its default action ended the program, at any moment; a half-written file must not either."""
    host = ScriptedServer(answer_up(read_until_closed))
    old = ScriptedDiscovery(5, endpoint_entry("s0", host.address))
    new = ScriptedDiscovery(2, endpoint_entry("s0", host.address))
    file = tmp_path / "config.json"
    with program(tmp_path, host, discovery=old.address) as (run, port):
        assert run.stderr is not None
        client = client_of(port)
        assert client.read_line() == "UP r1"
        document = file.read_text()
        file.write_text(document[: len(document) // 2])
        run.send_signal(signal.SIGHUP)
        until_line(run, b'event=reload_failed error="GW_CONFIG: not JSON')
        changed = json.loads(document) | {"discovery": new.address, "seed": "1"}
        file.write_text(json.dumps(changed))
        for _ in range(5):
            run.send_signal(signal.SIGHUP)
        until_line(run, b"event=reload_ignored changed_keys=seed")
        until_line(run, f"event=reloaded discovery={new.address} is_discovery_switched=True".encode())
        until_line(run, b"event=endpoints_updated revision=2 is_complete=True")
        run.send_signal(signal.SIGTERM)
        for _ in range(5):
            run.send_signal(signal.SIGHUP)
        assert client.read_line() == "MOVE"
        client.close()
        assert run.wait(5) == 0


def test_a_sighup_before_the_program_is_ready_is_not_fatal(tmp_path: Path) -> None:
    """The interpreter's own start takes a while, before any line of the program can block the signal."""
    deploy = Path(__file__).parent.parent.parent / "deploy" / "balancer.toml"
    command = tomllib.loads(deploy.read_text())["run"].replace(".venv/bin/python", sys.executable)
    load_test_config(tmp_path)
    env = {**os.environ, "GW_CONFIG": str(tmp_path / "config.json")}
    run = subprocess.Popen(["/bin/sh", "-c", command], env=env, stderr=subprocess.PIPE)
    with run:
        started = threading.Thread(target=until_line, args=(run, b"event=started"))
        shell = (b"", b"/bin/sh")  # it is empty for a moment while the shell itself is loaded
        while Path(f"/proc/{run.pid}/cmdline").read_bytes().split(b"\0")[0] in shell:
            time.sleep(0.001)  # the signal goes to the program, not to the shell before it
        started.start()
        while started.is_alive():
            run.send_signal(signal.SIGHUP)
            time.sleep(0.002)
        run.send_signal(signal.SIGTERM)
        assert run.wait(10) == 0
