"""Events that the decision module handles, and the values they carry.

Moments and spans are integer microseconds; moments are on one clock that never goes back.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple, Union

from tansyladder.policy.settings import Settings


class EndpointState(IntEnum):
    """What discovery says of a server."""

    GONE = 1
    DRAINING = 2
    READY = 3


class ListUpdateKind(IntEnum):
    """What a message from discovery holds."""

    DELTA = 1
    FAILED = 2
    FULL = 3
    CACHED = 4


class AttemptStatus(IntEnum):
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
        return self in (AttemptStatus.FULL, AttemptStatus.CONNECT_FAILED, AttemptStatus.MOOT)


class EndpointUpdate(NamedTuple):
    """One server in discovery's list."""

    server: int
    zone: int
    cell: int
    kind: int
    weight: float
    state: EndpointState
    ready_at: int
    name: int = 0  # the same at every node, where the number is this node's own; 0: the number is it


class EndpointListUpdate(NamedTuple):
    """Discovery's list, or changes to it."""

    kind: ListUpdateKind
    lines: tuple[EndpointUpdate, ...]
    version: int = 0


class RequestReceived(NamedTuple):
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


class ConnectionAdopted(NamedTuple):
    """A connection that stood before this node's start; its attempt 0 is made."""

    id: int
    cls: int
    tenant: int
    server: int
    key: int = 0
    hint: int | None = None
    key2: int = 0


class AttemptEstablished(NamedTuple):
    """The connection stands."""

    id: int
    attempt: int
    server: int
    latency: int


class ReportKind(IntEnum):
    """What a note is about."""

    LOAD = 1
    DELAY = 2  # a server's own word
    TIMED = 3  # a delay that the node timed itself: it says nothing of whether servers tell


class ConnectionReport(NamedTuple):
    """News of a standing connection: its load (us a second) or its server's message time (ms)."""

    id: int
    kind: int
    attempt: int
    server: int
    value: float


class AttemptEnded(NamedTuple):
    """How an attempt ended."""

    id: int
    attempt: int
    server: int
    status: AttemptStatus
    latency: int
    closed: bool
    load: tuple[float, ...] = ()


class ClientDisconnected(NamedTuple):
    """The client left; nothing is owed any more."""

    id: int


class TimerExpired(NamedTuple):
    """A timer came due."""

    token: int


class HealthCheckResult(NamedTuple):
    """How a probe ended."""

    server: int
    status: AttemptStatus
    latency: int
    load: tuple[float, ...] = ()


class PeerMessage(NamedTuple):
    """Another node's message."""

    sender: int
    data: bytes


Event = Union[
    Settings,
    EndpointListUpdate,
    RequestReceived,
    ConnectionAdopted,
    AttemptEstablished,
    ConnectionReport,
    AttemptEnded,
    ClientDisconnected,
    TimerExpired,
    HealthCheckResult,
    PeerMessage,
]
