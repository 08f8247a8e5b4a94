"""Connections between two nodes: greetings, proofs of the key, frames."""

from __future__ import annotations

import contextlib
import queue
import socket
import struct
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
class Peer:
    """What the second node differs in from the first."""

    cluster: str = "f"
    key: str = KEY
    clock_skew_us: int = 0


class TwoNodes:
    """The transports of the nodes `a` and `b`, and what each has received."""

    def __init__(self, peer: Peer = Peer()) -> None:
        """`peer`: the node `b`."""
        listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
        self.addresses: list[tuple[str, int]] = [listener.getsockname() for listener in listeners]
        for listener in listeners:
            listener.close()
        self.received: list[queue.Queue[tuple[str, PeerMessage]]] = [queue.Queue(), queue.Queue()]
        self.transports = [
            self._make_transport(number, name, settings)
            for number, (name, settings) in enumerate((("a", Peer()), ("b", peer)))
        ]

    def _make_transport(self, number: int, name: str, settings: Peer) -> PeerTransport:
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
        """Let both connect."""
        for transport in self.transports:
            transport.start()

    def close(self) -> None:
        for transport in self.transports:
            transport.close()

    def send_until_received(self) -> tuple[str, PeerMessage]:
        """Send from `a` until `b` has received something."""
        for number in range(200):
            self.transports[0].send("b", Handshake(f"d{number}", "s", {}))
            with contextlib.suppress(queue.Empty):
                return self.received[1].get(timeout=0.05)
        raise AssertionError("nothing was received")


class GreetingResult(NamedTuple):
    """What a listener answered to a greeting, and what it sent after the second one."""

    greeting: Greeting
    after: bytes


def test_two_nodes_exchange_messages_also_large_ones() -> None:
    with contextlib.closing(TwoNodes()) as nodes:
        nodes.start()
        sender, message = nodes.send_until_received()
        assert sender == "a"
        assert type(message) is Handshake
        large = AppendEntries(1, 0, 0, (LogEntry(1, EntryKind.COMMAND, "r", b"x" * (2 << 20)),), 0)
        nodes.transports[1].send("a", large)
        assert nodes.received[0].get(timeout=10) == ("b", large)


@pytest.mark.parametrize(
    "peer",
    [
        Peer(key=OTHER_KEY),
        Peer(cluster="other"),
        Peer(clock_skew_us=-TOO_MUCH_SKEW_US),
        Peer(clock_skew_us=TOO_MUCH_SKEW_US),
    ],
    ids=["key", "cluster", "clock behind", "clock ahead"],
)
def test_a_peer_with_another_key_cluster_or_clock_is_rejected(
    peer: Peer, capfd: pytest.CaptureFixture[str]
) -> None:
    with contextlib.closing(TwoNodes(peer)) as nodes:
        nodes.start()
        for _ in range(400):
            nodes.transports[0].send("b", Handshake("d", "s", {}))
            if "peer_rejected" in capfd.readouterr().err:
                break
            with pytest.raises(queue.Empty):
                nodes.received[1].get(timeout=0.05)
        else:
            raise AssertionError("nobody was rejected")
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
    with contextlib.closing(TwoNodes()) as nodes:
        nodes.transports[1].start()
        with socket.create_connection(nodes.addresses[1], 5) as sock:
            sock.sendall(first_bytes)
            with contextlib.suppress(ConnectionResetError):  # a close with bytes that nobody has read
                assert sock.recv(1) == b""


def send_greeting(sock: socket.socket, greeting: Greeting) -> None:
    data = msgspec.msgpack.encode(greeting)
    sock.sendall(struct.pack(">I", len(data)) + data)


def greet(address: tuple[str, int], greeting: Greeting, proof: bytes) -> GreetingResult:
    """Dial with a greeting, and confirm with a proof."""
    with socket.create_connection(address, 5) as sock:
        send_greeting(sock, greeting)
        (size,) = struct.unpack(">I", sock.recv(4, socket.MSG_WAITALL))
        answer = msgspec.msgpack.decode(sock.recv(size, socket.MSG_WAITALL), type=Greeting)
        send_greeting(sock, msgspec.structs.replace(greeting, proof=proof))
        return GreetingResult(answer, sock.recv(1))


def test_a_recorded_proof_opens_no_second_connection() -> None:
    """The listener's nonce is new each time, so the proof of another time proves nothing."""
    with contextlib.closing(TwoNodes()) as nodes:
        nodes.transports[1].start()
        greeting = Greeting(PROTOCOL_VERSION, "f", "a", "b", b"n" * 16, NOW_US)
        first = greet(nodes.addresses[1], greeting, b"?" * 32)
        assert first.after == b""
        # The proof with which a true dialler had answered that nonce.
        proof = nodes.transports[1].handshake.proof(b"dialler", greeting, first.greeting)
        second = greet(nodes.addresses[1], greeting, proof)
        assert second.after == b""
        assert first.greeting.nonce != second.greeting.nonce
