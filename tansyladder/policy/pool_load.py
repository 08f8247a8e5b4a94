"""The load of a pool of endpoints as a whole.

- capacity = sum of weight x current share of full capacity, over all endpoints
- mean load = this node's load in the pool / capacity
- mean utilization = mean of the utilizations in valid load reports, each capped at 1; without a valid report
  `ASSUMED_MEAN_UTILIZATION`. If reports do not include the utilization, it is estimated from late messages: a
  delayed endpoint counts as its delay / objective, between `ASSUMED_MEAN_UTILIZATION` and 1, and any other
  endpoint as `ASSUMED_MEAN_UTILIZATION`.

The figures are cached for a fraction of the reaction time, as a burst of requests would otherwise compute
them for each request. Each assignment between two refreshes is added to the mean load, as a burst would
otherwise raise all endpoints above the outdated mean. The load from other nodes is not known: they are
assumed to behave like this one, so that this node's mean load serves as a measure of the total load.
"""

from __future__ import annotations

from tansyladder.policy.active_settings import NO_UTILIZATION_COLUMN, ActiveSettings
from tansyladder.policy.clock import Clock
from tansyladder.policy.endpoint_load import EndpointLoad
from tansyladder.policy.endpoint_pools import EndpointPool
from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.requests import Request
from tansyladder.policy.slow_start import FULL_CAPACITY, SlowStart

ASSUMED_MEAN_UTILIZATION = 0.6  # of an endpoint with the mean load, if no endpoint reports its utilization
MAX_COUNTED_UTILIZATION = 1.0  # one endpoint far over its capacity must not make the pool look full
POOL_REFRESHES_PER_REACTION_TIME = 32  # rare enough for bursts, often enough to notice changes in time


class PoolLoad:
    """Keeps the aggregate figures of endpoint pools up to date."""

    def __init__(
        self, clock: Clock, active_settings: ActiveSettings, slow_start: SlowStart, load: EndpointLoad
    ) -> None:
        self._clock = clock
        self._active_settings = active_settings
        self._slow_start = slow_start
        self._load = load

    def refresh(self, pool: EndpointPool) -> None:
        """Recompute the figures of a pool if they are too old."""
        now = self._clock.now
        max_age = self._active_settings.limits.reaction_time_us // POOL_REFRESHES_PER_REACTION_TIME
        if pool.refreshed_at < 0 or now - pool.refreshed_at > max_age:
            pool.refreshed_at = now
            self._refresh_capacity(pool)
            pool.mean_load = sum(e.load for e in pool.endpoints) / pool.capacity if pool.capacity else 0.0
            pool.mean_utilization = self._mean_utilization(pool.endpoints)

    def _refresh_capacity(self, pool: EndpointPool) -> None:
        """Compute the capacity of a pool, and list its endpoints that are warming up."""
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
        """Return the mean utilization of endpoints, from reports if they send any, else from delays."""
        if self._active_settings.limits.utilization_column == NO_UTILIZATION_COLUMN:
            return _mean([self._utilization_by_delay(endpoint) for endpoint in endpoints])
        is_known = self._load.is_utilization_known
        return _mean([min(e.utilization, MAX_COUNTED_UTILIZATION) for e in endpoints if is_known(e)])

    def _utilization_by_delay(self, endpoint: Endpoint) -> float:
        """Estimate from its message delay the utilization of an endpoint that does not report it."""
        if not self._load.is_delayed(endpoint):
            return ASSUMED_MEAN_UTILIZATION
        delay = self._load.relative_delay(endpoint)
        return max(ASSUMED_MEAN_UTILIZATION, min(MAX_COUNTED_UTILIZATION, delay))

    def record_assignment(self, pool: EndpointPool, endpoint: Endpoint, request: Request) -> None:
        """Add the expected load of a request, which reports do not include yet.

        Otherwise a burst of requests would all go to the same idle endpoint. The added utilization is
        `ASSUMED_MEAN_UTILIZATION` x the request's load / the load at which the endpoint is at the pool's
        mean, and at most `ASSUMED_MEAN_UTILIZATION`.
        """
        self.refresh(pool)
        endpoint_mean_load = pool.mean_load * endpoint.weight
        if pool.capacity:
            pool.mean_load += request.load / pool.capacity
        added_utilization = ASSUMED_MEAN_UTILIZATION * request.load / max(endpoint_mean_load, request.load)
        self._load.add_pending_utilization(endpoint, added_utilization)


def _mean(utilizations: list[float]) -> float:
    """Return the mean of utilizations, or the assumed mean if there are none."""
    return sum(utilizations) / len(utilizations) if utilizations else ASSUMED_MEAN_UTILIZATION
