"""The record of a pool: ready endpoints, of the home zone or of all other zones. It makes no decisions."""

from __future__ import annotations

from tansyladder.policy.endpoints import NEVER, Endpoint


class EndpointPool:
    """Ready endpoints and their aggregate figures, which `pool_load.PoolLoad` keeps up to date."""

    __slots__ = ("capacity", "endpoints", "mean_load", "mean_utilization", "refreshed_at", "warming_up")

    def __init__(self) -> None:
        self.endpoints: list[Endpoint] = []
        self.refreshed_at = NEVER  # when the figures were computed (us)
        self.capacity = 0.0  # the sum of weight x current share of full capacity, over all endpoints
        self.mean_load = 0.0  # the load of this node per unit of capacity
        self.mean_utilization = 0.0
        self.warming_up: list[Endpoint] = []

    def replace(self, endpoints: list[Endpoint]) -> None:
        """Replace the endpoints and mark the figures as out of date."""
        self.endpoints = endpoints
        self.refreshed_at = NEVER
