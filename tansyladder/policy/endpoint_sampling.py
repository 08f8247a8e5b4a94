"""Which endpoints are looked at for a request, and which may get an attempt at all.

A sample is drawn instead of looking at every endpoint, as in the power of random choices: among a few at
random one has capacity when most have, and the cost does not grow with the number of endpoints. Where nodes
pass packets through, the sample is the first endpoints in the key's own order (rendezvous hashing), alike
at every node.

An endpoint is available when it is ready, not ejected and has few attempts pending. After an ejection it
gets one attempt at a time until a connection is established, as it may still be down.
"""

from __future__ import annotations

from itertools import islice
from random import Random

from tansyladder.policy.clock import Clock
from tansyladder.policy.endpoint_pools import EndpointPool
from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.events import EndpointState
from tansyladder.policy.requests import Request
from tansyladder.policy.settings_in_force import SettingsInForce
from tansyladder.policy.weighted_draw import WeightedDraw

SAMPLE_SIZE = 16  # endpoints looked at where no candidate has capacity, however many are listed
READY = EndpointState.READY  # looked up once: the state of each endpoint of a sample is compared to it
OVERSAMPLING_FACTOR = 4  # times the size that is drawn, as some of what is drawn is not available
MAX_PENDING_AFTER_EJECTION = 1  # attempts at an endpoint whose last ejection no connection has disproved


class EndpointSampler:
    """Samples available endpoints of a pool."""

    def __init__(self, clock: Clock, in_force: SettingsInForce, rng: Random, draw: WeightedDraw) -> None:
        self._clock = clock
        self._in_force = in_force
        self._rng = rng
        self._draw = draw

    def is_available(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint may get an attempt: ready, not ejected, and with few attempts pending."""
        ejection = endpoint.ejection
        if endpoint.state is not READY or ejection.retry_at > self._clock.now:
            return False
        if ejection.attempt:
            return endpoint.pending_attempt_count < MAX_PENDING_AFTER_EJECTION
        return endpoint.pending_attempt_count < self._in_force.limits.max_pending_attempts

    def sample(self, pool: EndpointPool, request: Request, size: int = SAMPLE_SIZE) -> list[Endpoint]:
        """Return some available endpoints of a pool: at random, or the first ones of the key's own order."""
        if self._in_force.settings.pass_through and request.key:
            return self._first_by_key(pool, request, size)
        drawn = self._rng.sample(pool.endpoints, min(OVERSAMPLING_FACTOR * size, len(pool.endpoints)))
        return list(islice(filter(self.is_available, drawn), size))

    def _first_by_key(self, pool: EndpointPool, request: Request, size: int) -> list[Endpoint]:
        """Return the first available endpoints of a pool in the order of the request's key."""
        available = [endpoint for endpoint in pool.endpoints if self.is_available(endpoint)]
        score = self._draw.score
        return sorted(available, key=lambda e: (score(e, request, e.weight), e.id))[:size]
