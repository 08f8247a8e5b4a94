"""The table of all endpoints, and the pools of those that are ready. It makes no decisions."""

from __future__ import annotations

from typing import NamedTuple

from tansyladder.policy.endpoint_pools import EndpointPool
from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.events import EndpointState


class EndpointCounts(NamedTuple):
    """The numbers of endpoints that a node knows."""

    listed: int
    ejected: int  # ready endpoints that get no requests for now, as they failed or were slow


class EndpointTable:
    """All endpoints that were ever listed, and the pools of the ready ones."""

    __slots__ = ("by_id", "home_zone", "other_zones")

    def __init__(self) -> None:
        self.by_id: dict[int, Endpoint] = {}
        self.home_zone = EndpointPool()  # ready endpoints in the node's own zone
        self.other_zones = EndpointPool()  # ready endpoints in all other zones

    def refill_pools(self, home_zone: int) -> None:
        """Rebuild the pools from the endpoints that are ready, in the order of their ids."""
        ready_state = EndpointState.READY
        ready = [e for e in self.by_id.values() if e.state is ready_state]
        ready.sort(key=lambda endpoint: endpoint.id)
        self.home_zone.replace([e for e in ready if e.zone == home_zone])
        self.other_zones.replace([e for e in ready if e.zone != home_zone])

    def counts(self, now: int) -> EndpointCounts:
        """Count the endpoints at a time (us). Thread-safe without a lock, as it reads a copy of the table."""
        listed = [e for e in list(self.by_id.values()) if e.state is not EndpointState.GONE]
        ejected = sum(e.state is EndpointState.READY and e.ejection.retry_at > now for e in listed)
        return EndpointCounts(len(listed), ejected)
