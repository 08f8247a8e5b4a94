"""The build under test and a peer of build 05b45c5 accept each other's greetings and frames.

The files hold all bytes that the dialling and the listening side of one connection sent: the greetings with
their proofs of the key, then two frames each. The nonces, which are usually random, and the clock were fixed.
"""

from __future__ import annotations

import socket
from pathlib import Path

import msgspec
import pytest

from tansyladder.cluster.peer_handshake import Greeting
from tansyladder.cluster.peer_transport import PeerMessage, PeerTransport
from tansyladder.config.operator_settings import PeersOptions
from tansyladder.raft.messages import Handshake, LogPosition, ProposalRequest
from tansyladder.replication.content_transfer import DocumentMessage
from tansyladder.replication.document_messages import LeaseRenewal
from tests.formats.writers import NOW, fixed_random_bytes
from tests.threads import stop_at_end_of_test

DATA = Path(__file__).parent / "data" / "transport"
NODES = {"dialler": "n1", "listener": "n2"}  # the node on each side of the connection
NONCES = {"dialler": bytes(range(0x01, 0x11)), "listener": bytes(range(0x80, 0x90))}
MESSAGES: dict[str, list[PeerMessage]] = {
    "dialler": [
        Handshake(disk_id="d1", incarnation="s1", initial_disks={}, wants_reply=True),
        ProposalRequest(request_id="n1/aa/1", data=b"\x00" * 300),
    ],
    "listener": [
        Handshake(
            disk_id="d2",
            incarnation="s2",
            initial_disks={"n1": "d1"},
            recipient_incarnation="s1",
            term=2,
            last_position=LogPosition(term=2, log_index=5),
        ),
        DocumentMessage(body=LeaseRenewal(incarnation="n2/bb")),
    ],
}


def sent_bytes(side: str) -> bytes:
    """Return all bytes that one side of the connection sent."""
    return (DATA / f"{side}.bin").read_bytes()


def new_transport(name: str) -> PeerTransport:
    """Return the transport of one of the two nodes of the cluster `f1`."""
    members = {"n1": "127.0.0.1:1", "n2": "127.0.0.1:2"}
    options = PeersOptions(
        enabled=True, fleet="f1", key="5c" * 32, members=members, voters="n1", listen="127.0.0.1:0"
    )
    return PeerTransport(name, options, lambda _, __: None, lambda: NOW)


def read_to_end(sock: socket.socket) -> bytes:
    """Return all bytes that arrive until the other side shuts down."""
    return b"".join(iter(lambda: sock.recv(1 << 16), b""))


@pytest.mark.parametrize(("side", "peer_side"), [("dialler", "listener"), ("listener", "dialler")])
def test_each_side_of_a_connection_with_a_peer_of_build_05b45c5(side: str, peer_side: str) -> None:
    transport = new_transport(NODES[side])
    stop_at_end_of_test(transport.stop)
    own_sock, peer_sock = socket.socketpair()
    with own_sock, peer_sock, fixed_random_bytes(NONCES[side][0]):
        own_sock.settimeout(5)
        peer_sock.settimeout(5)
        peer_sock.sendall(sent_bytes(peer_side))
        handshake = transport.handshake
        is_dialler = side == "dialler"
        channel = handshake.dial(own_sock, NODES[peer_side]) if is_dialler else handshake.accept(own_sock)
        for message in MESSAGES[side]:
            channel.send(msgspec.msgpack.encode(message))
        decoder = msgspec.msgpack.Decoder(PeerMessage)
        received = [decoder.decode(channel.receive()) for _ in MESSAGES[peer_side]]
        assert received == MESSAGES[peer_side]
        own_sock.shutdown(socket.SHUT_WR)
        assert read_to_end(peer_sock) == sent_bytes(side)


def first_greeting(side: str) -> Greeting:
    data = sent_bytes(side)
    size = int.from_bytes(data[:4], "big")
    return msgspec.msgpack.decode(data[4 : 4 + size], type=Greeting)


def test_the_first_greetings_decode_to_their_values() -> None:
    assert first_greeting("dialler") == Greeting(
        version=2, cluster="f1", sender="n1", recipient="n2", nonce=NONCES["dialler"], sent_at_us=NOW
    )
    assert first_greeting("listener") == Greeting(
        version=2,
        cluster="f1",
        sender="n2",
        recipient="n1",
        nonce=NONCES["listener"],
        sent_at_us=NOW,
        proof=bytes.fromhex("c52ce0b3acdf21b896f70fd67e4502bbe166d8f46f1bf2d051e6d1a9a33a41b6"),
    )
