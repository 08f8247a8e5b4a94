"""The history of a run: what clients, hosts, the front and the rig saw, one JSON object a line.

All processes are on one machine, so `at` is its monotonic clock in microseconds, the same for all of them.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import IO

import msgspec

from tansyladder.lab.report import MICROSECOND, clock

FLUSH = 64  # events between two writes: a process that is ended loses fewer than these


class Event(msgspec.Struct, frozen=True, omit_defaults=True):
    """One thing that one party saw; fields that do not belong to its kind are left at their defaults."""

    timestamp_us: int = msgspec.field(name="at")
    party: str = msgspec.field(name="who")  # client, host, front, node or rig
    kind: str = msgspec.field(name="what")
    client: int = -1
    session_count: int = msgspec.field(default=0, name="life")  # sessions that the client has begun
    connection_id: str = msgspec.field(default="", name="ident")
    token: str = ""  # shown
    label: str = msgspec.field(default="", name="word")  # first word of the answer
    detail: str = msgspec.field(default="", name="text")
    node: int = -1
    host: str = ""
    session_id: str = msgspec.field(default="", name="session")  # as hosts know it
    epoch: int = 0
    number: int = 0  # of a line, or of connections
    acknowledged_line: int = msgspec.field(
        default=0, name="of_own"
    )  # the last of the client's lines that its host has
    decided_at_us: int = msgspec.field(default=0, name="moment")  # Unix time by the node's clock


class History:
    """Collects events, in memory or into a file as well."""

    def __init__(self, out: IO[bytes] | None = None) -> None:
        self.events: list[Event] = []
        self._out, self._written = out, 0

    def add(self, who: str, what: str, **fields: object) -> None:
        """One more event, of this moment."""
        told = {"at": clock() // MICROSECOND, "who": who, "what": what, **fields}
        self.events.append(msgspec.convert(told, Event))
        if self._out is not None and len(self.events) - self._written >= FLUSH:
            self.flush()

    def flush(self) -> None:
        """Write what is not written yet; of a history in a file nothing is kept in memory."""
        if self._out is not None:
            self._out.write(b"".join(msgspec.json.encode(event) + b"\n" for event in self.events))
            self._out.flush()
            self.events, self._written = [], 0


def load(path: Path) -> list[Event]:
    """Events of a file; a last line that was cut off is left out."""
    lines = path.read_bytes().split(b"\n")[:-1]
    return [msgspec.json.decode(line, type=Event) for line in lines if line]


def merged(*parts: Iterable[Event]) -> list[Event]:
    """All events in the order of their moments."""
    return sorted((event for part in parts for event in part), key=lambda event: event.timestamp_us)


def save(path: Path, events: Iterable[Event]) -> None:
    """Write a history, a line an event."""
    path.write_bytes(b"".join(msgspec.json.encode(event) + b"\n" for event in events))
