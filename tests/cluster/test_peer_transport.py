"""Peer connections between two nodes: handshakes, proofs of the key, messages, and the end of connections."""

from __future__ import annotations

import contextlib
import queue
import socket
import struct
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import NamedTuple

import msgspec
import pytest

from tansyladder.cluster.peer_handshake import MAX_GREETING_BYTES, PROTOCOL_VERSION, Greeting
from tansyladder.cluster.peer_transport import PeerMessage, PeerTransport
from tansyladder.config.operator_settings import PeersOptions
from tansyladder.raft.messages import AppendEntries, EntryKind, Handshake, LogEntry

KEY = "ab" * 32
OTHER_KEY = "cd" * 32
NOW_US = 60_000_000
TOO_MUCH_SKEW_US = 3_000_000


@dataclass(frozen=True)
class PeerSettings:
    """The settings of a node that may differ between the two nodes."""

    cluster: str = "f"
    key: str = KEY
    clock_skew_us: int = 0


class TwoNodes:
    """The transports of the nodes `a` and `b`, and the messages that each has received."""

    def __init__(self, peer: PeerSettings) -> None:
        """Create both transports, which listen; `peer` are the settings of node `b`."""
        listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
        self.addresses: list[tuple[str, int]] = [listener.getsockname() for listener in listeners]
        for listener in listeners:
            listener.close()
        self.received: list[queue.Queue[tuple[str, PeerMessage]]] = [queue.Queue(), queue.Queue()]
        self.transports = [
            self._make_transport(number, name, settings)
            for number, (name, settings) in enumerate((("a", PeerSettings()), ("b", peer)))
        ]

    def _make_transport(self, number: int, name: str, settings: PeerSettings) -> PeerTransport:
        members = {name: f"{host}:{port}" for name, (host, port) in zip("ab", self.addresses, strict=True)}
        options = PeersOptions(
            enabled=True, fleet=settings.cluster, key=settings.key, members=members, voters="a"
        )

        def on_message(sender: str, message: PeerMessage) -> None:
            self.received[number].put((sender, message))

        def clock() -> int:
            return NOW_US + settings.clock_skew_us

        return PeerTransport(name, options, on_message, clock)

    def start(self) -> None:
        """Start both transports, which then connect to each other."""
        for transport in self.transports:
            transport.start()

    def stop(self) -> None:
        """Stop both transports and wait until their threads have ended."""
        for transport in self.transports:
            transport.stop()

    def send_until_received(self) -> tuple[str, PeerMessage]:
        """Send messages from `a` until `b` has received one, and return it with its sender."""
        for number in range(200):
            self.transports[0].send("b", Handshake(f"d{number}", "s", {}))
            with contextlib.suppress(queue.Empty):
                return self.received[1].get(timeout=0.05)
        raise AssertionError("node b has received none of 200 messages")


@contextmanager
def two_nodes(peer: PeerSettings = PeerSettings()) -> Iterator[TwoNodes]:
    """The nodes `a` and `b`, which the test starts; they are stopped at the end of the context."""
    nodes = TwoNodes(peer)
    try:
        yield nodes
    finally:
        nodes.stop()


class GreetingResult(NamedTuple):
    """A listener's greeting, and the first byte that it sent after the dialler's proof.

    `after_confirmation` is empty if the listener closed the connection.
    """

    greeting: Greeting
    after_confirmation: bytes


def test_two_nodes_exchange_messages_also_large_ones() -> None:
    large = AppendEntries(1, 0, 0, (LogEntry(1, EntryKind.COMMAND, "r", b"x" * (2 << 20)),), 0)
    with two_nodes() as nodes:
        nodes.start()
        sender, message = nodes.send_until_received()
        assert sender == "a"
        assert type(message) is Handshake
        nodes.transports[1].send("a", large)
        assert nodes.received[0].get(timeout=10) == ("b", large)


def test_a_stopped_transport_leaves_no_thread_and_accepts_no_connection() -> None:
    before = set(threading.enumerate())
    with two_nodes() as nodes:
        nodes.start()
        nodes.send_until_received()
        assert set(threading.enumerate()) > before
        nodes.transports[0].stop()
        nodes.transports[1].stop()
        assert set(threading.enumerate()) <= before
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(nodes.addresses[1], 5)


def test_a_transport_that_was_never_started_stops() -> None:
    with two_nodes() as nodes:
        nodes.transports[0].stop()


@pytest.mark.parametrize(
    "peer",
    [
        PeerSettings(key=OTHER_KEY),
        PeerSettings(cluster="other"),
        PeerSettings(clock_skew_us=-TOO_MUCH_SKEW_US),
        PeerSettings(clock_skew_us=TOO_MUCH_SKEW_US),
    ],
    ids=["key", "cluster", "clock behind", "clock ahead"],
)
def test_a_peer_with_another_key_cluster_or_clock_is_rejected(
    peer: PeerSettings, capfd: pytest.CaptureFixture[str]
) -> None:
    with two_nodes(peer) as nodes:
        nodes.start()
        for _ in range(400):
            nodes.transports[0].send("b", Handshake("d", "s", {}))
            if "peer_rejected" in capfd.readouterr().err:
                break
            with pytest.raises(queue.Empty):
                nodes.received[1].get(timeout=0.05)
        else:
            raise AssertionError("no node has logged peer_rejected after 400 messages")
        assert nodes.received[1].empty()


@pytest.mark.parametrize(
    "first_bytes",
    [
        struct.pack(">I", MAX_GREETING_BYTES + 1),
        struct.pack(">I", 3) + b"abc",
        b"OPEN 1 2 c=chat,d=1\r\n",
    ],
)
def test_a_connection_that_begins_without_a_greeting_is_closed(first_bytes: bytes) -> None:
    with two_nodes() as nodes:
        nodes.transports[1].start()
        with socket.create_connection(nodes.addresses[1], 5) as sock:
            sock.sendall(first_bytes)
            with contextlib.suppress(ConnectionResetError):  # the listener closes without reading all bytes
                assert sock.recv(1) == b""


def send_greeting(sock: socket.socket, greeting: Greeting) -> None:
    """Send a greeting, preceded by its length."""
    data = msgspec.msgpack.encode(greeting)
    sock.sendall(struct.pack(">I", len(data)) + data)


def dial_with_proof(address: tuple[str, int], greeting: Greeting, proof: bytes) -> GreetingResult:
    """Connect to a listener, send a greeting, and answer the listener's greeting with a given proof."""
    with socket.create_connection(address, 5) as sock:
        send_greeting(sock, greeting)
        (size,) = struct.unpack(">I", sock.recv(4, socket.MSG_WAITALL))
        answer = msgspec.msgpack.decode(sock.recv(size, socket.MSG_WAITALL), type=Greeting)
        send_greeting(sock, msgspec.structs.replace(greeting, proof=proof))
        return GreetingResult(answer, sock.recv(1))


def test_a_recorded_proof_opens_no_second_connection() -> None:
    """The listener draws a new nonce for each connection, and a recorded proof doesn't cover that nonce."""
    greeting = Greeting(PROTOCOL_VERSION, "f", "a", "b", b"n" * 16, NOW_US)
    with two_nodes() as nodes:
        nodes.transports[1].start()
        first = dial_with_proof(nodes.addresses[1], greeting, b"?" * 32)
        assert first.after_confirmation == b""
        # The proof that node `a` would have sent for the nonce of the first connection.
        proof = nodes.transports[1].handshake.proof(b"dialler", greeting, first.greeting)
        second = dial_with_proof(nodes.addresses[1], greeting, proof)
        assert second.after_confirmation == b""
        assert first.greeting.nonce != second.greeting.nonce
