"""The draw of one endpoint among some, by weight.

The weight of an endpoint (`endpoint_weights`) counts `GROUP_AFFINITY` times where it has connections of the
request's group, as it does the group's work already. An endpoint that is not available, or where a further
attempt could have a second effect, has none. A request that failed at an endpoint goes there again only
where nothing else has capacity.
"""

from __future__ import annotations

import math

from tansyladder.policy.clock import Clock
from tansyladder.policy.endpoint_pools import EndpointPool
from tansyladder.policy.endpoint_sampling import EndpointSampler
from tansyladder.policy.endpoint_weights import FULL, EndpointWeights
from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.requests import Request
from tansyladder.policy.retry_safety import may_execute_on
from tansyladder.policy.settings_in_force import SettingsInForce
from tansyladder.policy.weighted_draw import WeightedDraw

GROUP_AFFINITY = 8.0  # how much sooner an endpoint is drawn that has connections of the same group


class EndpointDraw:
    """Draws an endpoint for a request."""

    def __init__(
        self,
        clock: Clock,
        in_force: SettingsInForce,
        sampler: EndpointSampler,
        weights: EndpointWeights,
        scores: WeightedDraw,
    ) -> None:
        self._clock = clock
        self._in_force = in_force
        self._sampler = sampler
        self._weights = weights
        self._scores = scores

    def draw(self, among: list[Endpoint], pool: EndpointPool, request: Request) -> Endpoint | None:
        """Draw one of some endpoints of a pool whose figures are up to date; None: none takes the request."""
        best = fallback = None
        best_score = math.inf
        for endpoint in among:
            weight = self._weight_for(request, endpoint, pool)
            if weight > FULL:
                score = self._scores.score(endpoint, request, weight)
                if endpoint is request.last_failed_endpoint:
                    fallback = endpoint
                elif score < best_score:
                    best = endpoint
                    best_score = score
        return best or fallback

    def _weight_for(self, request: Request, endpoint: Endpoint, pool: EndpointPool) -> float:
        """Weigh an endpoint for a request; 0: it may not get the request, or takes nothing new."""
        if not self._sampler.is_available(endpoint):
            return FULL
        if request.may_have_run_on is not None and not self._may_execute_on(endpoint, request):
            return FULL
        weight = self._weights.weigh(endpoint, pool)
        has_group = request.group_key and request.group_key in endpoint.group_counts
        return weight * GROUP_AFFINITY if has_group else weight

    def _may_execute_on(self, endpoint: Endpoint, request: Request) -> bool:
        """Whether a further attempt of a request at an endpoint can have no second effect."""
        terms = self._in_force.settings.classes[request.class_index]
        return may_execute_on(request, endpoint, terms, self._clock.now)
