"""What a client sent before it left is not forwarded long after that.

Guards against docs/incidents/2026-12-07-lines-of-a-departed-client-are-forwarded.md: lines that were still
unread when the client reset its connection were sent to the endpoint for seconds.
"""

from __future__ import annotations

import socket
import struct
import threading
import time
from pathlib import Path

from tansyladder.policy.events import AttemptEnded, AttemptStatus
from tests.node.harness import Peer, ScriptedServer, answer_up, running_node

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # `struct linger`: enabled, 0 s
LINES = b"x" * 98 + b"\r\n"
SENT_BYTES = 180_000  # more than the endpoint and the node's buffers for it hold
CLIENT_BUFFER_BYTES = 1 << 20  # of what the node's kernel holds unread, so that the client's end arrives too
MAX_SECONDS_TO_END = 1.0  # that the platform allows after one side of a connection has ended
FULL_AFTER_SECONDS = 0.3  # without progress: the node reads nothing any more


class PausedHost(ScriptedServer):
    """A host that reads nothing after the first line until it is allowed to; it counts what it reads then."""

    def __init__(self) -> None:
        self.may_read = threading.Event()
        self.has_ended = threading.Event()
        self.was_reset = False
        super().__init__(answer_up(self._read))

    def _read(self, peer: Peer) -> None:
        self.may_read.wait(20)
        try:
            while peer.sock.recv(1 << 16):
                pass
        except ConnectionResetError:
            self.was_reset = True
        self.has_ended.set()


def send_until_full(client: Peer) -> None:
    """Send lines until all buffers on the way to the endpoint are full."""
    client.sock.settimeout(FULL_AFTER_SECONDS)
    while True:
        try:
            client.sock.send(LINES)
        except TimeoutError:
            return


def test_unread_lines_of_a_client_that_has_reset_its_connection_are_not_forwarded(tmp_path: Path) -> None:
    """The reset ends the connection, not the endpoint that seems to be stalled, which takes 4.5 s or more."""
    host = PausedHost()
    with running_node(tmp_path, host) as node:
        client = node.open()
        assert client.read_line() == "UP r1"
        send_until_full(client)
        reset_at = time.monotonic()
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        client.close()
        assert node.runner.wait_for(AttemptEnded).status is AttemptStatus.CANCELLED
        assert time.monotonic() - reset_at < MAX_SECONDS_TO_END
        host.may_read.set()
        assert host.has_ended.wait(10)
        assert host.was_reset


def test_unread_lines_of_a_client_that_has_closed_its_connection_are_not_forwarded_for_long(
    tmp_path: Path,
) -> None:
    """The endpoint gets a reset, as lines are missing."""
    host = PausedHost()
    host.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    with running_node(tmp_path, host) as node:
        listener = node.listener._listener  # noqa: SLF001 - its connections inherit the buffer
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CLIENT_BUFFER_BYTES)
        client = node.open()
        assert client.read_line() == "UP r1"
        client.sock.sendall(LINES * (SENT_BYTES // len(LINES)))
        client.close()
        assert node.runner.wait_for(AttemptEnded).status is AttemptStatus.CANCELLED
        host.may_read.set()
        assert host.has_ended.wait(10)
        assert host.was_reset


def test_the_last_lines_of_a_client_that_closes_its_connection_are_forwarded(tmp_path: Path) -> None:
    """An ordinary end loses no line."""
    received = b""
    has_ended = threading.Event()

    def collect(peer: Peer) -> None:
        nonlocal received
        while data := peer.sock.recv(1 << 16):
            received += data
        has_ended.set()

    with running_node(tmp_path, ScriptedServer(answer_up(collect))) as node:
        client = node.open()
        assert client.read_line() == "UP r1"
        client.sock.sendall(LINES * 1000)
        client.close()
        assert has_ended.wait(10)
        assert received == LINES * 1000
