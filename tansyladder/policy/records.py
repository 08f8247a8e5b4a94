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
        "best",
        "cell",
        "conns",
        "late_to",
        "mark",
        "groups",
        "seed",
        "id",
        "probing",
        "moving",
        "doubt",
        "spent",
        "timed",
        "load",
        "delay_at",
        "delay",
        "moves",
        "added_at",
        "trying",
        "added",
        "ready_at",
        "tells",
        "turn",
        "whole",
        "state",
        "told_at",
        "strain",
        "strain_at",
        "waiting",
        "size",
        "zone",
    )

    def __init__(self, update: EndpointUpdate, weight: float, now: int) -> None:
        self.id = update.endpoint_id
        self.turn = update.stable_id or update.endpoint_id
        self.seed = hash64(update.endpoint_id)
        self.zone = update.zone
        self.cell = update.cell
        self.size = weight
        self.state: EndpointState = update.state
        self.told_at = now
        self.conns: dict[int, Request] = {}  # attempts that are out among them
        self.groups: dict[int, int] = {}  # connections of each group key
        self.load = 0.0  # of the connections
        self.trying = 0  # attempts that neither ended nor established their connection
        self.probing = False
        self.waiting: list[int] = []  # requests that wait for the health check in flight
        self.restart(update.ready_at_us, weight)

    def restart(self, ready_at: int, weight: float) -> None:
        """Forget what was learnt of an earlier process."""
        self.ready_at = ready_at
        self.whole = weight  # while the process is empty: some weights fall with the load
        self.mark = Backoff()  # it gets no requests before `retry_at`
        self.strain = 0.0  # as it last reported
        self.strain_at = -1  # when; -1: never
        self.delay = 0.0
        self.delay_at = -1  # when it was heard of; -1: never
        self.late_to = 0
        self.added = 0.0  # by requests of this node that no report shows yet
        self.added_at = 0
        self.spent = 0  # the newest slow-start permit that this node has used
        self.moves = Backoff()
        self.moving = False
        self.best = 0  # of its health checks; 0: none yet
        self.timed = 0  # health checks that bear the best latency out
        self.doubt = False  # whether the last health check was slow
        self.tells = False  # it did, whatever the settings promise

    def update(self, update: EndpointUpdate, weight: float) -> None:
        """Take over the attributes that discovery tells, the state aside."""
        self.zone = update.zone
        self.cell = update.cell
        self.size = weight

    def finish_check(self) -> list[int]:
        """Note that the health check in flight has ended.

        Returns:
            The ids of the requests that waited for it.
        """
        self.probing = False
        waiting_ids = self.waiting
        self.waiting = []
        return waiting_ids

    def add_connection(self, request: Request) -> None:
        """Add a connection or an attempt."""
        self.conns[request.id] = request
        self.groups[request.group] = self.groups.get(request.group, 0) + 1
        self.load += request.load


class EndpointPool:
    """The ready endpoints of the home zone, or of all others, and figures of them as a whole."""

    __slots__ = ("size", "servers", "mean", "tide", "looked_at", "cold")

    def __init__(self) -> None:
        self.servers: list[Endpoint] = []
        self.looked_at = -1  # when the figures were computed; -1: they are to be computed anew
        self.size = 0.0  # the weights, each by the share of its capacity that the endpoint has by now
        self.mean = 0.0  # this node's load for a unit of capacity
        self.tide = 0.0
        self.cold: list[Endpoint] = []

    def replace(self, endpoints: list[Endpoint]) -> None:
        """Replace the endpoints; the figures are out of date then."""
        self.servers = endpoints
        self.looked_at = -1


class EndpointTable:
    """All endpoints that were ever listed, and the pools of those that are ready."""

    __slots__ = ("away", "by_id", "home", "is_poll_scheduled", "poll_backoff")

    def __init__(self) -> None:
        self.poll_backoff = Backoff()  # of polls of discovery that failed
        self.is_poll_scheduled = False
        self.by_id: dict[int, Endpoint] = {}
        self.home = EndpointPool()  # in the node's own zone
        self.away = EndpointPool()

    def counts(self, now: int) -> EndpointCounts:
        """Count the endpoints at a moment. Thread-safe without a lock: it reads a copy of the table."""
        listed = [e for e in list(self.by_id.values()) if e.state is not EndpointState.GONE]
        ejected = sum(e.state is EndpointState.READY and e.mark.at > now for e in listed)
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
        "sent",
        "backoff",
        "sample",
        "cls",
        "deadline",
        "server",
        "group",
        "id",
        "key",
        "failed",
        "load",
        "ran_at",
        "ran",
        "asking",
        "due",
        "state",
        "tenant",
    )

    def __init__(self, event: RequestReceived | ConnectionAdopted, deadline: int) -> None:
        self.id = event.request_id
        self.cls = event.class_index
        self.tenant = event.tenant
        self.deadline = deadline
        self.key = event.key
        self.group = event.group_key
        self.load = float(event.load_hint) if event.load_hint else 1.0
        self.state = RequestState.PENDING
        self.sent = 0
        self.server: Endpoint | None = None  # where its attempt is out, or its connection stands
        self.backoff: Backoff | None = None
        self.due = 0  # when its next attempt is due
        self.failed: Endpoint | None = None
        self.ran: Endpoint | None = None  # of the first attempt that may have run
        self.ran_at = 0
        self.sample: list[Endpoint] = []  # endpoints looked at first
        self.asking = 0  # health checks that it waits for

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
        if self.server:
            self.server.trying -= 1

    def start_attempt(self, endpoint: Endpoint) -> None:
        """Note that an attempt is out at an endpoint."""
        self.server = endpoint
        self.sent += 1
        endpoint.add_connection(self)
        endpoint.trying += 1

    def close(self) -> None:
        """Note that its client left, or was told to come again."""
        self.state = STATE_WHEN_CLOSED[self.state]

    def detach(self) -> Endpoint | None:
        """Take the attempt or the connection off its endpoint, its load aside.

        Returns:
            The endpoint that it was taken off; None where it had none.
        """
        endpoint = self.server
        is_established = self.is_established
        self.server = None
        self.state = RequestState.PENDING
        if endpoint is None or endpoint.conns.pop(self.id, None) is None:
            return None
        endpoint.groups[self.group] -= 1
        if not endpoint.groups[self.group]:
            del endpoint.groups[self.group]
        if not is_established:
            endpoint.trying -= 1
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
        request.sent = 1
        request.server = endpoint
        if endpoint:
            endpoint.add_connection(request)
        return request

    def handle_client_disconnected(self, event: ClientDisconnected) -> None:
        """Forget a request whose client left; one that is out at an endpoint ends there first."""
        request = self.by_id.get(event.request_id)
        if request:
            request.close()
            if request.server is None:
                del self.by_id[request.id]
