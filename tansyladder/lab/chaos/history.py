"""The history of a run: the events that each party observed, in memory or in a file of JSON lines.

All processes of a run are on one machine and use the same monotonic clock, so timestamps are comparable. The
JSON names of fields and values must not change, as stored histories have them.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from pathlib import Path
from typing import IO, TypedDict, Unpack

import msgspec

from tansyladder.lab.report import MICROSECOND, clock

FLUSH_EVERY = 64  # events between two writes; a killed process loses fewer than this


class Party(StrEnum):
    """The party that observed an event."""

    CLIENT = "client"
    HOST = "host"
    LOAD_BALANCER = "front"
    NODE = "node"
    CONTROLLER = "rig"  # the process that runs the experiment and injects the faults


class EventKind(StrEnum):
    """What a party observed."""

    # Clients
    OPEN_SENT = "asked"  # the first line of a connection, with the token if it shows one
    ANSWERED = "answered"  # the answer to the first line; with an empty label if there was none
    LINE_SENT = "said"
    LINE_RECEIVED = "heard"  # by a client or by a host
    MIGRATION_REQUESTED = "moved"  # by MOVE: the session has ended, and the client must open a new one
    PROBE_SENT = "knocks"  # a first line sent by the documents experiment
    PROBE_ANSWERED = "heard word"
    # Load balancer
    FORWARDED = "sent_to"
    # Hosts
    SESSION_ACQUIRED = "taken"
    SESSION_FENCED = "fenced"  # an owner was rejected, as another has a newer epoch of the session
    INVARIANT_VIOLATED = "broken"
    FINAL_CONNECTION_COUNT = "holds"  # of one host, when its process ends
    # Controller: start and end of faults
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
    # Controller: connections once all clients have stopped sending
    CLIENT_CONNECTED = "standing"  # the client is served
    HOST_CONNECTION_COUNT = "held"  # of one host
    # Documents
    CHANGE_REQUESTED = "asks"
    CHANGE_ENDED = "ended"
    REQUEST_DECIDED = "decided"  # by a node, under a version of a document
    DOCUMENT_IN_FORCE = "follows"


class Event(msgspec.Struct, frozen=True, omit_defaults=True):
    """One observation; fields that do not apply to its kind have their defaults."""

    timestamp_us: int = msgspec.field(name="at")
    party: Party = msgspec.field(name="who")
    kind: EventKind = msgspec.field(name="what")
    client: int = -1
    session_count: int = msgspec.field(default=0, name="life")  # how many sessions the client has begun
    connection_id: str = msgspec.field(default="", name="ident")
    token: str = ""  # that the client shows
    label: str = msgspec.field(default="", name="word")  # an answer's first word, an invariant or a document
    detail: str = msgspec.field(default="", name="text")
    node: int = -1
    host: str = ""
    session_id: str = msgspec.field(default="", name="session")  # the id that hosts know
    epoch: int = 0
    number: int = 0  # of a line or of a document's version, or a count of connections
    acknowledged_line: int = msgspec.field(default=0, name="of_own")  # the last client line the host has
    decided_at_us: int = msgspec.field(default=0, name="moment")  # Unix time, by the node's clock


class EventFields(TypedDict, total=False):
    """The fields of an event beyond its timestamp, party and kind."""

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
        self.events: list[Event] = []  # if there is a file, only those not written yet
        self._out = out

    def record(self, party: Party, kind: EventKind, **fields: Unpack[EventFields]) -> None:
        """Add an event with the current time."""
        self.events.append(Event(clock() // MICROSECOND, party, kind, **fields))
        if self._out is not None and len(self.events) >= FLUSH_EVERY:
            self.flush()

    def flush(self) -> None:
        """Write the events in memory to the file and drop them from memory; do nothing without a file."""
        if self._out is not None:
            self._out.write(_encode_lines(self.events))
            self._out.flush()
            self.events = []


def load(path: Path) -> list[Event]:
    """Read the events of a file; a last line without its line break is ignored."""
    lines = path.read_bytes().split(b"\n")[:-1]
    return [msgspec.json.decode(line, type=Event) for line in lines if line]


def merge(*parts: Iterable[Event]) -> list[Event]:
    """Return the events of all parts, sorted by timestamp."""
    return sorted((event for part in parts for event in part), key=lambda event: event.timestamp_us)


def save(path: Path, events: Iterable[Event]) -> None:
    """Write events to a file, one JSON object a line."""
    path.write_bytes(_encode_lines(events))


def _encode_lines(events: Iterable[Event]) -> bytes:
    return b"".join(msgspec.json.encode(event) + b"\n" for event in events)
