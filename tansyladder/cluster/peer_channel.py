"""Authenticated frames between two peers, after the handshake in which both proved to have the cluster's key.

A frame consists of its length (4 bytes), an authentication tag (16 bytes) and a message in msgpack. The key
of the tags depends on both sides' nonces, and a tag covers the number of its frame in its direction. So a
frame of another connection, or a replayed frame of this connection, is rejected.
"""

from __future__ import annotations

import contextlib
import hmac
import queue
import socket
import struct
from enum import Enum

from tansyladder.cluster.errors import PeerProtocolError

MAX_FRAME_BYTES = 4 << 20  # larger than a snapshot with the maximum number of session owners
MAX_QUEUED_MESSAGES = 512  # messages that wait to be sent to one peer
TAG_BYTES = 16
MAX_RECEIVE_BYTES = 1 << 16  # per call of `recv`
LENGTH = struct.Struct(">I")
FRAME_OVERHEAD_BYTES = TAG_BYTES + LENGTH.size
_FRAME_NUMBER = struct.Struct(">Q")


class ConnectionSide(Enum):
    """The two sides of a connection. The keys of its frames are derived from the values."""

    DIALLER = b"dialler"
    LISTENER = b"listener"

    @property
    def opposite(self) -> ConnectionSide:
        """The side of the other node."""
        return ConnectionSide.LISTENER if self is ConnectionSide.DIALLER else ConnectionSide.DIALLER


def receive_exactly(sock: socket.socket, size: int) -> bytes:
    """Receive exactly `size` bytes.

    Raises:
        OSError: The connection has ended, or the socket's timeout has passed.
    """
    parts = []
    missing = size
    while missing:
        data = sock.recv(min(missing, MAX_RECEIVE_BYTES))
        if not data:
            raise ConnectionResetError(f"connection ended: {missing} of {size} bytes not received")
        parts.append(data)
        missing -= len(data)
    return b"".join(parts)


class _FrameAuthenticator:
    """Computes the tags of the frames of one direction; the frames are numbered from 0."""

    def __init__(self, key: bytes, sender: ConnectionSide) -> None:
        self._key = hmac.digest(key, b"frames " + sender.value, "sha256")
        self._frame_number = 0

    def next_tag(self, data: bytes) -> bytes:
        """Return the tag of the next frame."""
        message = _FRAME_NUMBER.pack(self._frame_number) + data
        self._frame_number += 1
        return hmac.digest(self._key, message, "sha256")[:TAG_BYTES]


class PeerChannel:
    """An authenticated connection to a peer.

    One thread may receive and one other thread may send; any thread may call `enqueue` and `close`.
    """

    def __init__(self, sock: socket.socket, peer: str, key: bytes, own_side: ConnectionSide) -> None:
        """Create a channel with an empty queue; `key` must be unique to this connection."""
        self.sock = sock
        self.peer = peer
        self._outgoing = _FrameAuthenticator(key, own_side)
        self._incoming = _FrameAuthenticator(key, own_side.opposite)
        self._queue: queue.Queue[bytes | None] = queue.Queue(MAX_QUEUED_MESSAGES)  # None ends the sender

    def send(self, data: bytes) -> None:
        """Send a message.

        Raises:
            OSError: The connection has ended.
        """
        tag = self._outgoing.next_tag(data)
        self.sock.sendall(LENGTH.pack(len(data)) + tag + data)

    def receive(self) -> bytes:
        """Receive a message.

        Raises:
            OSError: The connection has ended.
            PeerProtocolError: The frame is too large, or its tag is wrong.
        """
        (length,) = LENGTH.unpack(receive_exactly(self.sock, LENGTH.size))
        if length > MAX_FRAME_BYTES:
            raise PeerProtocolError(
                f"frame of {length} bytes from {self.peer!r}: at most {MAX_FRAME_BYTES} are allowed"
            )
        tag = receive_exactly(self.sock, TAG_BYTES)
        data = receive_exactly(self.sock, length)
        if not hmac.compare_digest(tag, self._incoming.next_tag(data)):
            raise PeerProtocolError(f"frame of {length} bytes from {self.peer!r}: wrong authentication tag")
        return data

    def enqueue(self, data: bytes) -> bool:
        """Queue a message for the sending thread; return False if the queue is full."""
        try:
            self._queue.put_nowait(data)
        except queue.Full:
            return False
        return True

    def next_queued(self) -> bytes | None:
        """Wait for a queued message and return it; return None once the channel is closed."""
        return self._queue.get()

    def close(self) -> None:
        """End the connection and wake up both threads; the receiving thread then closes the socket."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        with contextlib.suppress(queue.Full):
            self._queue.put_nowait(None)
