"""The backoff of a request's key: the intervals from which the times of its retries are drawn.

After a set-up that failed, or that found no endpoint with capacity, the retry follows a truncated binary
exponential backoff (`backoff`) of the request's key, with

    slot = latency objective / SLOTS_PER_OBJECTIVE x (1 + (SLOTS_PER_OBJECTIVE - 1) x set-up failure rate)

so that three attempts that fail at once still fit into the latency objective: the first two intervals have
2 + 4 of its 8 slots. When set-ups fail everywhere, the first intervals are wider, as many clients then retry
within the same intervals. Intervals grow until one covers the deadline.

A connection that has lasted for the deadline of its class clears the backoff. If it breaks sooner, the
backoff continues, as the cause may be that of the failures before it.
"""

from __future__ import annotations

from random import Random

from tansyladder.policy.active_settings import ActiveSettings
from tansyladder.policy.backoff import Backoff
from tansyladder.policy.clock import Clock
from tansyladder.policy.request_table import RequestTable
from tansyladder.policy.requests import Request
from tansyladder.policy.setup_failures import SetupFailureRate
from tansyladder.policy.timers import TimerScheduler

SLOTS_PER_OBJECTIVE = 8  # slots in the latency objective: the first two intervals, 2 + 4 slots, fit into it
MIN_SLOT_US = 1  # with slots of length 0, all retries would coincide


class KeyBackoffs:
    """Advances and clears the backoffs of keys."""

    def __init__(
        self,
        *,
        clock: Clock,
        active_settings: ActiveSettings,
        rng: Random,
        timers: TimerScheduler,
        requests: RequestTable,
        setup_failures: SetupFailureRate,
    ) -> None:
        self._clock = clock
        self._active_settings = active_settings
        self._rng = rng
        self._timers = timers
        self._requests = requests
        self._setup_failures = setup_failures

    def record_failure(self, request: Request) -> Backoff:
        """Start the next interval of a request's backoff, and draw the time of the retry from it."""
        backoff = request.backoff or self._requests.begin_backoff(request)
        class_settings = self._active_settings.settings.classes[request.class_index]
        slot_factor = 1 + (SLOTS_PER_OBJECTIVE - 1) * self._setup_failures.rate
        slot_us = max(
            MIN_SLOT_US, int(class_settings.latency_objective_us // SLOTS_PER_OBJECTIVE * slot_factor)
        )
        max_failure_count = (class_settings.deadline_us // slot_us).bit_length()
        backoff.record_failure(self._clock.now, slot_us, max_failure_count, self._rng)
        return backoff

    def clear_if_lasting(self, request: Request) -> None:
        """Schedule that the key's backoff is cleared once the connection has lasted for the deadline."""
        if request.backoff:
            deadline_us = self._active_settings.settings.classes[request.class_index].deadline_us
            self._timers.schedule(self._clock.now + deadline_us, self._clear, request.id)

    def _clear(self, request_id: int) -> None:
        """Clear the backoff of a request's key if its connection is still established."""
        request = self._requests.by_id.get(request_id)
        if request and request.is_established:
            self._requests.forget_backoff(request.key)
