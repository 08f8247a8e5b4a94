"""Endpoint selection: a weighted draw among available endpoints, the home zone first.

In the home zone, and then in all other zones together, a request goes to

1. an endpoint that is warming up and has a permit for this node, even if the pool is full: it is the new
   capacity that the pool lacks, and permits limit how fast it is filled;
2. else, unless the pool is full, one of the candidates whose load was just checked;
3. else, unless the pool is full, one of a random sample.

A pool is full when its mean utilization reaches the limit. Capacity that a single endpoint still has in a
full pool is needed for the excess load of the others; if it were used, messages would be late at all of them.

If the number of connections that fill an endpoint is configured, the home zone may also be full by an
estimate, which assumes that all nodes have as many connections as this one, and all zones as many nodes:

    connections x number of nodes / number of zones > UTILIZATION_LIMIT x connections per unit x capacity

where connections are this node's in the home zone. In that case requests go to other zones first. As this is
only an estimate, it rejects no request: one that no other zone takes gets an endpoint in the home zone. How
many connections other nodes really have is not known. The draw among endpoints is in `endpoint_draw`.
"""

from __future__ import annotations

from tansyladder.policy.active_settings import ActiveSettings
from tansyladder.policy.endpoint_draw import EndpointDraw
from tansyladder.policy.endpoint_pools import EndpointPool
from tansyladder.policy.endpoint_sampling import EndpointSampler
from tansyladder.policy.endpoint_table import EndpointTable
from tansyladder.policy.endpoint_weights import UTILIZATION_LIMIT
from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.pool_load import PoolLoad
from tansyladder.policy.requests import Request


class EndpointSelector:
    """Selects the endpoints of requests."""

    def __init__(
        self,
        active_settings: ActiveSettings,
        endpoints: EndpointTable,
        pool_load: PoolLoad,
        sampler: EndpointSampler,
        draw: EndpointDraw,
    ) -> None:
        self._active_settings = active_settings
        self._endpoints = endpoints
        self._pool_load = pool_load
        self._sampler = sampler
        self._draw = draw

    def select_endpoint(self, request: Request) -> Endpoint | None:
        """Select the endpoint for a request; return None if no endpoint has capacity."""
        home = self._endpoints.home_zone
        if self._is_home_zone_estimated_full():
            return (
                self._select_warming_up(home, request)
                or self._select_from_other_zones(request)
                or self._select_from_estimated_full(home, request)
            )
        return (
            self._select_warming_up(home, request)
            or self._select_warm(home, request, request.candidates)
            or self._select_from_other_zones(request)
        )

    def _is_home_zone_estimated_full(self) -> bool:
        """Return whether the home zone is full if all nodes have as many connections as this one."""
        settings = self._active_settings.settings
        if settings.connections_per_unit <= 0:
            return False
        home = self._endpoints.home_zone
        zone_count = len({endpoint.zone for endpoint in self._endpoints.by_id.values()})
        connection_count = sum(len(endpoint.connections) for endpoint in home.endpoints)
        limit = UTILIZATION_LIMIT * settings.connections_per_unit * home.capacity
        return 0 < limit < connection_count * settings.node_count / zone_count

    def _select_from_other_zones(self, request: Request) -> Endpoint | None:
        """Select an endpoint outside of the home zone."""
        others = self._endpoints.other_zones
        return self._select_warming_up(others, request) or self._select_warm(others, request, [])

    def _select_warming_up(self, pool: EndpointPool, request: Request) -> Endpoint | None:
        """Refresh the pool's figures, and select an endpoint that is warming up and has a permit."""
        self._pool_load.refresh(pool)
        return self._draw.draw(pool.warming_up, pool, request) if pool.warming_up else None

    def _select_warm(
        self, pool: EndpointPool, request: Request, candidates: list[Endpoint]
    ) -> Endpoint | None:
        """Select one of the candidates, else one of a sample; return None if the pool is full."""
        if pool.mean_utilization >= UTILIZATION_LIMIT:
            return None
        selected = self._draw.draw(candidates, pool, request) if candidates else None
        return selected or self._draw.draw(self._sampler.sample(pool, request), pool, request)

    def _select_from_estimated_full(self, home: EndpointPool, request: Request) -> Endpoint | None:
        """Select from a home zone that is full only by the estimate, which must not reject a request."""
        if home.mean_utilization >= UTILIZATION_LIMIT:
            return None
        return self._draw.draw(self._sampler.sample(home, request), home, request)
