"""The record of one endpoint: what this node knows about it. It makes no decisions.

Times and durations are integer microseconds.
"""

from __future__ import annotations

from typing import Protocol

from tansyladder.policy.backoff import Backoff
from tansyladder.policy.events import EndpointState, EndpointUpdate
from tansyladder.policy.hashing import hash64
from tansyladder.policy.request_states import RequestState

NEVER = -1  # the time of an event that has not happened yet


class Connection(Protocol):
    """An attempt in flight or an established connection, as its endpoint needs it (a `Request`)."""

    id: int
    class_index: int
    tenant: int
    group_key: int
    load: float
    state: RequestState
    endpoint: Endpoint | None

    def close(self) -> None:
        """Record that the client left or was asked to reconnect."""


class Endpoint:
    """What this node knows about one endpoint."""

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
        "was_last_check_slow",
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
        self.stable_id = update.stable_id or update.endpoint_id  # the same at every node
        self.hash_seed = hash64(update.endpoint_id)
        self.zone = update.zone
        self.cell = update.cell
        self.weight = weight  # its capacity, in a unit that is common to all endpoints
        self.state: EndpointState = update.state
        self.state_changed_at = now
        self.connections: dict[int, Connection] = {}  # by request id, including attempts in flight
        self.group_counts: dict[int, int] = {}  # number of connections by group key
        self.load = 0.0  # the sum of the connections' loads
        self.pending_attempt_count = 0  # attempts that have neither ended nor established a connection
        self.is_check_in_flight = False
        self.waiting_request_ids: list[int] = []  # requests that wait for the health check in flight
        self.restart(update.ready_at_us, weight)

    def restart(self, ready_at: int, weight: float) -> None:
        """Discard what was observed about the endpoint's previous process."""
        self.ready_at = ready_at
        self.start_weight = weight  # the weight of the process when idle: some weights fall with the load
        self.ejection = Backoff()  # the endpoint gets no requests before `retry_at`
        self.utilization = 0.0  # in its last load report
        self.utilization_at = NEVER  # the time of that report
        self.message_delay_us = 0.0
        self.message_delay_at = NEVER  # the time of the last report or measurement of a delay
        self.delay_valid_until = 0
        self.pending_utilization = 0.0  # from this node's latest requests; see `endpoint_load`
        self.pending_at = 0  # when the pending utilization was computed
        self.last_permit = 0  # number of the newest slow-start permit that this node has used
        self.migration_backoff = Backoff()
        self.is_migration_scheduled = False
        self.best_latency_us = 0  # lowest latency of its health checks; 0 before the first one
        self.latency_sample_count = 0  # confirmations of the best latency by health checks
        self.was_last_check_slow = False  # whether its last timed health check was slow
        self.reports_delay = False  # whether it has reported a delay itself; independent of the settings

    def update(self, update: EndpointUpdate, weight: float) -> None:
        """Copy the zone and the cell from discovery's list, and replace the weight."""
        self.zone = update.zone
        self.cell = update.cell
        self.weight = weight

    def finish_check(self) -> list[int]:
        """Record that the health check in flight has ended.

        Returns:
            The ids of the requests that waited for it.
        """
        self.is_check_in_flight = False
        waiting_ids = self.waiting_request_ids
        self.waiting_request_ids = []
        return waiting_ids

    def add_connection(self, connection: Connection) -> None:
        """Add an attempt or an established connection, and its load."""
        self.connections[connection.id] = connection
        self.group_counts[connection.group_key] = self.group_counts.get(connection.group_key, 0) + 1
        self.load += connection.load

    def remove_connection(self, connection: Connection) -> bool:
        """Remove an attempt or a connection, but keep its load (see `release_load`).

        Returns:
            Whether it was found at this endpoint.
        """
        if self.connections.pop(connection.id, None) is None:
            return False
        self.group_counts[connection.group_key] -= 1
        if not self.group_counts[connection.group_key]:
            del self.group_counts[connection.group_key]
        return True

    def release_load(self, load: float) -> None:
        """Subtract the load of a removed connection; without connections the load is 0."""
        self.load = max(0.0, self.load - load) if self.connections else 0.0

    def replace_load(self, old: float, new: float) -> None:
        """Update the endpoint's load after the load of one connection changed from `old` to `new`."""
        self.load = max(0.0, self.load + new - old)
