"""What many or fast hostile clients may cost: memory, and the time in which other clients are answered."""

from __future__ import annotations

import itertools
import signal
import socket
import string
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tansyladder.policy.events import RequestReceived
from tests.node.harness import (
    Node,
    NodeComponents,
    Peer,
    ScriptedServer,
    answer_up,
    endpoint_entry,
    load_test_config,
    read_until_closed,
    running_node,
    unique_id,
)
from tests.node.program import connect_client, program_started_again, read_log_until, running_program

# The smallest limit for this number of descriptors on the platform's days at full size.
MEMORY_LIMIT_MB = 80
LIMITS = {"cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": 640}
CLIENT_COUNT = 240  # nearly all that the descriptors allow
LINE_BYTES = 4000
# What each of these clients may cost if the node is to stay within its limit, in the kernel as well.
BYTES_FOR_EACH_CLIENT = (MEMORY_LIMIT_MB << 20) // CLIENT_COUNT
FLOOD_SECONDS = 2.0
DEPARTED_COUNT = 100


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


def test_clients_that_have_left_before_they_are_admitted_cost_no_thread(tmp_path: Path) -> None:
    """Guards against docs/incidents/2026-12-07-departed-clients-keep-others-waiting.md.

    One client that opened connections and left, at full speed, kept the others waiting for up to 1.5 s.
    """
    host = ScriptedServer(answer_up(read_until_closed))
    components = NodeComponents(load_test_config(tmp_path, endpoint_entry("s0", host.address)))
    listener = components.new_listener()
    components.start()
    node = Node(components, listener)
    for _ in range(DEPARTED_COUNT):
        node.open(key=unique_id()).close()
    listener.start()
    assert node.open().read_line() == "UP r1"
    assert len(node.runner.events_of(RequestReceived)) == 1
    assert node.metrics.total_counts()["left"] == DEPARTED_COUNT


@pytest.mark.parametrize("line", [b"\r\n", b"x\r\n", b"OPEN 1 7f c=none,d=1\r\n"])
def test_a_flood_on_one_connection_keeps_no_other_client_waiting(tmp_path: Path, line: bytes) -> None:
    """Each of the others is answered before it gives up, and the memory does not grow with the flood."""
    hosts = [ScriptedServer(answer_up(discard)) for _ in range(3)]
    with running_program(tmp_path, hosts) as (process, port):
        flooding = connect_client(port)
        assert flooding.read_line() == "UP r1"
        memory_before_mb = used_memory_mb(process.pid)
        end = time.monotonic() + FLOOD_SECONDS
        flood = threading.Thread(target=send_until, args=(flooding, line, end))
        flood.start()
        answer_count = 0
        while time.monotonic() < end:
            client = connect_client(port, unique_id())
            assert client.read_line() == "UP r1"
            client.close()
            answer_count += 1
        flood.join()
        assert answer_count > 1
        assert used_memory_mb(process.pid) - memory_before_mb < BYTES_FOR_EACH_CLIENT / (1 << 20) * 10
        flooding.close()


def discard(peer: Peer) -> None:
    """A script that reads until the other side closes, whatever is sent."""
    while peer.sock.recv(1 << 16):
        pass


def send_until(client: Peer, line: bytes, end: float) -> None:
    """Send a line again and again until a time of the monotonic clock, or until the connection ends."""
    try:
        while time.monotonic() < end:
            client.sock.sendall(line * 500)
    except OSError:
        pass
