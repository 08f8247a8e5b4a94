"""The record of a pool: the ready endpoints of the home zone, or of all others. Nothing is decided here."""

from __future__ import annotations

from tansyladder.policy.endpoints import NEVER, Endpoint


class EndpointPool:
    """Ready endpoints, and figures of them as a whole that `pool_load.PoolLoad` keeps up to date."""

    __slots__ = ("capacity", "endpoints", "mean_load", "mean_utilization", "refreshed_at", "warming_up")

    def __init__(self) -> None:
        self.endpoints: list[Endpoint] = []
        self.refreshed_at = NEVER  # when the figures were computed
        self.capacity = 0.0  # the sum of the weights, each x the share of its capacity that it has by now
        self.mean_load = 0.0  # this node's load for a unit of capacity
        self.mean_utilization = 0.0
        self.warming_up: list[Endpoint] = []

    def replace(self, endpoints: list[Endpoint]) -> None:
        """Replace the endpoints; the figures are out of date then."""
        self.endpoints = endpoints
        self.refreshed_at = NEVER
