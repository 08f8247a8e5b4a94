"""An HTTP/1.1 client with what discovery needs: one GET request at a time on a persistent connection."""

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

MAX_HEAD_BYTES = 16 * 1024  # of a response's head; far more than the platform's front end sends
MAX_BODY_BYTES = 4 * 1024 * 1024  # far more than any endpoint list; bounds the node's memory
READ_SIZE_BYTES = 64 * 1024  # of one read; an endpoint list takes few reads
_STATUS_OK = 200
_STATUS_PATTERN = re.compile("[0-9]{3}")


class HttpError(NetworkError):
    """The response is malformed, too long, incomplete or not of status 200, or the call was aborted."""


class HttpStatusError(HttpError):
    """The response is complete, but its status is not 200."""

    def __init__(self, status: int) -> None:
        super().__init__(f"expected HTTP status 200, got {status}")
        self.status = status


class HttpTimeoutError(HttpError):
    """No complete response arrived in time; even a running server may not have received the request."""


class ResponseHead(NamedTuple):
    """A response's status line and headers."""

    status: int
    headers: dict[str, str]  # by name in lower case


class HttpClient:
    """A blocking client of one server.

    One thread calls `get` and `close`; `abort` is thread-safe.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self._sock: socket.socket | None = None
        self._received = b""  # bytes that are not parsed yet
        self._is_aborted = False
        self._lock = threading.Lock()  # the descriptor must not be closed and reused during `abort`

    def close(self) -> None:
        """Close the connection; the next `get` opens a new one."""
        with self._lock:
            if self._sock is not None:
                self._sock.close()
            self._sock = None
            self._received = b""

    def abort(self) -> None:
        """Make a `get` that another thread waits in fail immediately, and every later `get` as well."""
        with self._lock:
            self._is_aborted = True
            if self._sock is not None:
                with contextlib.suppress(OSError):
                    self._sock.shutdown(socket.SHUT_RDWR)  # wakes a blocked recv, which close() does not

    def get(self, path: str, connect_timeout: timedelta, timeout: timedelta) -> bytes:
        """Request a path, and return the body of the response; after any error the connection is closed.

        Args:
            path: The path, with its query.
            connect_timeout: Bounds the connect, and the sending of the request.
            timeout: Bounds the wait for the complete response, counted from the start of the call.

        Raises:
            HttpStatusError: The status of the response is not 200.
            HttpTimeoutError: The response is not complete in time.
            HttpError: The response is malformed or too long, or the client was aborted.
            OSError: The connection could not be established, or it broke.
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
        host = f"{self.address[0]}:{self.address[1]}"
        return f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n".encode()

    def _connect(self, timeout: timedelta) -> socket.socket:
        if self._sock is None:
            sock = socket.create_connection(self.address, timeout.total_seconds())
            with self._lock:
                self._sock = sock
        if self._is_aborted:
            raise HttpError("the HTTP client was aborted")
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return self._sock

    def _receive(self, deadline: timedelta) -> None:
        """Wait for data, and append it to the bytes that are not parsed yet."""
        assert self._sock is not None
        try:
            data = sockets.receive_by(self._sock, READ_SIZE_BYTES, deadline)
        except TimeoutError as err:
            raise HttpTimeoutError(
                f"no complete response from {self.address[0]}:{self.address[1]} in time"
            ) from err
        if not data:
            raise HttpError("the server closed the connection before the response was complete")
        self._received += data

    def _read_until(self, delimiter: bytes, deadline: timedelta, max_bytes: int) -> bytes:
        """Read up to a delimiter, and return the bytes before it."""
        while delimiter not in self._received:
            if len(self._received) > max_bytes:
                raise HttpError(
                    f"expected {delimiter!r} within {max_bytes} bytes, got {len(self._received)} without it"
                )
            self._receive(deadline)
        part, self._received = self._received.split(delimiter, 1)
        return part

    def _read_exactly(self, size: int, deadline: timedelta) -> bytes:
        if not 0 <= size <= MAX_BODY_BYTES:
            raise HttpError(f"expected at most {MAX_BODY_BYTES} bytes of body, got a length of {size}")
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
        raise HttpError("the response has neither a Content-Length nor chunked encoding")

    def _read_chunks(self, deadline: timedelta) -> bytes:
        chunks: list[bytes] = []
        body_size = 0
        while True:
            size_line = self._read_until(b"\r\n", deadline, MAX_HEAD_BYTES)
            size_text = size_line.split(b";", 1)[0].strip()  # a chunk extension may follow the size
            size = _parse_number(size_text.decode("latin-1"), 16, "chunk size")
            if size == 0:
                while self._read_until(b"\r\n", deadline, MAX_HEAD_BYTES):
                    pass  # skip trailers, up to the empty line
                return b"".join(chunks)
            chunks.append(self._read_exactly(size, deadline))
            body_size += size
            if body_size > MAX_BODY_BYTES or self._read_exactly(2, deadline) != b"\r\n":
                raise HttpError(
                    f"a chunk without CRLF at its end, or more than {MAX_BODY_BYTES} bytes of body"
                )


def _parse_number(text: str, base: int, name: str) -> int:
    if not text.isascii() or not text.isalnum():  # `int` accepts signs, spaces and underscores
        raise HttpError(f"{name}: expected a number in base {base}, got {text!r}")
    try:
        return int(text, base)
    except ValueError as err:
        raise HttpError(f"{name}: expected a number in base {base}, got {text!r}") from err


def parse_head(head: bytes) -> ResponseHead:
    """Parse the head of a response, given without the empty line that ends it.

    Raises:
        HttpError: The bytes are not the head of an HTTP/1.x response.
    """
    status_line, *header_lines = head.decode("latin-1").split("\r\n")
    version, _, status_and_reason = status_line.partition(" ")
    status = status_and_reason.partition(" ")[0]
    if not version.startswith("HTTP/1.") or not _STATUS_PATTERN.fullmatch(status):
        raise HttpError(f"expected an HTTP/1.x status line, got {status_line!r}")
    headers = {}
    for line in header_lines:
        name, colon, value = line.partition(":")
        if not colon:
            raise HttpError(f"expected a header NAME: VALUE, got {line!r}")
        headers[name.strip().lower()] = value.strip()
    return ResponseHead(int(status), headers)
