"""The sessions of stand-in hosts: the store of the sessions, and their connections at a host.

The lines of a session are numbered. The client's n-th line is `M n`. The host's n-th line is `F n h`, which
confirms the client lines up to h. The store has both counts, so that any host can resume a session.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field


@dataclass(slots=True)
class StoredStream:
    """One session in the store."""

    received: int = 0  # number of the last client line
    sent: int = 0  # number of the last host line
    epoch: int = 0  # of the session's owner

    def next_frame(self) -> str:
        """Return the host's next line, which confirms the received client lines."""
        self.sent += 1
        return f"F {self.sent} {self.received}"

    def record_received(self, number: int) -> None:
        """Record that a client line was received."""
        self.received = max(self.received, number)

    def change_owner(self, epoch: int) -> None:
        """Record a newer epoch; it fences off the owners of older ones."""
        self.epoch = epoch

    def rewind(self, sent: int) -> None:
        """Discard the host lines after number `sent`: a host sent them, but they never reached the node."""
        self.sent = sent


class StreamStore:
    """The session store that all hosts share; it fences off the owners of older epochs."""

    def __init__(self) -> None:
        self.sessions: dict[str, StoredStream] = {}
        self.fenced_count = 0

    def acquire(self, session_id: str, epoch: int) -> StoredStream | None:
        """Return the session for a new owner, or None if it has an owner of this epoch or a newer one."""
        stored = self.sessions.setdefault(session_id, StoredStream())
        if epoch <= stored.epoch:
            self.count_fenced()
            return None
        stored.change_owner(epoch)
        return stored

    def count_fenced(self) -> None:
        """Count an owner that was rejected because its epoch is superseded or already used."""
        self.fenced_count += 1


@dataclass(slots=True, eq=False)
class HostedStream:
    """One connection at a host. Owned by the event loop."""

    host_id: str
    connection_id: str  # from the first line
    writer: asyncio.StreamWriter
    listener_index: int = 0  # of the host's listener that accepted the connection
    stored: StoredStream = field(default_factory=StoredStream)
    session_id: str = ""
    epoch: int = 0
    is_resumable: bool = False
    acknowledged: int = 0  # number of the last client line that was acknowledged to the client

    @property
    def is_fenced(self) -> bool:
        """Whether another owner now has the session."""
        return self.stored.epoch != self.epoch

    def claim(self, session_id: str, epoch: int) -> None:
        """Record which session the connection is for, and the epoch of its owner."""
        self.session_id = session_id
        self.epoch = epoch

    def resume(self, stored: StoredStream, sent: int) -> None:
        """Serve a stored session from now on; `sent` is the number of the last host line that arrived."""
        stored.rewind(sent)
        self.stored = stored
        self.is_resumable = True
        self.acknowledged = stored.received

    def send(self, line: str) -> None:
        """Send a line, unless the connection is closing."""
        if not self.writer.transport.is_closing():
            self.writer.write(f"{line}\r\n".encode())

    def send_frame(self) -> None:
        """Send the session's next line, or end the connection if another owner has the session."""
        if self.is_resumable and self.is_fenced:
            self.writer.close()
            return
        self.send(self.stored.next_frame())

    def send_acknowledgement(self) -> None:
        """Acknowledge the client's lines if there are new ones and the session can be resumed."""
        if self.is_resumable and self.acknowledged < self.stored.received:
            self.acknowledged = self.stored.received
            self.send(f"RS ACK {self.acknowledged}")
