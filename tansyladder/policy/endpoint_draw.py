"""Draws one of several endpoints at random, by weight.

The weight of an endpoint (`endpoint_weights`) is multiplied by `GROUP_AFFINITY` if the endpoint has
connections of the request's group, as it already does the group's work. The weight is 0 if the endpoint is
not available, or if an attempt there could execute the request a second time. The endpoint at which the
request failed last is drawn only if no other of the given endpoints has capacity.
"""

from __future__ import annotations

import math

from tansyladder.policy.active_settings import ActiveSettings
from tansyladder.policy.clock import Clock
from tansyladder.policy.endpoint_pools import EndpointPool
from tansyladder.policy.endpoint_sampling import EndpointSampler
from tansyladder.policy.endpoint_weights import NO_WEIGHT, EndpointWeights
from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.requests import Request
from tansyladder.policy.retry_safety import may_execute_on
from tansyladder.policy.weighted_draw import WeightedDraw

GROUP_AFFINITY = 8.0  # multiplies the weight of an endpoint that has connections of the same group


class EndpointDraw:
    """Draws an endpoint for a request."""

    def __init__(
        self,
        clock: Clock,
        active_settings: ActiveSettings,
        sampler: EndpointSampler,
        weights: EndpointWeights,
        weighted_draw: WeightedDraw,
    ) -> None:
        self._clock = clock
        self._active_settings = active_settings
        self._sampler = sampler
        self._weights = weights
        self._weighted_draw = weighted_draw

    def draw(self, endpoints: list[Endpoint], pool: EndpointPool, request: Request) -> Endpoint | None:
        """Draw one of the given endpoints of a pool, for which `PoolLoad.refresh` has been called.

        Returns:
            The endpoint; None if none of them can take the request.
        """
        best = fallback = None
        best_score = math.inf
        for endpoint in endpoints:
            weight = self._weight_for(request, endpoint, pool)
            if weight > NO_WEIGHT:
                score = self._weighted_draw.score(endpoint, request, weight)
                if endpoint is request.last_failed_endpoint:
                    fallback = endpoint
                elif score < best_score:
                    best = endpoint
                    best_score = score
        return best or fallback

    def _weight_for(self, request: Request, endpoint: Endpoint, pool: EndpointPool) -> float:
        """Return the weight of an endpoint for a request; 0 if the endpoint must not or cannot take it."""
        if not self._sampler.is_available(endpoint):
            return NO_WEIGHT
        if request.may_have_executed_on is not None and not self._may_execute_on(endpoint, request):
            return NO_WEIGHT
        weight = self._weights.weigh(endpoint, pool)
        has_group = request.group_key and request.group_key in endpoint.group_counts
        return weight * GROUP_AFFINITY if has_group else weight

    def _may_execute_on(self, endpoint: Endpoint, request: Request) -> bool:
        """Return whether an attempt of the request at an endpoint cannot have a second effect."""
        class_settings = self._active_settings.settings.classes[request.class_index]
        return may_execute_on(request, endpoint, class_settings, self._clock.now)
