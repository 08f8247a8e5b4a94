"""The weight of an endpoint in the random draw among endpoints.

    weight = capacity x (UTILIZATION_LIMIT - utilization)^2, or 0 if the utilization is at or over the limit

where capacity = weight in discovery's list x current share of full capacity (`slow_start`). The square
clearly favours idle endpoints over those near the limit without sending everything to the idlest one. The
utilization is that of the last load report plus the pending utilization (`endpoint_load`). Without a valid
report it is guessed from this node's own load at the endpoint, relative to the mean of the pool. A valid
message delay raises it to at least delay / objective.

The guess does not include traffic from other nodes. If periodic health checks watch the endpoint, the guess
therefore influences the order of endpoints but stays below the limit, so that no request is rejected because
of it.
"""

from __future__ import annotations

from tansyladder.policy.active_settings import ActiveSettings
from tansyladder.policy.endpoint_load import EndpointLoad
from tansyladder.policy.endpoint_pools import EndpointPool
from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.slow_start import FULL_CAPACITY, SlowStart

UTILIZATION_LIMIT = 0.75  # at this an endpoint gets nothing new, as its messages are late already
MAX_GUESSED_UTILIZATION = 0.7  # below the limit; for endpoints that health checks watch
HEADROOM_EXPONENT = 2  # 1 would send too much to busy endpoints, more than 2 everything to the idlest ones
MEAN_RELATIVE_LOAD = 1.0  # assumed for an endpoint if this node has no load in its pool
NO_WEIGHT = 0.0  # the weight of an endpoint that gets nothing new


class EndpointWeights:
    """Computes the weights of endpoints in the draw."""

    def __init__(self, active_settings: ActiveSettings, slow_start: SlowStart, load: EndpointLoad) -> None:
        self._active_settings = active_settings
        self._slow_start = slow_start
        self._load = load

    def weigh(self, endpoint: Endpoint, pool: EndpointPool) -> float:
        """Return the weight of an endpoint, or 0 if it gets nothing new.

        `PoolLoad.refresh` must have been called for its pool.
        """
        share = self._slow_start.capacity_share(endpoint)
        if share < FULL_CAPACITY and not self._slow_start.available_permit(endpoint):
            return NO_WEIGHT
        capacity = endpoint.weight * share
        headroom = max(0.0, UTILIZATION_LIMIT - self._utilization(endpoint, pool, capacity))
        return float(capacity * headroom**HEADROOM_EXPONENT)

    def _utilization(self, endpoint: Endpoint, pool: EndpointPool, capacity: float) -> float:
        """Estimate the utilization of an endpoint from reports if they are valid, else by a guess."""
        load = self._load
        if load.is_utilization_known(endpoint):
            utilization = load.known_utilization(endpoint)
        else:
            utilization = self._guessed_utilization(endpoint, pool, capacity)
        return max(utilization, load.relative_delay(endpoint))

    def _guessed_utilization(self, endpoint: Endpoint, pool: EndpointPool, capacity: float) -> float:
        """Guess the utilization of an endpoint from this node's load there, relative to the pool's mean."""
        relative_load = endpoint.load / capacity / pool.mean_load if pool.mean_load else MEAN_RELATIVE_LOAD
        utilization = pool.mean_utilization * relative_load
        if self._active_settings.settings.health_check_interval_us and not endpoint.reports_delay:
            return min(utilization, MAX_GUESSED_UTILIZATION)
        return utilization
