"""The history of a run: what each party observed, in memory or in a file with one JSON object a line.

All processes of a run are on one machine, so every timestamp is of the same monotonic clock. The JSON names
of fields and values are those of stored histories and stay as they are.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from pathlib import Path
from typing import IO, TypedDict, Unpack

import msgspec

from tansyladder.lab.report import MICROSECOND, clock

FLUSH_EVERY = 64  # events between two writes: a process that is killed loses fewer than these


class Party(StrEnum):
    """Who observed an event."""

    CLIENT = "client"
    HOST = "host"
    LOAD_BALANCER = "front"
    NODE = "node"
    CONTROLLER = "rig"  # the process that runs the experiment and injects the faults


class EventKind(StrEnum):
    """What was observed."""

    # Clients
    OPEN_SENT = "asked"  # the first line of a connection, with the token that it shows
    ANSWERED = "answered"  # the answer to it; an empty label where the connection ended without one
    LINE_SENT = "said"
    LINE_RECEIVED = "heard"  # by a client or by a host
    MIGRATION_REQUESTED = "moved"  # MOVE: the session is over, and the client has to open another
    PROBE_SENT = "knocks"  # a first line of the documents' experiment
    PROBE_ANSWERED = "heard word"
    # Load balancer
    FORWARDED = "sent_to"
    # Hosts
    SESSION_ACQUIRED = "taken"
    SESSION_FENCED = "fenced"  # an owner was rejected, as a newer epoch has the session
    INVARIANT_VIOLATED = "broken"
    FINAL_CONNECTION_COUNT = "holds"
    # Controller: faults, and their end
    KILLED = "killed"
    PAUSED = "stopped"
    LINK_CUT = "cut"
    CONNECTIONS_RESET = "reset"
    UPGRADED = "upgraded"
    LINK_DELAYED = "delayed"
    PEER_LINKS_CUT = "cut_peers"
    PEER_LINKS_FLAPPING = "flap_peers"
    DISK_FULL = "full_disk"
    RECOVERED = "sound"
    # Controller: what is connected once all clients are quiet
    CLIENT_CONNECTED = "standing"
    HOST_CONNECTION_COUNT = "held"
    # Documents
    CHANGE_REQUESTED = "asks"
    CHANGE_ENDED = "ended"
    REQUEST_DECIDED = "decided"  # by a node, under a version of a document
    DOCUMENT_IN_FORCE = "follows"


class Event(msgspec.Struct, frozen=True, omit_defaults=True):
    """One observation; fields that do not belong to its kind keep their defaults."""

    timestamp_us: int = msgspec.field(name="at")
    party: Party = msgspec.field(name="who")
    kind: EventKind = msgspec.field(name="what")
    client: int = -1
    session_count: int = msgspec.field(default=0, name="life")  # sessions that the client has begun
    connection_id: str = msgspec.field(default="", name="ident")
    token: str = ""  # the one that the client shows
    label: str = msgspec.field(default="", name="word")  # the answer's first word, an invariant or a document
    detail: str = msgspec.field(default="", name="text")
    node: int = -1
    host: str = ""
    session_id: str = msgspec.field(default="", name="session")  # as hosts know it
    epoch: int = 0
    number: int = 0  # of a line or of a document's version, or a count of connections
    acknowledged_line: int = msgspec.field(default=0, name="of_own")  # the last client line its host received
    decided_at_us: int = msgspec.field(default=0, name="moment")  # Unix time by the node's clock


class EventFields(TypedDict, total=False):
    """The fields of an event that its observer fills in."""

    client: int
    session_count: int
    connection_id: str
    token: str
    label: str
    detail: str
    node: int
    host: str
    session_id: str
    epoch: int
    number: int
    acknowledged_line: int
    decided_at_us: int


class History:
    """Collects events in memory, or in a file. Owned by one event loop; not thread-safe."""

    def __init__(self, out: IO[bytes] | None = None) -> None:
        self.events: list[Event] = []  # with a file: only those that are not written yet
        self._out = out

    def record(self, party: Party, kind: EventKind, **fields: Unpack[EventFields]) -> None:
        """Add an event that was observed now."""
        self.events.append(Event(clock() // MICROSECOND, party, kind, **fields))
        if self._out is not None and len(self.events) >= FLUSH_EVERY:
            self.flush()

    def flush(self) -> None:
        """Write the events that are not written yet and drop them from memory; nothing without a file."""
        if self._out is not None:
            self._out.write(_encode_lines(self.events))
            self._out.flush()
            self.events = []


def load(path: Path) -> list[Event]:
    """Read the events of a file, without a last line that was cut off."""
    lines = path.read_bytes().split(b"\n")[:-1]
    return [msgspec.json.decode(line, type=Event) for line in lines if line]


def merge(*parts: Iterable[Event]) -> list[Event]:
    """Return all events in the order of their timestamps."""
    return sorted((event for part in parts for event in part), key=lambda event: event.timestamp_us)


def save(path: Path, events: Iterable[Event]) -> None:
    """Write a history, one event a line."""
    path.write_bytes(_encode_lines(events))


def _encode_lines(events: Iterable[Event]) -> bytes:
    return b"".join(msgspec.json.encode(event) + b"\n" for event in events)
