"""Samples endpoints for a request, and decides which endpoints are available for an attempt.

A sample is used instead of all endpoints, as in the power of random choices: if most endpoints have capacity,
one of a few random ones very likely has it, and the cost does not grow with the number of endpoints. In
pass-through mode the sample is the first endpoints in the order of the request's key (rendezvous hashing),
which is the same at every node.

An endpoint is available if it is ready, is not ejected, and has few enough pending attempts. After an
ejection it gets one attempt at a time until a connection is established, as it may still be down.
"""

from __future__ import annotations

from itertools import islice
from random import Random

from tansyladder.policy.active_settings import ActiveSettings
from tansyladder.policy.clock import Clock
from tansyladder.policy.endpoint_pools import EndpointPool
from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.events import EndpointState
from tansyladder.policy.requests import Request
from tansyladder.policy.weighted_draw import WeightedDraw

SAMPLE_SIZE = 16  # endpoints considered if no candidate has capacity, however many are listed
READY = EndpointState.READY  # avoids a lookup for each endpoint of a sample
OVERSAMPLING_FACTOR = 4  # multiplies the number of endpoints drawn, as some are not available
MAX_PENDING_AFTER_EJECTION = 1  # pending attempts at an endpoint, until a connection is established


class EndpointSampler:
    """Samples available endpoints of a pool."""

    def __init__(
        self, clock: Clock, active_settings: ActiveSettings, rng: Random, weighted_draw: WeightedDraw
    ) -> None:
        self._clock = clock
        self._active_settings = active_settings
        self._rng = rng
        self._weighted_draw = weighted_draw

    def is_available(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is ready, is not ejected, and has few enough pending attempts."""
        ejection = endpoint.ejection
        if endpoint.state is not READY or ejection.retry_at > self._clock.now:
            return False
        if ejection.failure_count:
            return endpoint.pending_attempt_count < MAX_PENDING_AFTER_EJECTION
        return endpoint.pending_attempt_count < self._active_settings.limits.max_pending_attempts

    def sample(self, pool: EndpointPool, request: Request, size: int = SAMPLE_SIZE) -> list[Endpoint]:
        """Return up to `size` available endpoints, random ones or the first ones in the order of the key."""
        if self._active_settings.settings.pass_through and request.key:
            return self._first_by_key(pool, request, size)
        drawn = self._rng.sample(pool.endpoints, min(OVERSAMPLING_FACTOR * size, len(pool.endpoints)))
        return list(islice(filter(self.is_available, drawn), size))

    def _first_by_key(self, pool: EndpointPool, request: Request, size: int) -> list[Endpoint]:
        """Return the first `size` available endpoints of a pool in the order of the request's key."""
        available = [endpoint for endpoint in pool.endpoints if self.is_available(endpoint)]
        score = self._weighted_draw.score
        return sorted(available, key=lambda e: (score(e, request, e.weight), e.id))[:size]
