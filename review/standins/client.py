"""A stand-in client: one connection to a node, from its first line to its end."""

from __future__ import annotations

import os
import socket

from standins.lines import LineReader, close, parse_address
from standins.record import Record

GRACE = 1.0  # seconds after the deadline for which a client still waits for its answer


class Connection:
    """A client's connection. Owned by one thread."""

    def __init__(self, record: Record, client: str, node: str, address: str) -> None:
        """Connect to a node."""
        self._record = record
        self._client = client
        self._node = node
        self.connection_id = os.urandom(8).hex()
        self._sock = socket.create_connection(parse_address(address), GRACE)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._reader = LineReader(self._sock)

    def open(self, key: str, class_name: str, wait: float, more: str = "") -> str:
        """Send the first line and wait for its answer; return that, or a word in brackets if there is none.

        `wait` is how long the client waits, in seconds; `more` is added to the line's values.
        """
        line = f"OPEN {self.connection_id} {key} c={class_name},d={round(wait * 1000)},g={key}{more}"
        self._record.add(
            self._client, "sent", node=self._node, id=self.connection_id, key=key, cls=class_name
        )
        try:
            self._sock.sendall(line.encode() + b"\r\n")
            answer = self._reader.read(wait + GRACE)
        except TimeoutError:
            text = "[nothing]"
        except OSError as error:
            text = f"[broken:{type(error).__name__}]"
        else:
            text = "[closed]" if answer is None else answer.decode("ascii", "replace")
        self._record.add(
            self._client,
            "got",
            node=self._node,
            id=self.connection_id,
            key=key,
            answer=text.replace(" ", "_"),
        )
        return text

    def close(self) -> None:
        """Close the connection."""
        close(self._sock)
