"""Events that the policy handles, and the values they carry.

Moments and spans are integer microseconds; moments are on one clock that never goes back.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple, Union

from tansyladder.policy.settings import Settings


class EndpointState(IntEnum):
    """The state of an endpoint, as discovery lists it."""

    GONE = 1
    DRAINING = 2
    READY = 3


class ListUpdateKind(IntEnum):
    """What a message from discovery holds."""

    DELTA = 1
    FAILED = 2
    SNAPSHOT = 3
    CACHED = 4


class AttemptStatus(IntEnum):
    """How an attempt or a health check ended."""

    OK = 0
    ERROR = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    NOT_ATTEMPTED = 7

    @property
    def definitely_not_executed(self) -> bool:
        """Whether this end proves that the attempt did not run."""
        return self in _NOT_EXECUTED_STATUSES


_NOT_EXECUTED_STATUSES = (AttemptStatus.FULL, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_ATTEMPTED)


class EndpointUpdate(NamedTuple):
    """One endpoint in discovery's list."""

    endpoint_id: int
    zone: int
    cell: int
    kind: int
    weight: float
    state: EndpointState
    ready_at_us: int
    stable_id: int = 0  # the same at every node, where the number is this node's own; 0: the number is it


class EndpointListUpdate(NamedTuple):
    """Discovery's list, or changes to it."""

    kind: ListUpdateKind
    endpoints: tuple[EndpointUpdate, ...]
    version: int = 0


class RequestReceived(NamedTuple):
    """A client's request, which gets one final answer."""

    request_id: int
    class_index: int
    tenant: int
    deadline_us: int
    key: int = 0
    group_key: int = 0
    load_hint: int | None = None
    is_retry: bool = False
    is_midstream: bool = False
    is_reconnect: bool = False


class ConnectionAdopted(NamedTuple):
    """A connection that was established before this node's start, by attempt 0."""

    request_id: int
    class_index: int
    tenant: int
    endpoint_id: int
    key: int = 0
    load_hint: int | None = None
    group_key: int = 0


class AttemptEstablished(NamedTuple):
    """The connection of an attempt is established."""

    request_id: int
    attempt: int
    endpoint_id: int
    latency_us: int


class ReportKind(IntEnum):
    """What a connection report is about."""

    LOAD = 1
    REPORTED_DELAY = 2  # by the endpoint itself
    MEASURED_DELAY = 3  # by the node: it does not show that the endpoint reports delays


class ConnectionReport(NamedTuple):
    """The load of an established connection (us a second), or the delay of its messages (ms)."""

    request_id: int
    kind: int
    attempt: int
    endpoint_id: int
    value: float


class AttemptEnded(NamedTuple):
    """How an attempt ended."""

    request_id: int
    attempt: int
    endpoint_id: int
    status: AttemptStatus
    latency_us: int
    is_closed: bool
    load_report: tuple[float, ...] = ()


class ClientDisconnected(NamedTuple):
    """The client left and gets no answer."""

    request_id: int


class TimerExpired(NamedTuple):
    """A timer that was set has expired."""

    timer_id: int


class HealthCheckResult(NamedTuple):
    """How a health check ended."""

    endpoint_id: int
    status: AttemptStatus
    latency_us: int
    load_report: tuple[float, ...] = ()


class PeerMessage(NamedTuple):
    """Another node's message."""

    sender_index: int
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
