"""Whether and when a request is retried.

A retry is due at the time drawn by the backoff. A request gets its final answer instead if

- the retry would start less than one slot (latency objective / `SLOTS_PER_OBJECTIVE`) before its deadline,
- the request has used up its attempts,
- the caller did not make the latest attempt (`AttemptStatus.NOT_ATTEMPTED`),
- its node evicts it, or
- no further attempt is safe, as an earlier one may have been executed (`retry_safety`).

Whether an endpoint will have capacity when the retry is due is not known.
"""

from __future__ import annotations

from collections.abc import Callable

from tansyladder.policy.active_settings import ActiveSettings
from tansyladder.policy.backoff import Backoff
from tansyladder.policy.clock import Clock
from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.events import AttemptEnded, AttemptStatus
from tansyladder.policy.final_answers import NO_RETRY_AFTER_US, FinalAnswers
from tansyladder.policy.key_backoffs import SLOTS_PER_OBJECTIVE, KeyBackoffs
from tansyladder.policy.requests import Request
from tansyladder.policy.retry_safety import may_execute_again
from tansyladder.policy.timers import TimerScheduler


class RetryScheduler:
    """Decides whether and when a request gets another attempt."""

    def __init__(
        self,
        *,
        clock: Clock,
        active_settings: ActiveSettings,
        timers: TimerScheduler,
        backoffs: KeyBackoffs,
        answers: FinalAnswers,
        start_attempt: Callable[[int], None],
    ) -> None:
        self._clock = clock
        self._active_settings = active_settings
        self._timers = timers
        self._backoffs = backoffs
        self._answers = answers
        self._start_attempt = start_attempt

    def handle_failed_attempt(
        self, request: Request, endpoint: Endpoint | None, event: AttemptEnded, *, is_evicted: bool
    ) -> None:
        """Schedule a retry after an attempt that ended without a connection, or give the final answer."""
        request.last_failed_endpoint = endpoint
        if not event.status.proves_not_executed:
            request.record_possible_execution(endpoint, self._clock.now - event.latency_us)
        if is_evicted or event.status is AttemptStatus.NOT_ATTEMPTED:
            self._answers.reject(request, NO_RETRY_AFTER_US)
        else:
            self.handle_setup_failure(request)

    def handle_connection_established(self, request: Request) -> None:
        """Clear the backoff of a request's key once its connection has lasted."""
        self._backoffs.clear_if_lasting(request)

    def handle_setup_failure(self, request: Request) -> None:
        """Back off after a set-up that failed or found no endpoint with capacity."""
        self.retry_or_reject(request, self._backoffs.record_failure(request))

    def retry_or_reject(self, request: Request, backoff: Backoff) -> None:
        """Schedule a retry at the time drawn by the backoff; if none is allowed, give the final answer."""
        if self._may_retry(request, backoff.retry_at):
            request.retry_at = backoff.retry_at  # a copy: the backoff changes with other requests of the key
            self._timers.schedule(request.retry_at, self._start_attempt, request.id)
        else:
            self._answers.reject(request, backoff.interval_end - self._clock.now)

    def _may_retry(self, request: Request, retry_at: int) -> bool:
        """Return whether another attempt is safe, is allowed, and is in time if it starts at `retry_at`."""
        settings = self._active_settings.settings
        class_settings = settings.classes[request.class_index]
        is_in_time = retry_at + class_settings.latency_objective_us // SLOTS_PER_OBJECTIVE <= request.deadline
        has_attempts_left = request.attempt_count < settings.max_attempts
        return (
            is_in_time
            and has_attempts_left
            and may_execute_again(class_settings, request.first_sent_at, retry_at)
        )
