"""The record of one endpoint: what this node knows of it. Nothing is decided here.

Moments and spans are integer microseconds.
"""

from __future__ import annotations

from typing import Protocol

from tansyladder.policy.backoff import Backoff
from tansyladder.policy.events import EndpointState, EndpointUpdate
from tansyladder.policy.hashing import hash64
from tansyladder.policy.request_states import RequestState

NEVER = -1  # the moment of what has not happened yet


class Connection(Protocol):
    """A request as its endpoint sees it: an attempt in flight, or an established connection."""

    id: int
    class_index: int
    tenant: int
    group_key: int
    load: float
    state: RequestState
    endpoint: Endpoint | None

    def close(self) -> None:
        """Note that the client left, or was asked to reconnect."""


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
        self.stable_id = update.stable_id or update.endpoint_id  # the same at every node
        self.hash_seed = hash64(update.endpoint_id)
        self.zone = update.zone
        self.cell = update.cell
        self.weight = weight  # its capacity, in units that all endpoints share
        self.state: EndpointState = update.state
        self.state_changed_at = now
        self.connections: dict[int, Connection] = {}  # by request id; attempts in flight are among them
        self.group_counts: dict[int, int] = {}  # connections of each group key
        self.load = 0.0  # the sum of the connections' loads
        self.pending_attempt_count = 0  # attempts that neither ended nor established their connection
        self.is_check_in_flight = False
        self.waiting_request_ids: list[int] = []  # requests that wait for the health check in flight
        self.restart(update.ready_at_us, weight)

    def restart(self, ready_at: int, weight: float) -> None:
        """Forget what was observed of an earlier process."""
        self.ready_at = ready_at
        self.start_weight = weight  # while the process is empty: some weights fall with the load
        self.ejection = Backoff()  # the endpoint gets no requests before `retry_at`
        self.utilization = 0.0  # by its last load report
        self.utilization_at = NEVER  # the moment of that report
        self.message_delay_us = 0.0
        self.message_delay_at = NEVER  # the moment of the last report or measurement of a delay
        self.delay_valid_until = 0
        self.pending_utilization = 0.0  # by requests of this node that no report shows yet
        self.pending_at = 0
        self.last_permit = 0  # the newest slow-start permit that this node has used
        self.migration_backoff = Backoff()
        self.is_migration_scheduled = False
        self.best_latency_us = 0  # of its health checks; 0: none yet
        self.latency_sample_count = 0  # health checks that confirm the best latency
        self.is_suspect = False  # whether the last health check was slow
        self.reports_delay = False  # whether it has reported a delay itself, whatever the settings promise

    def update(self, update: EndpointUpdate, weight: float) -> None:
        """Take over the attributes in discovery's list, except the state."""
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

    def add_connection(self, connection: Connection) -> None:
        """Add an attempt or an established connection, with its load."""
        self.connections[connection.id] = connection
        self.group_counts[connection.group_key] = self.group_counts.get(connection.group_key, 0) + 1
        self.load += connection.load

    def remove_connection(self, connection: Connection) -> bool:
        """Remove an attempt or a connection, but not its load.

        Returns:
            Whether it was here.
        """
        if self.connections.pop(connection.id, None) is None:
            return False
        self.group_counts[connection.group_key] -= 1
        if not self.group_counts[connection.group_key]:
            del self.group_counts[connection.group_key]
        return True

    def release_load(self, load: float) -> None:
        """Take the load of a connection that was removed off the endpoint's; without any, it has none."""
        self.load = max(0.0, self.load - load) if self.connections else 0.0

    def replace_load(self, old: float, new: float) -> None:
        """Replace the load of one connection in the endpoint's load."""
        self.load = max(0.0, self.load + new - old)
