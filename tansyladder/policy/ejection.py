"""How long an endpoint that failed is left out (outlier ejection).

Each failure outside of an ejection opens an interval of a truncated binary exponential backoff with slots
of half the reaction time; the ejection ends at a moment drawn in it, so that not all nodes return at once.
Failures during an ejection do not lengthen it: attempts that were in flight together fail together, which
is one failure of their endpoint. How many endpoints are ejected at once is not bounded here: with all of
them ejected, requests back off, and each ejection ends by itself.
"""

from __future__ import annotations

from random import Random

from tansyladder.policy.clock import Clock
from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.settings_in_force import SettingsInForce

SLOTS_PER_REACTION = 2  # in a reaction time: the first interval, two slots, is one reaction time
MAX_EJECTION_ATTEMPT = 4  # failures from which intervals grow no more: eight reaction times


class Ejector:
    """Ejects endpoints."""

    def __init__(self, clock: Clock, in_force: SettingsInForce, rng: Random) -> None:
        self._clock = clock
        self._in_force = in_force
        self._rng = rng

    def eject(self, endpoint: Endpoint) -> None:
        """Eject an endpoint for an interval that doubles with each failure, unless it is ejected already."""
        now = self._clock.now
        if endpoint.ejection.retry_at <= now:
            slot = self._in_force.limits.reaction_time_us // SLOTS_PER_REACTION
            endpoint.ejection.record_failure(now, slot, MAX_EJECTION_ATTEMPT, self._rng)
