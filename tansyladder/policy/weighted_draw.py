"""The score of an endpoint in a weighted draw: weighted random sampling, or weighted rendezvous hashing.

    score = -ln(u) / weight, with 0 < u <= 1

The endpoint with the lowest score wins, with a probability proportional to its weight (Efraimidis and
Spirakis). u is random, or it is a hash of a key and the endpoint, so that all nodes draw the same endpoint:

- in pass-through mode, a hash of the request's key, as any node must be able to find the connection again;
- for connections of a group, a hash of the group's key, so that they share few endpoints: each endpoint with
  connections of the group does the group's work again.
"""

from __future__ import annotations

import math
from random import Random

from tansyladder.policy.active_settings import ActiveSettings
from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.hashing import unit_hash
from tansyladder.policy.requests import Request


class WeightedDraw:
    """Computes the scores of endpoints in a draw."""

    def __init__(self, active_settings: ActiveSettings, rng: Random) -> None:
        self._active_settings = active_settings
        self._rng = rng

    def score(self, endpoint: Endpoint, request: Request, weight: float) -> float:
        """Return the score of an endpoint with a weight above 0; the lowest score wins."""
        hash_key = request.group_key
        if request.key and self._active_settings.settings.pass_through:
            hash_key = request.key
        uniform = unit_hash(hash_key, endpoint.hash_seed) if hash_key else 1.0 - self._rng.random()
        return -math.log(uniform) / weight


def rendezvous_score(endpoint: Endpoint, key: int) -> float:
    """Return the score of an endpoint by a key and its full weight. It is the same at every node."""
    return -math.log(unit_hash(key, endpoint.hash_seed)) / endpoint.weight
