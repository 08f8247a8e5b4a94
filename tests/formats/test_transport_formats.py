"""A peer of build 05b45c5 is greeted and its frames are read, and frames are written as it wrote them.

The files hold all bytes that the dialling and the listening side of one connection sent: the greetings with
their proofs of the key, then two frames each. The nonces, which are random, were fixed, and the clock too.
"""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from tests.formats import adapter, storage_adapter
from tests.formats.adapter import PeerMessage
from tests.formats.writers import NOW, fixed_random

DATA = Path(__file__).parent / "data" / "transport"
DIALLER_MESSAGES: list[PeerMessage] = [
    adapter.hello(disk="d1", start="s1", founders={}, to="", wants_answer=True, term=0, last=(0, 0)),
    adapter.propose(request="n1/aa/1", data=b"\x00" * 300),
]
LISTENER_MESSAGES: list[PeerMessage] = [
    adapter.hello(
        disk="d2", start="s2", founders={"n1": "d1"}, to="s1", wants_answer=False, term=2, last=(2, 5)
    ),
    adapter.lease_renewal(start="n2/bb"),
]
DIALLER_NONCE = bytes(range(0x01, 0x11))
LISTENER_NONCE = bytes(range(0x80, 0x90))


@contextmanager
def ends() -> Iterator[tuple[socket.socket, socket.socket]]:
    ours, theirs = socket.socketpair()
    with ours, theirs:
        ours.settimeout(5)
        theirs.settimeout(5)
        yield ours, theirs


def received(sock: socket.socket) -> bytes:
    """All that comes until the other end shuts down."""
    return b"".join(iter(lambda: sock.recv(1 << 16), b""))


def first_greeting(stream: bytes) -> object:
    size = int.from_bytes(stream[:4], "big")
    return adapter.decode_greeting(stream[4 : 4 + size])


@pytest.mark.parametrize("side", ["dialler", "listener"])
def test_one_side_of_a_connection_with_a_peer_of_the_build_before(side: str) -> None:
    dials = side == "dialler"
    ours_file, theirs_file = ("dialler", "listener") if dials else ("listener", "dialler")
    sent, expected = (DIALLER_MESSAGES, LISTENER_MESSAGES) if dials else (LISTENER_MESSAGES, DIALLER_MESSAGES)
    transport = storage_adapter.peer_transport("n1" if dials else "n2", NOW)
    try:
        with ends() as (ours, theirs), fixed_random(side):
            theirs.sendall((DATA / f"{theirs_file}.bin").read_bytes())
            channel = (
                storage_adapter.dial(transport, ours, "n2")
                if dials
                else storage_adapter.welcome(transport, ours)
            )
            for message in sent:
                channel.send(adapter.encode(message))
            assert [adapter.decode_peer_message(channel.receive()) for _ in expected] == expected
            ours.shutdown(socket.SHUT_WR)
            assert received(theirs) == (DATA / f"{ours_file}.bin").read_bytes()
    finally:
        storage_adapter.close_transport(transport)


def test_the_first_greetings_hold_their_values() -> None:
    dialler = first_greeting((DATA / "dialler.bin").read_bytes())
    assert dialler == adapter.greeting(
        version=2, fleet="f1", name="n1", to="n2", nonce=DIALLER_NONCE, time=NOW, proof=b""
    )
    listener = first_greeting((DATA / "listener.bin").read_bytes())
    proof = bytes.fromhex("c52ce0b3acdf21b896f70fd67e4502bbe166d8f46f1bf2d051e6d1a9a33a41b6")
    assert listener == adapter.greeting(
        version=2, fleet="f1", name="n2", to="n1", nonce=LISTENER_NONCE, time=NOW, proof=proof
    )
