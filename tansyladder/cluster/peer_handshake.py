"""The handshake in which both ends of a connection prove the cluster's key and compare their clocks.

The dialler sends its greeting, the listener its own with a proof, the dialler its own again with a proof. The
proofs cover all that both have said, with a new nonce of each side, so a recorded one proves nothing.
"""

from __future__ import annotations

import hmac
import os
import socket
import time
from collections.abc import Callable, Collection
from datetime import timedelta

import msgspec
from msgspec.structs import replace

from tansyladder.cluster.errors import PeerProtocolError, PeerRejectedError
from tansyladder.cluster.peer_channel import LENGTH, PeerChannel, receive_exactly

PROTOCOL_VERSION = 2
NONCE_BYTES = 16
MAX_GREETING_BYTES = 1 << 10
HANDSHAKE_TIMEOUT = timedelta(seconds=2)
MAX_CLOCK_SKEW = timedelta(seconds=2)  # between two nodes: expiries are told in wall-clock time
MIN_RECEIVE_TIMEOUT_SECONDS = 0.01
MAX_LOGGED_NAME = 40  # characters of a name that a stranger has sent


class Greeting(msgspec.Struct, frozen=True, array_like=True):
    """One message of the handshake; `proof` is in the listener's, and in the dialler's second one."""

    version: int
    cluster: str
    sender: str
    recipient: str
    nonce: bytes
    sent_at_us: int  # microseconds of Unix time
    proof: bytes = b""


def _send_greeting(sock: socket.socket, greeting: Greeting) -> None:
    data = msgspec.msgpack.encode(greeting)
    sock.sendall(LENGTH.pack(len(data)) + data)


def _receive_greeting(sock: socket.socket, deadline: float) -> Greeting:
    """`deadline`: in seconds of the monotonic clock."""
    sock.settimeout(max(MIN_RECEIVE_TIMEOUT_SECONDS, deadline - time.monotonic()))
    (length,) = LENGTH.unpack(receive_exactly(sock, LENGTH.size))
    if length > MAX_GREETING_BYTES:
        raise PeerProtocolError(f"a greeting of {length} bytes")
    try:
        return msgspec.msgpack.decode(receive_exactly(sock, length), type=Greeting)
    except msgspec.MsgspecError as err:
        raise PeerProtocolError("no greeting") from err


class PeerHandshake:
    """One node's side of handshakes. Immutable, thus thread-safe."""

    def __init__(
        self, name: str, cluster: str, key: bytes, peers: Collection[str], now_us: Callable[[], int]
    ) -> None:
        """`peers`: the other nodes' names; `now_us`: Unix time in microseconds."""
        self._name = name
        self._cluster = cluster
        self._key = key
        self._peers = frozenset(peers)
        self._now_us = now_us

    def dial(self, sock: socket.socket, peer: str) -> PeerChannel:
        """Greet the node that this one has connected to.

        OSError: the connection has ended; PeerError: that node is not the peer.
        """
        deadline = time.monotonic() + HANDSHAKE_TIMEOUT.total_seconds()
        own = self._greeting(peer)
        _send_greeting(sock, own)
        other = _receive_greeting(sock, deadline)
        self._check(other)
        if other.sender != peer or not hmac.compare_digest(other.proof, self.proof(b"listener", own, other)):
            raise PeerRejectedError("a wrong key")
        _send_greeting(sock, replace(own, proof=self.proof(b"dialler", own, other)))
        return PeerChannel(sock, peer, self.proof(b"frames", own, other), is_dialler=True)

    def accept(self, sock: socket.socket) -> PeerChannel:
        """Answer the greeting of a node that has connected to this one.

        OSError: the connection has ended; PeerError: that node is no peer.
        """
        deadline = time.monotonic() + HANDSHAKE_TIMEOUT.total_seconds()
        other = _receive_greeting(sock, deadline)
        self._check(other)
        own = self._greeting(other.sender)
        own = replace(own, proof=self.proof(b"listener", other, own))
        _send_greeting(sock, own)
        confirmation = _receive_greeting(sock, deadline)
        if not hmac.compare_digest(confirmation.proof, self.proof(b"dialler", other, own)):
            raise PeerRejectedError("a wrong key")
        return PeerChannel(sock, other.sender, self.proof(b"frames", other, own), is_dialler=False)

    def proof(self, purpose: bytes, dialler: Greeting, listener: Greeting) -> bytes:
        """Authenticate both greetings with the cluster's key; `purpose` tells one use from another."""
        greetings = msgspec.msgpack.encode((purpose, dialler, replace(listener, proof=b"")))
        return hmac.digest(self._key, greetings, "sha256")

    def _greeting(self, peer: str) -> Greeting:
        nonce = os.urandom(NONCE_BYTES)
        return Greeting(PROTOCOL_VERSION, self._cluster, self._name, peer, nonce, self._now_us())

    def _check(self, greeting: Greeting) -> None:
        """PeerRejectedError: it is of no peer of this node."""
        is_own_cluster = greeting.version == PROTOCOL_VERSION and greeting.cluster == self._cluster
        if not is_own_cluster or greeting.recipient != self._name:
            cluster = greeting.cluster[:MAX_LOGGED_NAME]
            recipient = greeting.recipient[:MAX_LOGGED_NAME]
            raise PeerRejectedError(f"version {greeting.version}, fleet {cluster!r}, for {recipient!r}")
        if greeting.sender not in self._peers or len(greeting.nonce) != NONCE_BYTES:
            raise PeerRejectedError(f"unknown name {greeting.sender[:MAX_LOGGED_NAME]!r}")
        skew = timedelta(microseconds=greeting.sent_at_us - self._now_us())
        if abs(skew) > MAX_CLOCK_SKEW:
            seconds = skew.total_seconds()
            raise PeerRejectedError(
                f"the clocks of {greeting.sender} and this node differ by {seconds:.1f} s"
            )
