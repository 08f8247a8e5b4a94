"""Records of endpoints, endpoint pools and requests; nothing is decided here.

Moments and spans are integer microseconds. A `Balancer` owns all its records.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from tansyladder.policy.backoff import Backoff
from tansyladder.policy.events import (
    ClientDisconnected,
    ConnectionAdopted,
    EndpointState,
    EndpointUpdate,
    RequestReceived,
)

HASH_MASK = (1 << 64) - 1


def hash64(value: int) -> int:
    """Mix the bits of a 64-bit number (splitmix64); the same at every node."""
    value = (value + 0x9E3779B97F4A7C15) & HASH_MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & HASH_MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & HASH_MASK
    return value ^ (value >> 31)


class EndpointCounts(NamedTuple):
    """How many endpoints a node knows of."""

    listed: int
    ejected: int  # ready ones that get no connections for now, as connections to them failed or were slow


class Endpoint:
    """What this node knows of one endpoint."""

    __slots__ = (
        "best_latency_us",
        "cell",
        "connections",
        "delay_valid_until",
        "ejection",
        "group_counts",
        "hash_seed",
        "id",
        "is_check_in_flight",
        "is_migration_scheduled",
        "is_suspect",
        "last_permit",
        "latency_sample_count",
        "load",
        "message_delay_at",
        "message_delay_us",
        "migration_backoff",
        "pending_at",
        "pending_attempt_count",
        "pending_utilization",
        "ready_at",
        "reports_delay",
        "stable_id",
        "start_weight",
        "state",
        "state_changed_at",
        "utilization",
        "utilization_at",
        "waiting_request_ids",
        "weight",
        "zone",
    )

    def __init__(self, update: EndpointUpdate, weight: float, now: int) -> None:
        self.id = update.endpoint_id
        self.stable_id = update.stable_id or update.endpoint_id
        self.hash_seed = hash64(update.endpoint_id)
        self.zone = update.zone
        self.cell = update.cell
        self.weight = weight
        self.state: EndpointState = update.state
        self.state_changed_at = now
        self.connections: dict[int, Request] = {}  # attempts that are out among them
        self.group_counts: dict[int, int] = {}  # connections of each group key
        self.load = 0.0  # of the connections
        self.pending_attempt_count = 0  # attempts that neither ended nor established their connection
        self.is_check_in_flight = False
        self.waiting_request_ids: list[int] = []  # requests that wait for the health check in flight
        self.restart(update.ready_at_us, weight)

    def restart(self, ready_at: int, weight: float) -> None:
        """Forget what was learnt of an earlier process."""
        self.ready_at = ready_at
        self.start_weight = weight  # while the process is empty: some weights fall with the load
        self.ejection = Backoff()  # it gets no requests before `retry_at`
        self.utilization = 0.0  # as it last reported
        self.utilization_at = -1  # when; -1: never
        self.message_delay_us = 0.0
        self.message_delay_at = -1  # when it was heard of; -1: never
        self.delay_valid_until = 0
        self.pending_utilization = 0.0  # by requests of this node that no report shows yet
        self.pending_at = 0
        self.last_permit = 0  # the newest slow-start permit that this node has used
        self.migration_backoff = Backoff()
        self.is_migration_scheduled = False
        self.best_latency_us = 0  # of its health checks; 0: none yet
        self.latency_sample_count = 0  # health checks that bear the best latency out
        self.is_suspect = False  # whether the last health check was slow
        self.reports_delay = False  # it did, whatever the settings promise

    def update(self, update: EndpointUpdate, weight: float) -> None:
        """Take over the attributes that discovery tells, the state aside."""
        self.zone = update.zone
        self.cell = update.cell
        self.weight = weight

    def finish_check(self) -> list[int]:
        """Note that the health check in flight has ended.

        Returns:
            The ids of the requests that waited for it.
        """
        self.is_check_in_flight = False
        waiting_ids = self.waiting_request_ids
        self.waiting_request_ids = []
        return waiting_ids

    def add_connection(self, request: Request) -> None:
        """Add a connection or an attempt."""
        self.connections[request.id] = request
        self.group_counts[request.group_key] = self.group_counts.get(request.group_key, 0) + 1
        self.load += request.load


class EndpointPool:
    """The ready endpoints of the home zone, or of all others, and figures of them as a whole."""

    __slots__ = ("capacity", "endpoints", "mean_load", "mean_utilization", "refreshed_at", "warming_up")

    def __init__(self) -> None:
        self.endpoints: list[Endpoint] = []
        self.refreshed_at = -1  # when the figures were computed; -1: they are to be computed anew
        self.capacity = 0.0  # the weights, each by the share of its capacity that the endpoint has by now
        self.mean_load = 0.0  # this node's load for a unit of capacity
        self.mean_utilization = 0.0
        self.warming_up: list[Endpoint] = []

    def replace(self, endpoints: list[Endpoint]) -> None:
        """Replace the endpoints; the figures are out of date then."""
        self.endpoints = endpoints
        self.refreshed_at = -1


class EndpointTable:
    """All endpoints that were ever listed, and the pools of those that are ready."""

    __slots__ = ("other_zones", "by_id", "home_zone", "is_poll_scheduled", "poll_backoff")

    def __init__(self) -> None:
        self.poll_backoff = Backoff()  # of polls of discovery that failed
        self.is_poll_scheduled = False
        self.by_id: dict[int, Endpoint] = {}
        self.home_zone = EndpointPool()  # in the node's own zone
        self.other_zones = EndpointPool()

    def counts(self, now: int) -> EndpointCounts:
        """Count the endpoints at a moment. Thread-safe without a lock: it reads a copy of the table."""
        listed = [e for e in list(self.by_id.values()) if e.state is not EndpointState.GONE]
        ejected = sum(e.state is EndpointState.READY and e.ejection.retry_at > now for e in listed)
        return EndpointCounts(len(listed), ejected)


class RequestState(IntEnum):
    """Where a request stands."""

    PENDING = 0  # it waits, or an attempt is out
    ABANDONED = 1  # its client left while an attempt is out
    ESTABLISHED = 2  # it has a connection
    CLOSING = 3  # it has a connection that its client left or was told to leave


STATE_WHEN_ESTABLISHED = {
    RequestState.PENDING: RequestState.ESTABLISHED,
    RequestState.ABANDONED: RequestState.CLOSING,
    RequestState.ESTABLISHED: RequestState.ESTABLISHED,
    RequestState.CLOSING: RequestState.CLOSING,
}
STATE_WHEN_CLOSED = {
    RequestState.PENDING: RequestState.ABANDONED,
    RequestState.ABANDONED: RequestState.ABANDONED,
    RequestState.ESTABLISHED: RequestState.CLOSING,
    RequestState.CLOSING: RequestState.CLOSING,
}
ESTABLISHED_STATES = (RequestState.ESTABLISHED, RequestState.CLOSING)
CLOSED_STATES = (RequestState.ABANDONED, RequestState.CLOSING)


class Request:
    """A request that this node handles, or the connection that it became."""

    __slots__ = (
        "attempt_count",
        "backoff",
        "candidates",
        "class_index",
        "deadline",
        "endpoint",
        "group_key",
        "id",
        "key",
        "last_failed_endpoint",
        "load",
        "may_have_run_at",
        "may_have_run_on",
        "pending_check_count",
        "retry_at",
        "state",
        "tenant",
    )

    def __init__(self, event: RequestReceived | ConnectionAdopted, deadline: int) -> None:
        self.id = event.request_id
        self.class_index = event.class_index
        self.tenant = event.tenant
        self.deadline = deadline
        self.key = event.key
        self.group_key = event.group_key
        self.load = float(event.load_hint) if event.load_hint else 1.0
        self.state = RequestState.PENDING
        self.attempt_count = 0
        self.endpoint: Endpoint | None = None  # where its attempt is out, or its connection stands
        self.backoff: Backoff | None = None
        self.retry_at = 0  # when its next attempt is due
        self.last_failed_endpoint: Endpoint | None = None
        self.may_have_run_on: Endpoint | None = None  # of the first attempt that may have run
        self.may_have_run_at = 0
        self.candidates: list[Endpoint] = []  # endpoints looked at first
        self.pending_check_count = 0  # health checks that it waits for

    @property
    def is_established(self) -> bool:
        """Whether it has a connection."""
        return self.state in ESTABLISHED_STATES

    @property
    def is_closed(self) -> bool:
        """Whether it is over when its attempt or its connection ends."""
        return self.state in CLOSED_STATES

    def establish(self) -> None:
        """Note that the connection of its attempt is established."""
        self.state = STATE_WHEN_ESTABLISHED[self.state]
        if self.endpoint:
            self.endpoint.pending_attempt_count -= 1

    def start_attempt(self, endpoint: Endpoint) -> None:
        """Note that an attempt is out at an endpoint."""
        self.endpoint = endpoint
        self.attempt_count += 1
        endpoint.add_connection(self)
        endpoint.pending_attempt_count += 1

    def close(self) -> None:
        """Note that its client left, or was told to come again."""
        self.state = STATE_WHEN_CLOSED[self.state]

    def detach(self) -> Endpoint | None:
        """Take the attempt or the connection off its endpoint, its load aside.

        Returns:
            The endpoint that it was taken off; None where it had none.
        """
        endpoint = self.endpoint
        is_established = self.is_established
        self.endpoint = None
        self.state = RequestState.PENDING
        if endpoint is None or endpoint.connections.pop(self.id, None) is None:
            return None
        endpoint.group_counts[self.group_key] -= 1
        if not endpoint.group_counts[self.group_key]:
            del endpoint.group_counts[self.group_key]
        if not is_established:
            endpoint.pending_attempt_count -= 1
        return endpoint


class RequestTable:
    """The requests that this node handles, and the backoffs of keys."""

    __slots__ = ("backoffs", "by_id")

    def __init__(self) -> None:
        self.by_id: dict[int, Request] = {}
        self.backoffs: dict[int, Backoff] = {}  # by key, of keys whose connections failed lately

    def add(self, event: RequestReceived) -> Request:
        """Add a request; it goes on with the backoff of its key."""
        request = self.by_id[event.request_id] = Request(event, event.deadline_us)
        if event.key:
            request.backoff = self.backoffs.get(event.key)
        return request

    def adopt(self, event: ConnectionAdopted, endpoint: Endpoint | None) -> Request:
        """Add a connection that was established before this node's start."""
        request = self.by_id[event.request_id] = Request(event, 0)
        request.state = RequestState.ESTABLISHED
        request.attempt_count = 1
        request.endpoint = endpoint
        if endpoint:
            endpoint.add_connection(request)
        return request

    def handle_client_disconnected(self, event: ClientDisconnected) -> None:
        """Forget a request whose client left; one that is out at an endpoint ends there first."""
        request = self.by_id.get(event.request_id)
        if request:
            request.close()
            if request.endpoint is None:
                del self.by_id[request.id]
