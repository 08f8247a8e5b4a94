"""What many or fast hostile clients may cost: memory, and the time in which other clients are answered."""

from __future__ import annotations

import itertools
import signal
import socket
import string
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.node.harness import (
    Peer,
    ScriptedServer,
    answer_up,
    read_until_closed,
    running_node,
    unique_id,
)
from tests.node.program import program_started_again, read_log_until, running_program

# The smallest limit for this number of descriptors on the platform's days at full size.
MEMORY_LIMIT_MB = 80
LIMITS = {"cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": 640}
CLIENT_COUNT = 240  # nearly all that the descriptors allow
LINE_BYTES = 4000
# What each of these clients may cost if the node is to stay within its limit, in the kernel as well.
BYTES_FOR_EACH_CLIENT = (MEMORY_LIMIT_MB << 20) // CLIENT_COUNT


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


def test_the_kernel_holds_little_for_a_client_that_does_not_read(tmp_path: Path) -> None:
    """Guards against docs/incidents/2026-12-07-unread-data-fills-the-memory.md: 1.6 MB for each client."""
    sent_bytes = 0
    has_stopped = threading.Event()

    def send_until_full(peer: Peer) -> None:
        nonlocal sent_bytes
        peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, LINE_BYTES)
        peer.sock.settimeout(1)
        try:
            while True:
                sent_bytes += peer.sock.send(b"x" * 98 + b"\r\n")
        except TimeoutError:
            has_stopped.set()
        read_until_closed(peer)

    with running_node(tmp_path, ScriptedServer(answer_up(send_until_full))) as node:
        client = node.connect()
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, LINE_BYTES)
        client.send_lines(f"OPEN {unique_id()} 7f c=chat,d=1200,g=5c")
        assert client.read_line() == "UP r1"
        assert has_stopped.wait(30)
        assert sent_bytes < BYTES_FOR_EACH_CLIENT
        client.close()
