"""As much of HTTP/1.1 as discovery needs: one GET at a time on a kept connection."""

from __future__ import annotations

import contextlib
import re
import socket
import threading
from datetime import timedelta

from tansyladder.config.platform import Address
from tansyladder.net.clock import now, seconds_left

MAX_HEAD = 16 * 1024
MAX_BODY = 4 * 1024 * 1024


class HttpError(Exception):
    """An answer that is broken, or is not the one asked for."""


class HttpTimeoutError(HttpError):
    """No answer in time, or none to the end: the other side may be there and not know of the call."""


class HttpClient:
    """Blocking GETs; every call has its end."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._sock: socket.socket | None = None
        self._rest = b""
        self._over = False
        self._lock = threading.Lock()  # the descriptor must not be closed, and reused, while it is shut down

    def close(self) -> None:
        with self._lock:
            if self._sock is not None:
                self._sock.close()
            self._sock, self._rest = None, b""

    def end(self) -> None:
        """From another thread: a call that waits fails now, and so does every later one."""
        with self._lock:
            self._over = True
            if self._sock is not None:
                with contextlib.suppress(OSError):
                    self._sock.shutdown(socket.SHUT_RDWR)  # wakes a blocked recv, which a close does not

    def get(self, path: str, connect: timedelta, wait: timedelta) -> bytes:
        """The body of a 200 answer; HttpError or OSError otherwise, and the connection is given up."""
        try:
            until = now() + wait
            sock = self._connected(connect)
            host = f"{self._address[0]}:{self._address[1]}"
            sock.settimeout(connect.total_seconds())
            ask = f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n"
            sock.sendall(ask.encode())
            head = self._until(b"\r\n\r\n", until, MAX_HEAD)
            status, headers = parse_head(head)
            body = self._body(headers, until)
            if headers.get("connection", "").lower() == "close":
                self.close()
        except (OSError, HttpError):
            self.close()
            raise
        if status != 200:
            self.close()
            raise HttpError(f"status {status}")
        return body

    def _connected(self, wait: timedelta) -> socket.socket:
        if self._sock is None:
            sock = socket.create_connection(self._address, wait.total_seconds())
            with self._lock:
                self._sock = sock
        if self._over:
            raise HttpError("ended")
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return self._sock

    def _more(self, until: timedelta) -> None:
        assert self._sock is not None
        left = seconds_left(until)
        if not left:
            raise HttpTimeoutError("no answer in time")
        self._sock.settimeout(left)
        try:
            data = self._sock.recv(65536)
        except TimeoutError as err:
            raise HttpTimeoutError("no answer in time") from err
        if not data:
            raise HttpError("the connection ended within an answer")
        self._rest += data

    def _until(self, mark: bytes, until: timedelta, most: int) -> bytes:
        while mark not in self._rest:
            if len(self._rest) > most:
                raise HttpError("a part of the answer is too long")
            self._more(until)
        part, self._rest = self._rest.split(mark, 1)
        return part

    def _take(self, size: int, until: timedelta) -> bytes:
        if not 0 <= size <= MAX_BODY:
            raise HttpError("the body is too long")
        while len(self._rest) < size:
            self._more(until)
        part, self._rest = self._rest[:size], self._rest[size:]
        return part

    def _body(self, headers: dict[str, str], until: timedelta) -> bytes:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            parts: list[bytes] = []
            while True:
                text = self._until(b"\r\n", until, MAX_HEAD).split(b";", 1)[0].strip()
                size = _number(text.decode("latin-1"), 16, "chunk size")
                if size == 0:
                    while self._until(b"\r\n", until, MAX_HEAD):
                        pass
                    return b"".join(parts)
                parts.append(self._take(size, until))
                if sum(map(len, parts)) > MAX_BODY or self._take(2, until) != b"\r\n":
                    raise HttpError("a broken chunk")
        if "content-length" in headers:
            return self._take(_number(headers["content-length"], 10, "content-length"), until)
        raise HttpError("an answer without a length")


def _number(text: str, base: int, name: str) -> int:
    if not text.isascii() or not text.isalnum():
        raise HttpError(f"{name}: not a number")
    try:
        return int(text, base)
    except ValueError as err:
        raise HttpError(f"{name}: not a number") from err


def parse_head(head: bytes) -> tuple[int, dict[str, str]]:
    """The status and the headers, by their names in lower case."""
    first, *lines = head.decode("latin-1").split("\r\n")
    words = first.split(" ", 2)
    if len(words) < 2 or not words[0].startswith("HTTP/1.") or not re.fullmatch("[0-9]{3}", words[1]):
        raise HttpError("not an HTTP/1.1 answer")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if not colon:
            raise HttpError("a broken header")
        headers[name.strip().lower()] = value.strip()
    return int(words[1]), headers
