"""What many or fast hostile clients may cost: memory, and the time in which other clients are answered."""

from __future__ import annotations

import itertools
import signal
import socket
import string
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.node.harness import Peer, ScriptedServer, answer_up, read_until_closed, unique_id
from tests.node.program import program_started_again, read_log_until, running_program

# The smallest limit for this number of descriptors on the platform's days at full size.
MEMORY_LIMIT_MB = 80
LIMITS = {"cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": 640}
CLIENT_COUNT = 240  # nearly all that the descriptors allow
LINE_BYTES = 4000


def short_fields() -> Iterator[str]:
    """Yield fields with different short names, none of which means anything to the node."""
    alphabet = string.ascii_lowercase
    for first, second, third in itertools.product(alphabet, alphabet, string.digits):
        yield f"{first}{second}{third}=1"


def line_of_short_fields() -> str:
    """Return a valid first line of nearly `LINE_BYTES`, most of it fields that only endpoints understand."""
    fields = f"OPEN {unique_id()} 7f c=chat,d=1200,g=5c"
    for field in short_fields():
        if len(fields) + len(field) + 1 > LINE_BYTES:
            break
        fields += f",{field}"
    return fields


def used_memory_mb(*process_ids: int) -> float:
    """Return the memory of processes, in which a shared page counts once."""
    kilobytes = 0
    for process_id in process_ids:
        report = Path(f"/proc/{process_id}/smaps_rollup").read_text()
        kilobytes += next(int(line.split()[1]) for line in report.splitlines() if line.startswith("Pss:"))
    return kilobytes / 1024


def test_clients_with_hundreds_of_fields_fit_into_the_memory_of_both_processes_of_an_upgrade(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against docs/incidents/2026-12-07-many-fields-fill-the-memory.md: 150 KB for each connection.

    Each client also stops in the middle of a long line after UP.
    """
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    hosts = [ScriptedServer(answer_up(read_until_closed)) for _ in range(3)]
    with running_program(tmp_path, hosts, limits=LIMITS) as (old, port):
        clients = []
        for _ in range(CLIENT_COUNT):
            client = Peer(socket.create_connection(("127.0.0.1", port), 5))
            client.send_lines(line_of_short_fields())
            assert client.read_line() == "UP r1"
            client.sock.sendall(b"x" * LINE_BYTES)
            clients.append(client)
        with program_started_again(tmp_path, port) as new:
            read_log_until(old, b"event=listener_handover step=successor_serving")
            old.send_signal(signal.SIGTERM)
            read_log_until(old, b"event=state_changed state=draining")
            peak_mb = used_memory_mb(old.pid, new.pid)
            while old.poll() is None:
                try:
                    peak_mb = max(peak_mb, used_memory_mb(old.pid, new.pid))
                except (OSError, StopIteration):  # the old process has ended
                    break
            assert old.wait(10) == 0
            assert peak_mb < MEMORY_LIMIT_MB
            for client in clients:
                client.close()
