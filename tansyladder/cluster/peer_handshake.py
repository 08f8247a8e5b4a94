"""The handshake in which both ends of a connection prove the cluster's key and compare their clocks.

The dialler sends its greeting; the listener answers with its own and a proof; the dialler repeats its
greeting with a proof. The proofs authenticate both greetings, which include a new nonce of each side, so a
recorded proof is not valid for another connection.
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
from tansyladder.cluster.peer_channel import LENGTH, ConnectionSide, PeerChannel, receive_exactly

PROTOCOL_VERSION = 2
NONCE_BYTES = 16
MAX_GREETING_BYTES = 1 << 10
HANDSHAKE_TIMEOUT = timedelta(seconds=2)
MAX_CLOCK_SKEW = timedelta(seconds=2)  # between two nodes, as commands carry expiries in wall-clock time
MIN_RECEIVE_TIMEOUT_SECONDS = 0.01
MAX_LOGGED_NAME = 40  # characters of a name that an unauthenticated node has sent


class Greeting(msgspec.Struct, frozen=True, array_like=True):
    """One message of the handshake; the listener's and the dialler's second one have a `proof`."""

    version: int
    cluster: str
    sender: str
    recipient: str
    nonce: bytes
    sent_at_us: int  # microseconds of Unix time
    proof: bytes = b""


def _send_greeting(sock: socket.socket, greeting: Greeting) -> None:
    """Send a greeting behind its length. OSError: the connection has ended."""
    data = msgspec.msgpack.encode(greeting)
    sock.sendall(LENGTH.pack(len(data)) + data)


def _receive_greeting(sock: socket.socket, deadline: float) -> Greeting:
    """Receive a greeting before a deadline, in seconds of the monotonic clock.

    OSError: the connection has ended, or the deadline has passed. PeerProtocolError: the data is no greeting.
    """
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
        """Shake hands as the node `name`.

        Args:
            name: This node's name.
            cluster: The cluster's name, the same at all nodes.
            key: The cluster's secret key.
            peers: The names of the other nodes.
            now_us: Reads Unix time in microseconds.
        """
        self._name = name
        self._cluster = cluster
        self._key = key
        self._peers = frozenset(peers)
        self._now_us = now_us

    def dial(self, sock: socket.socket, peer: str) -> PeerChannel:
        """Shake hands with the node that this one has connected to.

        OSError: the connection has ended. PeerError: that node is not the peer.
        """
        deadline = time.monotonic() + HANDSHAKE_TIMEOUT.total_seconds()
        own = self._greeting(peer)
        _send_greeting(sock, own)
        other = _receive_greeting(sock, deadline)
        self._check(other)
        if other.sender != peer or not hmac.compare_digest(other.proof, self.proof(b"listener", own, other)):
            raise PeerRejectedError("a wrong key")
        _send_greeting(sock, replace(own, proof=self.proof(b"dialler", own, other)))
        return PeerChannel(sock, peer, self.proof(b"frames", own, other), ConnectionSide.DIALLER)

    def accept(self, sock: socket.socket) -> PeerChannel:
        """Shake hands with a node that has connected to this one.

        OSError: the connection has ended. PeerError: that node is no peer.
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
        return PeerChannel(sock, other.sender, self.proof(b"frames", other, own), ConnectionSide.LISTENER)

    def proof(self, purpose: bytes, dialler: Greeting, listener: Greeting) -> bytes:
        """Authenticate both greetings with the cluster's key; each use has a different `purpose`."""
        greetings = msgspec.msgpack.encode((purpose, dialler, replace(listener, proof=b"")))
        return hmac.digest(self._key, greetings, "sha256")

    def _greeting(self, peer: str) -> Greeting:
        """Make this node's greeting to a peer, with a new nonce."""
        nonce = os.urandom(NONCE_BYTES)
        return Greeting(PROTOCOL_VERSION, self._cluster, self._name, peer, nonce, self._now_us())

    def _check(self, greeting: Greeting) -> None:
        """Check who has sent a greeting. PeerRejectedError: no peer, or one whose clock differs too much."""
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
