"""How loaded a pool of endpoints is as a whole.

- capacity = sum of weight x share of the capacity that the endpoint has by now
- mean load = this node's load in the pool / capacity
- mean utilization = the mean of the utilizations in load reports, each capped at 1. Where endpoints report
  none, late messages are all that is known: a delayed endpoint counts by its delay over the objective,
  between `ASSUMED_MEAN_UTILIZATION` and 1, any other as `ASSUMED_MEAN_UTILIZATION`.

Figures are cached for a part of the reaction time, as a burst of requests would otherwise compute them for
each. Between two refreshes each assignment is added, or a burst would find all endpoints over the mean.
What other nodes send is not known: they are taken to do as this one does, so that its own mean load serves
as a measure of the load of all.
"""

from __future__ import annotations

from tansyladder.policy.clock import Clock
from tansyladder.policy.endpoint_load import EndpointLoad
from tansyladder.policy.endpoint_pools import EndpointPool
from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.requests import Request
from tansyladder.policy.settings_in_force import NO_UTILIZATION_COLUMN, SettingsInForce
from tansyladder.policy.slow_start import FULL_CAPACITY, SlowStart

ASSUMED_MEAN_UTILIZATION = 0.6  # of an endpoint that carries the mean load, where nobody reports
MAX_COUNTED_UTILIZATION = 1.0  # one endpoint far over its capacity must not make a pool look full
POOL_REFRESHES_PER_REACTION = 32  # in a reaction time: a burst is counted once, a change is seen in time


class PoolLoad:
    """Keeps the figures of endpoint pools up to date."""

    def __init__(
        self, clock: Clock, in_force: SettingsInForce, slow_start: SlowStart, load: EndpointLoad
    ) -> None:
        self._clock = clock
        self._in_force = in_force
        self._slow_start = slow_start
        self._load = load

    def refresh(self, pool: EndpointPool) -> None:
        """Compute a pool's figures anew where they are too old."""
        now = self._clock.now
        max_age = self._in_force.limits.reaction_time_us // POOL_REFRESHES_PER_REACTION
        if pool.refreshed_at < 0 or now - pool.refreshed_at > max_age:
            pool.refreshed_at = now
            self._refresh_capacity(pool)
            pool.mean_load = sum(e.load for e in pool.endpoints) / pool.capacity if pool.capacity else 0.0
            pool.mean_utilization = self._mean_utilization(pool.endpoints)

    def _refresh_capacity(self, pool: EndpointPool) -> None:
        """Compute the capacity of a pool, and which of its endpoints are warming up."""
        capacity_share = self._slow_start.capacity_share
        warming_up: list[Endpoint] = []
        capacity = 0.0
        for endpoint in pool.endpoints:
            share = capacity_share(endpoint)
            if share < FULL_CAPACITY:
                warming_up.append(endpoint)
            capacity += endpoint.weight * share
        pool.warming_up = warming_up
        pool.capacity = capacity

    def _mean_utilization(self, endpoints: list[Endpoint]) -> float:
        """Return the mean utilization of endpoints, by reports where there are any, else by late messages."""
        if self._in_force.limits.utilization_column == NO_UTILIZATION_COLUMN:
            return _mean([self._utilization_by_delay(endpoint) for endpoint in endpoints])
        is_known = self._load.is_utilization_known
        return _mean([min(e.utilization, MAX_COUNTED_UTILIZATION) for e in endpoints if is_known(e)])

    def _utilization_by_delay(self, endpoint: Endpoint) -> float:
        """Estimate the utilization of an endpoint that does not report it from its message delay."""
        if not self._load.is_delayed(endpoint):
            return ASSUMED_MEAN_UTILIZATION
        delay = self._load.relative_delay(endpoint)
        return max(ASSUMED_MEAN_UTILIZATION, min(MAX_COUNTED_UTILIZATION, delay))

    def record_assignment(self, pool: EndpointPool, endpoint: Endpoint, request: Request) -> None:
        """Count a request until reports show it, so that a burst isn't all sent to one idle endpoint.

        Its utilization is estimated by its part of the load at which an endpoint has the assumed mean.
        """
        self.refresh(pool)
        mean_load = pool.mean_load * endpoint.weight
        if pool.capacity:
            pool.mean_load += request.load / pool.capacity
        added = ASSUMED_MEAN_UTILIZATION * request.load / max(mean_load, request.load)
        self._load.add_pending_utilization(endpoint, added)


def _mean(utilizations: list[float]) -> float:
    """Return the mean of utilizations; the assumed one where there are none."""
    return sum(utilizations) / len(utilizations) if utilizations else ASSUMED_MEAN_UTILIZATION
