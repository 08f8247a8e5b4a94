"""The interface of the decision module: its settings, its events and its actions.

All times are integer microseconds on one clock that only rises.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import NamedTuple, Union


class Effect(Enum):
    """What may happen when a request of a class runs twice."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """The hosts that drop a keyed request's repeats."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(IntEnum):
    """What discovery says of a server."""

    GONE = 1
    DRAINING = 2
    READY = 3


class ListKind(IntEnum):
    """What a message from discovery holds."""

    DELTA = 1
    FAILED = 2
    FULL = 3
    CACHED = 4


class Status(IntEnum):
    """How an attempt or a probe ended."""

    OK = 0
    ERROR = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    MOOT = 7

    @property
    def never_ran(self) -> bool:
        """Whether this end proves that the attempt did not run."""
        return self in (Status.FULL, Status.CONNECT_FAILED, Status.MOOT)


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """One class of requests."""

    aim: int
    deadline: int
    effect: Effect = Effect.SAFE
    group: Group = Group.ALL
    window: int = 0
    worth: float = 1.0
    message_aim: int = 0


@dataclass(frozen=True, slots=True)
class Settings:
    """What a node is told at its start."""

    classes: tuple[ClassSettings, ...]
    balancers: int = 1
    me: int = 0
    zone: int = 0
    tick: int = 1000
    ask_discovery: bool = False
    ask_within: int = 10_000_000
    connections: bool = True
    pass_through: bool = False
    park: int = 0
    probes: bool = False
    peers: bool = False
    cancel: bool = False
    retry_after: bool = False
    max_retry_after: int = 1_000_000
    second_copies: bool = False
    max_attempts: int = 3
    connect_timeout: int = 250_000
    answer_slack: int = 0
    drain_grace: int = 0
    cold_from: float = 0.1
    cold: int = 0
    fall_multiple: float = 2.0
    fall: int = 1_000_000
    report_columns: tuple[str, ...] = ()
    weighted: bool = False
    cross_price: float = 0.0
    over_share_worth: float = 1.0
    worth_by_work: bool = False
    quotas: tuple[float, ...] = field(default=())
    call_pace: int = 0  # in which all nodes may call discovery, its one service, once each; 0: no sockets
    fills: float = 0.0  # connections that fill a unit of a server's size; 0: not known
    retired: frozenset[int] = frozenset()  # classes that only what is under way belongs to still
    probe_pace: int = 0  # between probes of a server that has sent no delay notes; 0: none needed

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        for i, c in enumerate(self.classes):
            if c.aim <= 0:
                raise ValueError(f"classes.{i}.aim: must be above 0")
            if c.deadline < c.aim:
                raise ValueError(f"classes.{i}.deadline: must not be under the aim")
            if c.window < 0:
                raise ValueError(f"classes.{i}.window: must not be negative")
            if not c.worth >= 0:
                raise ValueError(f"classes.{i}.worth: must not be negative")
            if c.message_aim < 0:
                raise ValueError(f"classes.{i}.message_aim: must not be negative")
        if self.balancers < 1:
            raise ValueError("balancers: must be at least 1")
        for name in (
            "me",
            "zone",
            "cold",
            "fall",
            "park",
            "drain_grace",
            "answer_slack",
            "max_retry_after",
            "probe_pace",
            "call_pace",
            "fills",
        ):
            if getattr(self, name) < 0:
                raise ValueError(f"{name}: must not be negative")
        for name in ("tick", "max_attempts", "ask_within", "connect_timeout"):
            if getattr(self, name) < 1:
                raise ValueError(f"{name}: must be above 0")
        if not 0 < self.cold_from <= 1:
            raise ValueError("cold_from: must be above 0 and at most 1")
        if not self.fall_multiple > 0:
            raise ValueError("fall_multiple: must be above 0")
        if any(not q >= 0 for q in self.quotas):
            raise ValueError("quotas: must not be negative")


class Line(NamedTuple):
    """One server in discovery's list."""

    server: int
    zone: int
    cell: int
    kind: int
    weight: float
    state: State
    ready_at: int
    name: int = 0  # the same at every node, where the number is this node's own; 0: the number is it


class Members(NamedTuple):
    """Discovery's list, or changes to it."""

    kind: ListKind
    lines: tuple[Line, ...]
    version: int = 0


class Request(NamedTuple):
    """A client's request; one final answer is owed."""

    id: int
    cls: int
    tenant: int
    deadline: int
    key: int = 0
    key2: int = 0
    hint: int | None = None
    repeat: bool = False
    midflow: bool = False
    back: bool = False


class Opened(NamedTuple):
    """A connection that stood before this node's start; its attempt 0 is made."""

    id: int
    cls: int
    tenant: int
    server: int
    key: int = 0
    hint: int | None = None
    key2: int = 0


class First(NamedTuple):
    """The connection stands."""

    id: int
    attempt: int
    server: int
    latency: int


class NoteKind(IntEnum):
    """What a note is about."""

    LOAD = 1
    DELAY = 2  # a server's own word
    TIMED = 3  # a delay that the node timed itself: it says nothing of whether servers tell


class Note(NamedTuple):
    """News of a standing connection: its load (us a second) or its server's message time (ms)."""

    id: int
    kind: int
    attempt: int
    server: int
    value: float


class Outcome(NamedTuple):
    """How an attempt ended."""

    id: int
    attempt: int
    server: int
    status: Status
    latency: int
    closed: bool
    load: tuple[float, ...] = ()


class Gone(NamedTuple):
    """The client left; nothing is owed any more."""

    id: int


class Timer(NamedTuple):
    """A timer came due."""

    token: int


class Probed(NamedTuple):
    """How a probe ended."""

    server: int
    status: Status
    latency: int
    load: tuple[float, ...] = ()


class Peer(NamedTuple):
    """Another node's message."""

    sender: int
    data: bytes


class Send(NamedTuple):
    """Start an attempt; `timeout` is relative."""

    id: int
    server: int
    timeout: int


class Refuse(NamedTuple):
    """Final answer: not served, trying again is harmless."""

    id: int
    retry_after: int = 0


class Fail(NamedTuple):
    """Final answer that promises nothing."""

    id: int


class Cancel(NamedTuple):
    """Stop waiting on one attempt."""

    id: int
    attempt: int


class SetTimer(NamedTuple):
    """Ask for a Timer event at a clock time."""

    at: int
    token: int


class Probe(NamedTuple):
    """Ask a server how it does."""

    server: int


class Move(NamedTuple):
    """End a standing connection politely; its client comes again."""

    id: int


class Tell(NamedTuple):
    """Send bytes to a peer, or to all (None)."""

    peer: int | None
    data: bytes


class Log(NamedTuple):
    """A line for the operators."""

    text: str


class Watch(NamedTuple):
    """Ask discovery for changes from now on, or stop."""

    on: bool


Event = Union[Settings, Members, Request, Opened, First, Note, Outcome, Gone, Timer, Probed, Peer]
Action = Union[Send, Refuse, Fail, Cancel, SetTimer, Probe, Move, Tell, Log, Watch]
