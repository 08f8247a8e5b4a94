"""A socket with non-blocking writes and a buffer for the bytes that are not sent yet."""

from __future__ import annotations

import contextlib
import socket

from tansyladder.net import protocol, sockets
from tansyladder.net.clock import now


class BufferedSocket:
    """A socket with its unsent bytes and its buffer of received data. Owned by one thread."""

    __slots__ = ("last_progress", "line_buffer", "sock", "unsent")

    def __init__(self, sock: socket.socket, line_buffer: protocol.LineBuffer | None = None) -> None:
        """`line_buffer` holds data that was received earlier; None creates an empty one."""
        sock.settimeout(None)  # with a timeout, Python polls before each call, even with MSG_DONTWAIT
        self.sock = sock
        self.line_buffer = line_buffer or protocol.LineBuffer()
        self.unsent = b""
        self.last_progress = now()

    def send(self, data: bytes = b"") -> None:
        """Send as much as the socket accepts now, and buffer the rest; without `data`, send what is buffered.

        Raises:
            OSError: The connection is broken.
        """
        if not data and not self.unsent:
            return
        if not self.unsent:
            self.last_progress = now()
        self.unsent += data
        with contextlib.suppress(BlockingIOError):
            sent_count = self.sock.send(self.unsent, socket.MSG_DONTWAIT)
            self.unsent = self.unsent[sent_count:]
            self.last_progress = now()

    @property
    def is_stalled(self) -> bool:
        """Whether bytes are unsent and the socket has accepted none for longer than `SEND_TIMEOUT`."""
        return bool(self.unsent) and now() - self.last_progress > sockets.SEND_TIMEOUT
