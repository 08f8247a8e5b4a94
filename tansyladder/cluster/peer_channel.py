"""Frames between two peers that have proved the cluster's key to each other.

A frame is its length (4 bytes), an authentication tag (16 bytes) and a message in msgpack. The tags are keyed
by both sides' nonces and cover the number of the frame in its direction. So a frame of another connection, or
a replayed frame of this connection, is rejected.
"""

from __future__ import annotations

import contextlib
import hmac
import queue
import socket
import struct
from enum import Enum

from tansyladder.cluster.errors import PeerProtocolError

MAX_FRAME_BYTES = 4 << 20  # more than a snapshot with the maximum of session owners
SEND_QUEUE_SIZE = 512  # messages that wait to be sent to a peer
TAG_BYTES = 16
RECEIVE_BYTES = 1 << 16  # of one call
LENGTH = struct.Struct(">I")
FRAME_OVERHEAD_BYTES = TAG_BYTES + LENGTH.size
_FRAME_NUMBER = struct.Struct(">Q")


class ConnectionSide(Enum):
    """The two sides of a connection. The keys of frames are derived from the values."""

    DIALLER = b"dialler"
    LISTENER = b"listener"

    @property
    def opposite(self) -> ConnectionSide:
        """The side of the other node."""
        return ConnectionSide.LISTENER if self is ConnectionSide.DIALLER else ConnectionSide.DIALLER


def receive_exactly(sock: socket.socket, size: int) -> bytes:
    """Receive a number of bytes. OSError: the connection has ended, or the timeout has passed."""
    parts = []
    missing = size
    while missing:
        data = sock.recv(min(missing, RECEIVE_BYTES))
        if not data:
            raise ConnectionResetError("ended")
        parts.append(data)
        missing -= len(data)
    return b"".join(parts)


class _FrameAuthenticator:
    """Computes the tags of the frames of one direction, which are numbered from 0."""

    def __init__(self, key: bytes, sender: ConnectionSide) -> None:
        self._key = hmac.digest(key, b"frames " + sender.value, "sha256")
        self._frame_number = 0

    def next_tag(self, data: bytes) -> bytes:
        """Return the tag of the next frame."""
        message = _FRAME_NUMBER.pack(self._frame_number) + data
        self._frame_number += 1
        return hmac.digest(self._key, message, "sha256")[:TAG_BYTES]


class PeerChannel:
    """One authenticated connection.

    One thread receives and one sends; `enqueue` and `close` are thread-safe.
    """

    def __init__(self, sock: socket.socket, peer: str, key: bytes, own_side: ConnectionSide) -> None:
        """Begin with empty queues; no other connection has the same `key`."""
        self.sock = sock
        self.peer = peer
        self._outgoing = _FrameAuthenticator(key, own_side)
        self._incoming = _FrameAuthenticator(key, own_side.opposite)
        self._queue: queue.Queue[bytes | None] = queue.Queue(SEND_QUEUE_SIZE)  # None: the channel is closed

    def send(self, data: bytes) -> None:
        """Send a message. OSError: the connection has ended."""
        tag = self._outgoing.next_tag(data)
        self.sock.sendall(LENGTH.pack(len(data)) + tag + data)

    def receive(self) -> bytes:
        """Receive a message.

        OSError: the connection has ended. PeerProtocolError: the frame is too large or not authentic.
        """
        (length,) = LENGTH.unpack(receive_exactly(self.sock, LENGTH.size))
        if length > MAX_FRAME_BYTES:
            raise PeerProtocolError(f"a frame of {length} bytes")
        tag = receive_exactly(self.sock, TAG_BYTES)
        data = receive_exactly(self.sock, length)
        if not hmac.compare_digest(tag, self._incoming.next_tag(data)):
            raise PeerProtocolError("a frame that is not authentic")
        return data

    def enqueue(self, data: bytes) -> bool:
        """Queue a message for the sending thread; False if the queue is full."""
        try:
            self._queue.put_nowait(data)
        except queue.Full:
            return False
        return True

    def next_queued(self) -> bytes | None:
        """Wait for a queued message; None once the channel is closed."""
        return self._queue.get()

    def close(self) -> None:
        """End the connection and wake up both threads, of which the receiving one closes the socket."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        with contextlib.suppress(queue.Full):
            self._queue.put_nowait(None)
