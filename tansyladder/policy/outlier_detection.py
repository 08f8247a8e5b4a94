"""Outlier detection: which endpoints are ejected because they fail or are slow.

- An attempt or a health check that ends in an error, in a timeout or without a connection ejects its
  endpoint. A health check that a full endpoint refuses does not: the endpoint answered.
- A message delay over the limit ejects the endpoint, and a part of its connections is migrated.
- Where an endpoint reports no delays, the latency of its health checks serves instead. An answer is slow when

      latency > best x SLOW_LATENCY_FACTOR  and  latency > best + LATENCY_JITTER_US

  where best is the lowest latency of its process. One slow answer may be chance and is checked again at once;
  a second one in a row counts as a message delay of
  message objective x latency / (best x SLOW_LATENCY_FACTOR).
- An answer far faster than a well-known best is taken for that of an endpoint that hangs: one that does no
  work has nothing that holds up the answer. As a new best it would make the endpoint look slow for good once
  it works again. Each such answer takes away one confirmation of the best, so that a best that was measured
  in a bad time is replaced in the end.

Causes are not known: a slow network path looks like a slow endpoint. How other nodes judge is not known
either.
"""

from __future__ import annotations

from tansyladder.policy.clock import Clock
from tansyladder.policy.ejection import Ejector
from tansyladder.policy.endpoint_load import EndpointLoad
from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.events import AttemptStatus, HealthCheckResult
from tansyladder.policy.health_checks import HealthCheckScheduler
from tansyladder.policy.overload_migration import OverloadMigration
from tansyladder.policy.settings_in_force import SettingsInForce

SLOW_LATENCY_FACTOR = 1.7  # of the best latency, from which an answer is slow: a fair load takes up to 1.3
LATENCY_JITTER_US = 3_000  # over the best that an answer may take by chance, where answers come quickly
IDLE_LATENCY_FACTOR = 0.5  # of the best, under which an answer comes from an endpoint that does no work
IDLE_COUNTED_AS = 2  # times the best: as slow as an answer far too late, as such an endpoint serves nobody
RELIABLE_SAMPLE_COUNT = 8  # answers that make a best so sure that one far under it is no better best
# Answers that are counted at most: three times as many too fast ones as make a best reliable replace it.
MAX_SAMPLE_COUNT = 4 * RELIABLE_SAMPLE_COUNT
NO_DELAY_US = 0.0
NOT_EJECTING_STATUSES = (AttemptStatus.OK, AttemptStatus.CANCELLED, AttemptStatus.NOT_ATTEMPTED)
EJECTING_STATUSES = tuple(status for status in AttemptStatus if status not in NOT_EJECTING_STATUSES)
TIMED_FAILURES = (AttemptStatus.ERROR, AttemptStatus.TIMEOUT)  # their latency is at least the answer's


class OutlierDetector:
    """Judges endpoints by attempts, health checks and message delays."""

    def __init__(
        self,
        *,
        clock: Clock,
        in_force: SettingsInForce,
        load: EndpointLoad,
        ejector: Ejector,
        health_checks: HealthCheckScheduler,
        migration: OverloadMigration,
    ) -> None:
        self._clock = clock
        self._in_force = in_force
        self._load = load
        self._ejector = ejector
        self._health_checks = health_checks
        self._migration = migration

    def judge_attempt_end(
        self, endpoint: Endpoint, status: AttemptStatus, load_report: tuple[float, ...]
    ) -> None:
        """Eject the endpoint of an attempt that failed, and record its load report."""
        if status in EJECTING_STATUSES:
            self._ejector.eject(endpoint)
        if load_report:
            self._load.record_load_report(endpoint, load_report)

    def judge_established(self, endpoint: Endpoint) -> None:
        """Make an endpoint where a connection was established fully available, unless it was late lately."""
        if endpoint.message_delay_at < self._clock.now - self._in_force.limits.reaction_time_us:
            endpoint.ejection.attempt = 0

    def judge_health_check(self, endpoint: Endpoint, result: HealthCheckResult) -> None:
        """Judge an endpoint by the latency, the status and the load report of a health check."""
        if self._in_force.settings.health_check_interval_us and not endpoint.reports_delay:
            self._judge_latency(endpoint, result)
        if result.status is AttemptStatus.OK:
            self._load.record_load_report(endpoint, result.load_report)
        elif result.status is not AttemptStatus.FULL:
            self._ejector.eject(endpoint)

    def record_message_delay(self, endpoint: Endpoint, delay_us: float) -> None:
        """Record how long messages take at an endpoint; where they are late, eject it and migrate."""
        limits = self._in_force.limits
        now = self._clock.now
        endpoint.message_delay_us = delay_us
        endpoint.message_delay_at = now
        # A report is repeated each second, a measurement only with the next health check.
        validity_us = limits.reaction_time_us if endpoint.reports_delay else limits.delay_validity_us
        endpoint.delay_valid_until = now + validity_us
        if delay_us > limits.delay_limit_us:
            self._ejector.eject(endpoint)
            if self._migration.schedule(endpoint) and limits.can_check_load:
                self._health_checks.check(endpoint)  # tells the utilization, by which the excess is known

    def _judge_latency(self, endpoint: Endpoint, result: HealthCheckResult) -> None:
        """Judge an endpoint by the latency of a health check, where the result has one to be judged."""
        latency_us = result.latency_us
        if result.status is AttemptStatus.OK:
            if _is_idle(endpoint, latency_us):
                endpoint.latency_sample_count -= 1
                self._conclude(endpoint, endpoint.best_latency_us * IDLE_COUNTED_AS, is_slow=True)
                return
            _record_latency(endpoint, latency_us)
        elif result.status not in TIMED_FAILURES or not endpoint.best_latency_us:
            return  # no answer to be timed; the ejection is enough
        self._conclude(endpoint, latency_us, is_slow=_is_slow(endpoint, latency_us))

    def _conclude(self, endpoint: Endpoint, latency_us: int, *, is_slow: bool) -> None:
        """Check a slow endpoint again, or take its messages for late where it was slow twice in a row."""
        if is_slow and not endpoint.is_suspect:
            self._health_checks.check(endpoint)
        elif is_slow:
            slow_from_us = endpoint.best_latency_us * SLOW_LATENCY_FACTOR
            message_objective_us = self._in_force.limits.message_objective_us
            self.record_message_delay(endpoint, message_objective_us * latency_us / slow_from_us)
        elif self._load.is_delayed(endpoint):
            self.record_message_delay(endpoint, NO_DELAY_US)
        endpoint.is_suspect = is_slow


def _is_idle(endpoint: Endpoint, latency_us: int) -> bool:
    """Whether an answer is so much faster than a well-known best that the endpoint does no work."""
    is_best_reliable = endpoint.latency_sample_count >= RELIABLE_SAMPLE_COUNT
    return is_best_reliable and latency_us < endpoint.best_latency_us * IDLE_LATENCY_FACTOR


def _record_latency(endpoint: Endpoint, latency_us: int) -> None:
    """Record the latency of an answer: it becomes the best one, or confirms that."""
    endpoint.best_latency_us = min(endpoint.best_latency_us or latency_us, latency_us)
    endpoint.latency_sample_count = min(endpoint.latency_sample_count + 1, MAX_SAMPLE_COUNT)


def _is_slow(endpoint: Endpoint, latency_us: int) -> bool:
    """Whether a latency is far over the endpoint's best."""
    best_us = endpoint.best_latency_us
    return latency_us > best_us * SLOW_LATENCY_FACTOR and latency_us > best_us + LATENCY_JITTER_US
