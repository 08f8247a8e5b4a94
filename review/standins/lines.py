"""Lines over TCP: reading them, and the first line of a connection."""

from __future__ import annotations

import contextlib
import socket
from dataclasses import dataclass

LOOPBACK = "127.0.0.1"
READ_SIZE = 4096


class LineReader:
    """Reads the lines of a socket, one after the other."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._received = b""

    def read(self, timeout: float | None) -> bytes | None:
        """Return the next line without its end, or None at the end of the connection.

        Raises TimeoutError if no complete line arrives in time, OSError if the connection breaks.
        """
        self._sock.settimeout(timeout)
        while b"\n" not in self._received:
            data = self._sock.recv(READ_SIZE)
            if not data:
                return None
            self._received += data
        line, _, self._received = self._received.partition(b"\n")
        return line.rstrip(b"\r")


@dataclass(frozen=True)
class Opening:
    """A first line `OPEN ID KEY NAME=VALUE,...`."""

    connection_id: str
    key: str
    values: dict[str, str]


def parse_opening(line: bytes) -> Opening | None:
    """Return the content of a first line, or None if it has another form."""
    words = line.decode("ascii", "replace").split(" ")
    if len(words) != len(("OPEN", "ID", "KEY", "VALUES")) or words[0] != "OPEN":
        return None
    values = dict(pair.partition("=")[::2] for pair in words[3].split(","))
    return Opening(words[1], words[2], values)


def listen(backlog: int = 128) -> socket.socket:
    """Return a socket that listens on a free loopback port."""
    return socket.create_server((LOOPBACK, 0), backlog=backlog)


def address_of(sock: socket.socket) -> str:
    """Return the address of a listening socket as HOST:PORT."""
    host, port = sock.getsockname()[:2]
    return f"{host}:{port}"


def parse_address(address: str) -> tuple[str, int]:
    """Return host and port of HOST:PORT."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def close(sock: socket.socket) -> None:
    """Close a socket, which another thread may be reading."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()
