"""Outlier detection: which endpoints are ejected because they fail or are slow.

- An attempt, a connection or a health check that fails (an error, a timeout, a reset, a refusal or a
  failed set-up) ejects its endpoint. Only a health check that a full endpoint refuses does not, as the
  endpoint has answered.
- A message delay over the limit ejects the endpoint, and a part of its connections is migrated.
- If an endpoint reports no delays, the latency of its health checks is used instead. A response is slow if

      latency > best x SLOW_LATENCY_FACTOR  and  latency > best + LATENCY_JITTER_US

  where best is the lowest latency seen from the endpoint's current process. A single slow response may be
  chance, so the endpoint is checked again at once. A second slow response in a row counts as a message delay
  of message objective x latency / (best x SLOW_LATENCY_FACTOR).
- A response far faster than a reliable best is treated as that of an endpoint that hangs: an endpoint that
  does no work has nothing that delays the response. As a new best, this latency would make the endpoint look
  slow permanently once it works again. Each such response removes one confirmation of the best, so that a
  best measured during a bad period is eventually replaced.

The causes are not known: a slow network path looks the same as a slow endpoint. What other nodes conclude
about an endpoint is not known either.
"""

from __future__ import annotations

from tansyladder.policy.active_settings import ActiveSettings
from tansyladder.policy.clock import Clock
from tansyladder.policy.ejection import Ejector
from tansyladder.policy.endpoint_load import EndpointLoad
from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.events import AttemptStatus, HealthCheckResult
from tansyladder.policy.health_checks import HealthCheckScheduler
from tansyladder.policy.overload_migration import OverloadMigration

SLOW_LATENCY_FACTOR = 1.7  # x the best: a response over this is slow; normal load takes up to 1.3 x best
LATENCY_JITTER_US = 3_000  # by which a response may exceed the best by chance; matters if the best is low
# A response faster than this factor x a reliable best comes from an endpoint that does no work.
IMPLAUSIBLE_LATENCY_FACTOR = 0.5
# Such an endpoint serves nobody, so its latency counts as this factor x the best, which is slow.
HUNG_LATENCY_FACTOR = 2
RELIABLE_SAMPLE_COUNT = 8  # after so many confirmations, a far faster response is not taken as a new best
# Limits the count of confirmations, so that a best is replaced after about 3 x RELIABLE_SAMPLE_COUNT
# implausibly fast responses, however often it was confirmed before.
MAX_SAMPLE_COUNT = 4 * RELIABLE_SAMPLE_COUNT
NO_DELAY_US = 0.0
NON_EJECTING_STATUSES = (AttemptStatus.OK, AttemptStatus.CANCELLED, AttemptStatus.NOT_ATTEMPTED)
EJECTING_STATUSES = tuple(status for status in AttemptStatus if status not in NON_EJECTING_STATUSES)
# The latency of these failures is a lower bound for that of the response.
FAILURES_WITH_LATENCY = (AttemptStatus.ERROR, AttemptStatus.TIMEOUT)


class OutlierDetector:
    """Detects failing and slow endpoints by attempts, health checks and message delays."""

    def __init__(
        self,
        *,
        clock: Clock,
        active_settings: ActiveSettings,
        load: EndpointLoad,
        ejector: Ejector,
        health_checks: HealthCheckScheduler,
        overload_migration: OverloadMigration,
    ) -> None:
        self._clock = clock
        self._active_settings = active_settings
        self._load = load
        self._ejector = ejector
        self._health_checks = health_checks
        self._overload_migration = overload_migration

    def evaluate_attempt_end(
        self, endpoint: Endpoint, status: AttemptStatus, load_report: tuple[float, ...]
    ) -> None:
        """Eject the endpoint if the attempt failed, and record the load report if there is one."""
        if status in EJECTING_STATUSES:
            self._ejector.eject(endpoint)
        if load_report:
            self._load.record_load_report(endpoint, load_report)

    def evaluate_established(self, endpoint: Endpoint) -> None:
        """Reset the ejection backoff of an endpoint at which a connection was established.

        It is not reset if any message delay, long or short, was recorded within the reaction time.
        """
        if endpoint.message_delay_at < self._clock.now - self._active_settings.limits.reaction_time_us:
            endpoint.ejection.failure_count = 0

    def evaluate_health_check(self, endpoint: Endpoint, result: HealthCheckResult) -> None:
        """Evaluate the latency, the status and the load report of a health check."""
        if self._active_settings.settings.health_check_interval_us and not endpoint.reports_delay:
            self._evaluate_latency(endpoint, result)
        if result.status is AttemptStatus.OK:
            self._load.record_load_report(endpoint, result.load_report)
        elif result.status is not AttemptStatus.FULL:
            self._ejector.eject(endpoint)

    def record_message_delay(self, endpoint: Endpoint, delay_us: float) -> None:
        """Record the message delay of an endpoint; if it is too long, eject it and schedule a migration."""
        limits = self._active_settings.limits
        now = self._clock.now
        endpoint.message_delay_us = delay_us
        endpoint.message_delay_at = now
        # An endpoint repeats its report each second; a measurement is repeated only by the next health check.
        validity_us = limits.reaction_time_us if endpoint.reports_delay else limits.delay_validity_us
        endpoint.delay_valid_until = now + validity_us
        if delay_us > limits.delay_limit_us:
            self._ejector.eject(endpoint)
            if self._overload_migration.schedule(endpoint) and limits.can_check_load:
                self._health_checks.check(endpoint)  # its utilization determines the excess

    def _evaluate_latency(self, endpoint: Endpoint, result: HealthCheckResult) -> None:
        """Evaluate the latency of a health check, if its result has a meaningful one."""
        latency_us = result.latency_us
        if result.status is AttemptStatus.OK:
            if _is_implausibly_fast(endpoint, latency_us):
                endpoint.latency_sample_count -= 1
                self._apply_latency_result(
                    endpoint, endpoint.best_latency_us * HUNG_LATENCY_FACTOR, is_slow=True
                )
                return
            _record_latency(endpoint, latency_us)
        elif result.status not in FAILURES_WITH_LATENCY or not endpoint.best_latency_us:
            return  # no response whose latency could be compared; the caller ejects the endpoint
        self._apply_latency_result(endpoint, latency_us, is_slow=_is_slow(endpoint, latency_us))

    def _apply_latency_result(self, endpoint: Endpoint, latency_us: int, *, is_slow: bool) -> None:
        """Check a slow endpoint again, or record a message delay if it was slow twice in a row.

        A response that is not slow ends a delay that is still valid.
        """
        if is_slow and not endpoint.was_last_check_slow:
            self._health_checks.check(endpoint)
        elif is_slow:
            slow_threshold_us = endpoint.best_latency_us * SLOW_LATENCY_FACTOR
            message_objective_us = self._active_settings.limits.message_objective_us
            self.record_message_delay(endpoint, message_objective_us * latency_us / slow_threshold_us)
        elif self._load.is_delayed(endpoint):
            self.record_message_delay(endpoint, NO_DELAY_US)
        endpoint.was_last_check_slow = is_slow


def _is_implausibly_fast(endpoint: Endpoint, latency_us: int) -> bool:
    """Return whether a response is so much faster than a reliable best that the endpoint must hang."""
    is_best_reliable = endpoint.latency_sample_count >= RELIABLE_SAMPLE_COUNT
    return is_best_reliable and latency_us < endpoint.best_latency_us * IMPLAUSIBLE_LATENCY_FACTOR


def _record_latency(endpoint: Endpoint, latency_us: int) -> None:
    """Record the latency of a response: it becomes the best latency, or confirms the best one."""
    endpoint.best_latency_us = min(endpoint.best_latency_us or latency_us, latency_us)
    endpoint.latency_sample_count = min(endpoint.latency_sample_count + 1, MAX_SAMPLE_COUNT)


def _is_slow(endpoint: Endpoint, latency_us: int) -> bool:
    """Return whether a latency is far above the endpoint's best."""
    best_us = endpoint.best_latency_us
    return latency_us > best_us * SLOW_LATENCY_FACTOR and latency_us > best_us + LATENCY_JITTER_US
