"""Connections between two nodes: greetings, proofs of the key, frames."""

from __future__ import annotations

import contextlib
import queue
import socket
import struct

import msgspec
import pytest

from tansyladder.cluster.peer_handshake import MAX_GREETING_BYTES, PROTOCOL_VERSION, Greeting
from tansyladder.cluster.peer_transport import PeerTransport
from tansyladder.config import operator_settings
from tansyladder.raft.messages import EntryKind, Handshake, LogEntry, Message
from tansyladder.raft.persistent_state import LogSuffix

KEY = "ab" * 32


class Ends:
    """Two nodes' channels, and what each has heard."""

    def __init__(self, off: int = 0, **over: str) -> None:
        """`off`: microseconds between their clocks."""
        ports = [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
        self.reached = ["{}:{}".format(*port.getsockname()) for port in ports]
        for port in ports:
            port.close()
        members = {"a": self.reached[0], "b": self.reached[1]}
        common = {"enabled": True, "fleet": "f", "key": KEY, "members": members, "voters": "a"}
        self.heard: list[queue.Queue[tuple[str, Message]]] = [queue.Queue(), queue.Queue()]
        self.nodes = [
            PeerTransport(
                name,
                operator_settings.PeersOptions(**(common | (over if name == "b" else {}))),  # type: ignore[arg-type]
                lambda sender, message, i=i: self.heard[i].put((sender, message)),  # type: ignore[misc]
                lambda i=i: 60_000_000 + i * off,  # type: ignore[misc]
            )
            for i, name in enumerate("ab")
        ]

    def start(self) -> None:
        for node in self.nodes:
            node.start()


def send_until_heard(ends: Ends) -> tuple[str, Message]:
    for number in range(200):
        ends.nodes[0].send("b", Handshake(f"d{number}", "s", {}))
        try:
            return ends.heard[1].get(timeout=0.05)
        except queue.Empty:
            continue
    raise AssertionError("nothing was heard")


def test_two_peers_hear_each_other_and_a_large_message() -> None:
    ends = Ends()
    ends.start()
    sender, message = send_until_heard(ends)
    assert (sender, type(message)) == ("a", Handshake)
    large = LogSuffix(1, (LogEntry(1, EntryKind.COMMAND, "r", b"x" * (2 << 20)),)).entries[0]
    from tansyladder.raft.messages import AppendEntries

    ends.nodes[1].send("a", AppendEntries(1, 0, 0, (large,), 0))
    assert ends.heard[0].get(timeout=10) == ("b", AppendEntries(1, 0, 0, (large,), 0))


@pytest.mark.parametrize(
    ("off", "over"), [(0, {"key": "cd" * 32}), (0, {"fleet": "other"}), (-3_000_000, {}), (3_000_000, {})]
)
def test_a_wrong_key_a_foreign_fleet_or_a_clock_that_is_off_is_refused(
    off: int, over: dict[str, str], capfd: pytest.CaptureFixture[str]
) -> None:
    ends = Ends(off, **over)
    ends.start()
    for _ in range(400):
        ends.nodes[0].send("b", Handshake("d", "s", {}))
        if "peer_rejected" in capfd.readouterr().err:
            break
        with pytest.raises(queue.Empty):
            ends.heard[1].get(timeout=0.05)
    else:
        raise AssertionError("nobody was refused")
    assert ends.heard[1].empty()


@pytest.mark.parametrize(
    "said",
    [
        struct.pack(">I", MAX_GREETING_BYTES + 1),
        struct.pack(">I", 3) + b"abc",
        b"OPEN 1 2 c=chat,d=1\r\n",
    ],
)
def test_who_says_no_greeting_is_closed(said: bytes) -> None:
    ends = Ends()
    ends.nodes[1].start()
    host, _, port = ends.reached[1].partition(":")
    with socket.create_connection((host, int(port)), 5) as sock:
        sock.sendall(said)
        with contextlib.suppress(ConnectionResetError):  # a close with bytes that nobody read
            assert sock.recv(1) == b""


def test_a_greeting_that_was_recorded_opens_no_second_connection() -> None:
    """The listener's nonce is new each time, so the proof of another time proves nothing."""
    ends = Ends()
    ends.nodes[1].start()
    host, _, port = ends.reached[1].partition(":")

    def greet(proof: bytes) -> tuple[Greeting, bytes]:
        with socket.create_connection((host, int(port)), 5) as sock:
            data = msgspec.msgpack.encode(Greeting(PROTOCOL_VERSION, "f", "a", "b", b"n" * 16, 60_000_000))
            sock.sendall(struct.pack(">I", len(data)) + data)
            (size,) = struct.unpack(">I", sock.recv(4, socket.MSG_WAITALL))
            theirs = msgspec.msgpack.decode(sock.recv(size, socket.MSG_WAITALL), type=Greeting)
            again = msgspec.msgpack.encode(
                Greeting(PROTOCOL_VERSION, "f", "a", "b", b"n" * 16, 60_000_000, proof)
            )
            sock.sendall(struct.pack(">I", len(again)) + again)
            return theirs, sock.recv(1)

    asked = Greeting(PROTOCOL_VERSION, "f", "a", "b", b"n" * 16, 60_000_000)
    first, ended = greet(b"?" * 32)
    assert ended == b""
    # The proof with which a true dialler had answered that nonce.
    proof = ends.nodes[1].handshake.proof(b"dialler", asked, first)
    second, ended = greet(proof)
    assert (ended, first.nonce == second.nonce) == (b"", False)
