"""How long an endpoint that failed or was slow is ejected (outlier ejection).

Each failure outside of an ejection starts an interval of a truncated binary exponential backoff with slots of
half the reaction time. The ejection ends at a time drawn from the interval, so that the nodes do not all
return to the endpoint at once. Failures during an ejection do not lengthen it: attempts that were in flight
at the same time fail together, which counts as one failure of the endpoint. There is no limit on the number
of endpoints that are ejected at once: if all are, requests back off, and each ejection ends by itself.
"""

from __future__ import annotations

from random import Random

from tansyladder.policy.active_settings import ActiveSettings
from tansyladder.policy.clock import Clock
from tansyladder.policy.endpoints import Endpoint

SLOTS_PER_REACTION_TIME = 2  # the first interval has two slots, which is one reaction time
MAX_EJECTION_FAILURE_COUNT = 4  # failures at which the interval stops growing, at eight reaction times


class Ejector:
    """Ejects endpoints."""

    def __init__(self, clock: Clock, active_settings: ActiveSettings, rng: Random) -> None:
        self._clock = clock
        self._active_settings = active_settings
        self._rng = rng

    def eject(self, endpoint: Endpoint) -> None:
        """Eject an endpoint unless it is ejected already; the backoff interval doubles with each failure."""
        now = self._clock.now
        if endpoint.ejection.retry_at <= now:
            slot_us = self._active_settings.limits.reaction_time_us // SLOTS_PER_REACTION_TIME
            endpoint.ejection.record_failure(now, slot_us, MAX_EJECTION_FAILURE_COUNT, self._rng)
