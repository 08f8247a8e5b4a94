"""Events that the policy handles, and the values in them.

Times and durations are integer microseconds. Times are on one monotonic clock.
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
    """What an update from discovery contains."""

    DELTA = 1  # changes to the list
    FAILED = 2  # nothing: the call failed
    SNAPSHOT = 3  # the complete list
    CACHED = 4  # the complete list that the node knew at its start


class AttemptStatus(IntEnum):
    """How an attempt or a health check ended."""

    OK = 0
    ERROR = 1  # the endpoint's answer is an error or invalid
    FULL = 2  # the endpoint refused it, as it is full
    TIMEOUT = 3
    CONNECT_FAILED = 4  # no connection to the endpoint
    RESET = 5  # the connection to the endpoint broke
    CANCELLED = 6  # ended on purpose, by the node, the client or the endpoint
    NOT_ATTEMPTED = 7  # the caller did not make the attempt, or ended it before the request was sent

    @property
    def proves_not_executed(self) -> bool:
        """Whether this status proves that the attempt was not executed."""
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
    stable_id: int = 0  # the same at every node; 0 if `endpoint_id` already is


class EndpointListUpdate(NamedTuple):
    """Discovery's endpoint list, changes to it, or a failed call."""

    kind: ListUpdateKind
    endpoints: tuple[EndpointUpdate, ...]
    version: int = 0


class RequestReceived(NamedTuple):
    """A client's request; it gets exactly one final answer unless its client leaves."""

    request_id: int
    class_index: int
    tenant: int
    deadline_us: int  # a time
    key: int = 0  # identifies the client across its requests; 0: unknown
    group_key: int = 0  # identifies requests that share work at an endpoint; 0: no group
    load_hint: int | None = None  # expected load of the connection
    is_retry: bool = False
    is_midstream: bool = False  # begins in the middle of a connection; see `previous_endpoint`
    is_reconnect: bool = False


class ConnectionAdopted(NamedTuple):
    """A connection that attempt 0 of the request established before this node started."""

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
    """The kind of value in a connection report."""

    LOAD = 1
    REPORTED_DELAY = 2  # reported by the endpoint
    MEASURED_DELAY = 3  # measured by the node; no evidence that the endpoint reports delays


class ConnectionReport(NamedTuple):
    """The load of an established connection (us of work per second), or the delay of its messages (ms)."""

    request_id: int
    kind: int  # a `ReportKind`
    attempt: int
    endpoint_id: int
    value: float


class AttemptEnded(NamedTuple):
    """An attempt or its connection ended."""

    request_id: int
    attempt: int
    endpoint_id: int
    status: AttemptStatus
    latency_us: int  # from the start of the attempt to its end, or until its connection was established
    is_request_over: bool  # its connection has ended, or its client left
    load_report: tuple[float, ...] = ()


class ClientDisconnected(NamedTuple):
    """The client left; it gets no answer."""

    request_id: int


class RequestEvicted(NamedTuple):
    """The node ends soon: the request must get its final answer now, or be migrated if it is established."""

    request_id: int


class TimerExpired(NamedTuple):
    """A timer set by `SetTimer` has expired."""

    timer_id: int


class HealthCheckResult(NamedTuple):
    """A health check ended."""

    endpoint_id: int
    status: AttemptStatus
    latency_us: int
    load_report: tuple[float, ...] = ()


class PeerMessage(NamedTuple):
    """A message from another node."""

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
    RequestEvicted,
    TimerExpired,
    HealthCheckResult,
    PeerMessage,
]
