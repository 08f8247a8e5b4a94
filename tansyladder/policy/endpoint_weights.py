"""The weight of an endpoint in the random draw that selects one.

    weight = capacity x (UTILIZATION_LIMIT - utilization)^2,  0 from the limit on

where capacity = configured weight x share by slow start. The square sends clearly more to idle endpoints
than to those near the limit, without sending all to the idlest. The utilization is that of the last load
report with what was assigned since; where there is none it is guessed from this node's own load there,
relative to the mean of the pool. A message delay that still counts raises it to delay / objective.

The guess does not see what other nodes send. Where health checks watch the endpoint, a guess may therefore
rank endpoints, but does not reach the limit: nobody is rejected for it.
"""

from __future__ import annotations

from tansyladder.policy.endpoint_load import EndpointLoad
from tansyladder.policy.endpoint_pools import EndpointPool
from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.settings_in_force import SettingsInForce
from tansyladder.policy.slow_start import FULL_CAPACITY, SlowStart

UTILIZATION_LIMIT = 0.75  # from which an endpoint takes nothing new: its messages are late already
MAX_GUESSED_UTILIZATION = 0.7  # under the limit, for an endpoint that health checks find nothing wrong with
HEADROOM_EXPONENT = 2  # of the draw's odds by headroom: 1 fills busy endpoints, more sends all to the idlest
MEAN_RELATIVE_LOAD = 1.0  # of an endpoint where this node has no load anywhere in the pool
FULL = 0.0  # the weight of an endpoint that takes nothing new


class EndpointWeights:
    """Computes the weights of endpoints in the draw."""

    def __init__(self, in_force: SettingsInForce, slow_start: SlowStart, load: EndpointLoad) -> None:
        self._in_force = in_force
        self._slow_start = slow_start
        self._load = load

    def weigh(self, endpoint: Endpoint, pool: EndpointPool) -> float:
        """Return the weight of an endpoint, by up-to-date figures of its pool; 0: it takes nothing new."""
        share = self._slow_start.capacity_share(endpoint)
        if share < FULL_CAPACITY and not self._slow_start.available_permit(endpoint):
            return FULL
        capacity = endpoint.weight * share
        headroom = max(0.0, UTILIZATION_LIMIT - self._utilization(endpoint, pool, capacity))
        return float(capacity * headroom**HEADROOM_EXPONENT)

    def _utilization(self, endpoint: Endpoint, pool: EndpointPool, capacity: float) -> float:
        """Estimate the utilization of an endpoint by the best that is known."""
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
        if self._in_force.settings.health_check_interval_us and not endpoint.reports_delay:
            return min(utilization, MAX_GUESSED_UTILIZATION)
        return utilization
