"""The subset of HTTP/1.1 that discovery needs: one GET at a time on a persistent connection."""

from __future__ import annotations

import contextlib
import re
import socket
import threading
from datetime import timedelta
from typing import NamedTuple

from tansyladder.config.platform import Address
from tansyladder.net import sockets
from tansyladder.net.clock import now
from tansyladder.net.errors import NetworkError

MAX_HEAD_BYTES = 16 * 1024  # far over what the platform's front end sends
MAX_BODY_BYTES = 4 * 1024 * 1024  # far over any list of endpoints; it bounds the node's memory
READ_SIZE_BYTES = 64 * 1024  # of one read: a list of endpoints takes few reads
_STATUS_OK = 200
_STATUS = re.compile("[0-9]{3}")


class HttpError(NetworkError):
    """A response that is malformed, or not the one requested."""


class HttpStatusError(HttpError):
    """A complete response whose status, in `status`, is not 200."""

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status}")
        self.status = status


class HttpTimeoutError(HttpError):
    """No complete response in time: the server may be running and not have received the request."""


class ResponseHead(NamedTuple):
    """A response's status line and headers."""

    status: int
    headers: dict[str, str]  # by name in lower case


class HttpClient:
    """A blocking client of one server.

    `get` and `close` are called by one thread; `abort` is thread-safe.
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        self._sock: socket.socket | None = None
        self._received = b""  # received, and not parsed yet
        self._is_aborted = False
        self._lock = threading.Lock()  # the descriptor must not be closed and reused during a shutdown

    def close(self) -> None:
        """Close the connection; the next call makes a new one."""
        with self._lock:
            if self._sock is not None:
                self._sock.close()
            self._sock = None
            self._received = b""

    def abort(self) -> None:
        """Make the call that another thread is waiting in fail now, and every later call as well."""
        with self._lock:
            self._is_aborted = True
            if self._sock is not None:
                with contextlib.suppress(OSError):
                    self._sock.shutdown(socket.SHUT_RDWR)  # wakes a blocked recv, which a close does not

    def get(self, path: str, connect_timeout: timedelta, timeout: timedelta) -> bytes:
        """Return the body of a response with status 200; after any error the connection is closed.

        `timeout` bounds the whole call; `connect_timeout` the connect, and the sending of the request.

        Raises:
            HttpStatusError: The status is another.
            HttpTimeoutError: The response is not complete in time.
            HttpError: The response is malformed or too long, or the client was aborted.
            OSError: The connection can't be established, or it broke.
        """
        try:
            return self._get(path, connect_timeout, now() + timeout)
        except (OSError, HttpError):
            self.close()
            raise

    def _get(self, path: str, connect_timeout: timedelta, deadline: timedelta) -> bytes:
        sock = self._connect(connect_timeout)
        sock.settimeout(connect_timeout.total_seconds())
        sock.sendall(self._format_request(path))
        head = parse_head(self._read_until(b"\r\n\r\n", deadline, MAX_HEAD_BYTES))
        body = self._read_body(head.headers, deadline)
        if head.headers.get("connection", "").lower() == "close":
            self.close()
        if head.status != _STATUS_OK:
            raise HttpStatusError(head.status)
        return body

    def _format_request(self, path: str) -> bytes:
        host = f"{self._address[0]}:{self._address[1]}"
        return f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode()

    def _connect(self, timeout: timedelta) -> socket.socket:
        if self._sock is None:
            sock = socket.create_connection(self._address, timeout.total_seconds())
            with self._lock:
                self._sock = sock
        if self._is_aborted:
            raise HttpError("ended")
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return self._sock

    def _receive(self, deadline: timedelta) -> None:
        """Append the next received bytes to those that are not parsed yet."""
        assert self._sock is not None
        try:
            data = sockets.receive_by(self._sock, READ_SIZE_BYTES, deadline)
        except TimeoutError as err:
            raise HttpTimeoutError("no answer in time") from err
        if not data:
            raise HttpError("the connection ended within an answer")
        self._received += data

    def _read_until(self, delimiter: bytes, deadline: timedelta, max_bytes: int) -> bytes:
        """Read up to a delimiter, and return what precedes it."""
        while delimiter not in self._received:
            if len(self._received) > max_bytes:
                raise HttpError("a part of the answer is too long")
            self._receive(deadline)
        part, self._received = self._received.split(delimiter, 1)
        return part

    def _read_exactly(self, size: int, deadline: timedelta) -> bytes:
        if not 0 <= size <= MAX_BODY_BYTES:
            raise HttpError("the body is too long")
        while len(self._received) < size:
            self._receive(deadline)
        part = self._received[:size]
        self._received = self._received[size:]
        return part

    def _read_body(self, headers: dict[str, str], deadline: timedelta) -> bytes:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            return self._read_chunks(deadline)
        if "content-length" in headers:
            return self._read_exactly(
                _parse_number(headers["content-length"], 10, "content-length"), deadline
            )
        raise HttpError("an answer without a length")

    def _read_chunks(self, deadline: timedelta) -> bytes:
        chunks: list[bytes] = []
        body_size = 0
        while True:
            size_line = self._read_until(b"\r\n", deadline, MAX_HEAD_BYTES)
            size_text = size_line.split(b";", 1)[0].strip()  # an extension may follow the size
            size = _parse_number(size_text.decode("latin-1"), 16, "chunk size")
            if size == 0:
                while self._read_until(b"\r\n", deadline, MAX_HEAD_BYTES):
                    pass  # trailers, up to an empty line
                return b"".join(chunks)
            chunks.append(self._read_exactly(size, deadline))
            body_size += size
            if body_size > MAX_BODY_BYTES or self._read_exactly(2, deadline) != b"\r\n":
                raise HttpError("a broken chunk")


def _parse_number(text: str, base: int, name: str) -> int:
    if not text.isascii() or not text.isalnum():  # `int` would take signs, spaces and underscores
        raise HttpError(f"{name}: not a number")
    try:
        return int(text, base)
    except ValueError as err:
        raise HttpError(f"{name}: not a number") from err


def parse_head(head: bytes) -> ResponseHead:
    """Parse a response's head, without the empty line that ends it.

    Raises:
        HttpError: It is not the head of an HTTP/1.x response.
    """
    status_line, *header_lines = head.decode("latin-1").split("\r\n")
    version, _, status_and_reason = status_line.partition(" ")
    status = status_and_reason.partition(" ")[0]
    if not version.startswith("HTTP/1.") or not _STATUS.fullmatch(status):
        raise HttpError("not an HTTP/1.1 answer")
    headers = {}
    for line in header_lines:
        name, colon, value = line.partition(":")
        if not colon:
            raise HttpError("a broken header")
        headers[name.strip().lower()] = value.strip()
    return ResponseHead(int(status), headers)
