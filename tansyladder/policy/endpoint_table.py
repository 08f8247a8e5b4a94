"""The table of all endpoints and the pools of those that are ready. Nothing is decided here."""

from __future__ import annotations

from typing import NamedTuple

from tansyladder.policy.endpoint_pools import EndpointPool
from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.events import EndpointState


class EndpointCounts(NamedTuple):
    """How many endpoints a node knows of."""

    listed: int
    ejected: int  # ready ones that get no connections for now, as connections to them failed or were slow


class EndpointTable:
    """All endpoints that were ever listed, and the pools of those that are ready."""

    __slots__ = ("by_id", "home_zone", "other_zones")

    def __init__(self) -> None:
        self.by_id: dict[int, Endpoint] = {}
        self.home_zone = EndpointPool()  # in the node's own zone
        self.other_zones = EndpointPool()

    def refill_pools(self, home_zone: int) -> None:
        """Fill the pools anew with the endpoints that are ready, in the order of their ids."""
        ready_state = EndpointState.READY
        ready = [e for e in self.by_id.values() if e.state is ready_state]
        ready.sort(key=lambda endpoint: endpoint.id)
        self.home_zone.replace([e for e in ready if e.zone == home_zone])
        self.other_zones.replace([e for e in ready if e.zone != home_zone])

    def counts(self, now: int) -> EndpointCounts:
        """Count the endpoints at a moment. Thread-safe without a lock: it reads a copy of the table."""
        listed = [e for e in list(self.by_id.values()) if e.state is not EndpointState.GONE]
        ejected = sum(e.state is EndpointState.READY and e.ejection.retry_at > now for e in listed)
        return EndpointCounts(len(listed), ejected)
