"""The handshake of a peer connection: both sides prove that they have the cluster's key, and compare clocks.

1. The dialler sends its greeting.
2. The listener answers with its own greeting and a proof.
3. The dialler repeats its greeting with a proof.

A proof is a MAC over both greetings. Each greeting contains a new nonce, so a recorded proof is not valid for
another connection.
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
MAX_CLOCK_SKEW = timedelta(seconds=2)  # between two nodes, because commands contain wall-clock expiries
MIN_RECEIVE_TIMEOUT_SECONDS = 0.01  # a timeout of 0 would make the socket non-blocking
MAX_LOGGED_NAME = 40  # characters that are logged of a name received from an unauthenticated node


class Greeting(msgspec.Struct, frozen=True, array_like=True):
    """A message of the handshake; the dialler's first greeting has no `proof`."""

    version: int
    cluster: str
    sender: str
    recipient: str
    nonce: bytes
    sent_at_us: int  # microseconds of Unix time
    proof: bytes = b""


def _send_greeting(sock: socket.socket, greeting: Greeting) -> None:
    """Send a greeting, preceded by its length.

    Raises:
        OSError: The connection has ended.
    """
    data = msgspec.msgpack.encode(greeting)
    sock.sendall(LENGTH.pack(len(data)) + data)


def _receive_greeting(sock: socket.socket, deadline: float) -> Greeting:
    """Receive a greeting by a deadline, in seconds of the monotonic clock.

    Raises:
        OSError: The connection has ended, or the deadline has passed.
        PeerProtocolError: The received data is not a greeting.
    """
    sock.settimeout(max(MIN_RECEIVE_TIMEOUT_SECONDS, deadline - time.monotonic()))
    (length,) = LENGTH.unpack(receive_exactly(sock, LENGTH.size))
    if length > MAX_GREETING_BYTES:
        raise PeerProtocolError(f"greeting of {length} bytes: at most {MAX_GREETING_BYTES} are allowed")
    try:
        return msgspec.msgpack.decode(receive_exactly(sock, length), type=Greeting)
    except msgspec.MsgspecError as err:
        raise PeerProtocolError(f"the {length} bytes received are not a greeting: {err}") from err


class PeerHandshake:
    """Performs handshakes for this node, as the dialler or as the listener. Immutable, thus thread-safe."""

    def __init__(
        self, name: str, cluster: str, key: bytes, peers: Collection[str], now_us: Callable[[], int]
    ) -> None:
        """Create the handshake of the node `name`.

        Args:
            name: This node's name.
            cluster: The cluster's name, which is the same at all nodes.
            key: The cluster's secret key.
            peers: The names of the other nodes.
            now_us: Returns Unix time in microseconds.
        """
        self._name = name
        self._cluster = cluster
        self._key = key
        self._peers = frozenset(peers)
        self._now_us = now_us

    def dial(self, sock: socket.socket, peer: str) -> PeerChannel:
        """Perform the handshake with a node that this node has connected to.

        Raises:
            OSError: The connection has ended.
            PeerError: The other node is not `peer`, or it violates the protocol.
        """
        deadline = time.monotonic() + HANDSHAKE_TIMEOUT.total_seconds()
        own = self._greeting(peer)
        _send_greeting(sock, own)
        other = _receive_greeting(sock, deadline)
        self._check(other)
        if other.sender != peer or not hmac.compare_digest(other.proof, self.proof(b"listener", own, other)):
            raise PeerRejectedError(f"a wrong key or node: {other.sender!r} answered, {peer!r} was expected")
        _send_greeting(sock, replace(own, proof=self.proof(b"dialler", own, other)))
        return PeerChannel(sock, peer, self.proof(b"frames", own, other), ConnectionSide.DIALLER)

    def accept(self, sock: socket.socket) -> PeerChannel:
        """Perform the handshake with a node that has connected to this node.

        Raises:
            OSError: The connection has ended.
            PeerError: The other node is not a peer, or it violates the protocol.
        """
        deadline = time.monotonic() + HANDSHAKE_TIMEOUT.total_seconds()
        other = _receive_greeting(sock, deadline)
        self._check(other)
        own = self._greeting(other.sender)
        own = replace(own, proof=self.proof(b"listener", other, own))
        _send_greeting(sock, own)
        confirmation = _receive_greeting(sock, deadline)
        if not hmac.compare_digest(confirmation.proof, self.proof(b"dialler", other, own)):
            raise PeerRejectedError(f"a wrong key: the proof of {other.sender!r} is invalid")
        return PeerChannel(sock, other.sender, self.proof(b"frames", other, own), ConnectionSide.LISTENER)

    def proof(self, purpose: bytes, dialler: Greeting, listener: Greeting) -> bytes:
        """Return a MAC over both greetings with the cluster's key; each use of it has its own `purpose`."""
        greetings = msgspec.msgpack.encode((purpose, dialler, replace(listener, proof=b"")))
        return hmac.digest(self._key, greetings, "sha256")

    def _greeting(self, peer: str) -> Greeting:
        """Return this node's greeting to a peer, with a new nonce."""
        nonce = os.urandom(NONCE_BYTES)
        return Greeting(PROTOCOL_VERSION, self._cluster, self._name, peer, nonce, self._now_us())

    def _check(self, greeting: Greeting) -> None:
        """Check that a greeting comes from a peer of this node and is addressed to this node.

        Raises:
            PeerRejectedError: It doesn't, or the peer's clock differs from this node's by too much.
        """
        is_own_cluster = greeting.version == PROTOCOL_VERSION and greeting.cluster == self._cluster
        if not is_own_cluster or greeting.recipient != self._name:
            cluster = greeting.cluster[:MAX_LOGGED_NAME]
            recipient = greeting.recipient[:MAX_LOGGED_NAME]
            raise PeerRejectedError(
                f"greeting of version {greeting.version} in cluster {cluster!r} for {recipient!r}: expected "
                f"version {PROTOCOL_VERSION}, {self._cluster!r}, {self._name!r}"
            )
        if greeting.sender not in self._peers or len(greeting.nonce) != NONCE_BYTES:
            raise PeerRejectedError(
                f"unknown name {greeting.sender[:MAX_LOGGED_NAME]!r}, "
                f"or a wrong nonce length: {len(greeting.nonce)} bytes, {NONCE_BYTES} expected"
            )
        skew = timedelta(microseconds=greeting.sent_at_us - self._now_us())
        if abs(skew) > MAX_CLOCK_SKEW:
            seconds = skew.total_seconds()
            raise PeerRejectedError(
                f"the clocks of {greeting.sender} and this node differ by {seconds:.1f} s, "
                f"more than {MAX_CLOCK_SKEW.total_seconds():.1f} s"
            )
