"""The score of an endpoint in a weighted draw: weighted random sampling, or weighted rendezvous hashing.

    score = -ln(u) / weight,  0 < u <= 1;  the least score wins, with odds by weight (Efraimidis and Spirakis)

u is drawn at random, or it is a hash of a key with the endpoint, so that all nodes draw alike:

- where nodes pass packets through, of the request's key, as any node must find the connection again;
- for connections of a group, of its key, as each endpoint with any of them does the group's work.
"""

from __future__ import annotations

import math
from random import Random

from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.hashing import unit_hash
from tansyladder.policy.requests import Request
from tansyladder.policy.settings_in_force import SettingsInForce


class WeightedDraw:
    """Computes the scores of endpoints in a draw."""

    def __init__(self, in_force: SettingsInForce, rng: Random) -> None:
        self._in_force = in_force
        self._rng = rng

    def score(self, endpoint: Endpoint, request: Request, weight: float) -> float:
        """Return the score of an endpoint with a weight above 0; the least one wins."""
        hashed = request.group_key
        if request.key and self._in_force.settings.pass_through:
            hashed = request.key
        uniform = unit_hash(hashed, endpoint.hash_seed) if hashed else 1.0 - self._rng.random()
        return -math.log(uniform) / weight


def rendezvous_score(endpoint: Endpoint, key: int) -> float:
    """Return the score of an endpoint by a key and by its whole weight, alike at every node."""
    return -math.log(unit_hash(key, endpoint.hash_seed)) / endpoint.weight
