"""Which endpoints are checked before a request gets one, and how long it waits for that.

Where a health check tells an endpoint's load, `CANDIDATE_COUNT` endpoints of the home zone are sampled (the
power of random choices), and the warm ones whose last report is too old are checked. The request waits for
the answers, but no longer than

    min(latency objective, time left) / CHECK_WAIT_DIVISOR

How long an endpoint takes to answer is not known; a request whose wait has ended is assigned by what is
known.
"""

from __future__ import annotations

from tansyladder.policy.clock import Clock
from tansyladder.policy.endpoint_sampling import EndpointSampler
from tansyladder.policy.endpoint_table import EndpointTable
from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.health_checks import HealthCheckScheduler
from tansyladder.policy.requests import Request
from tansyladder.policy.settings_in_force import SettingsInForce
from tansyladder.policy.slow_start import SlowStart

CANDIDATE_COUNT = 3  # endpoints whose load is looked at first: one of them has capacity when most have
REPORT_LIFETIMES_PER_REACTION = 2  # in a reaction time: an older report is asked for again
CHECK_WAIT_DIVISOR = 4  # a request waits a quarter of its time at most: the rest is for the attempt


class CandidateChecker:
    """Has the load of a request's candidates checked."""

    def __init__(
        self,
        *,
        clock: Clock,
        in_force: SettingsInForce,
        endpoints: EndpointTable,
        sampler: EndpointSampler,
        slow_start: SlowStart,
        health_checks: HealthCheckScheduler,
    ) -> None:
        self._clock = clock
        self._in_force = in_force
        self._endpoints = endpoints
        self._sampler = sampler
        self._slow_start = slow_start
        self._health_checks = health_checks

    def check_candidates(self, request: Request) -> None:
        """Sample the candidates of a request, and check those whose load is not known."""
        request.candidates = []
        request.pending_check_count = 0
        if not self._in_force.limits.can_check_load:
            return
        request.candidates = self._sampler.sample(self._endpoints.home_zone, request, CANDIDATE_COUNT)
        for endpoint in request.candidates:
            if self._needs_check(endpoint):
                request.pending_check_count += 1
                endpoint.waiting_request_ids.append(request.id)
                self._health_checks.check(endpoint)

    def _needs_check(self, endpoint: Endpoint) -> bool:
        """Whether the last load report of a warm endpoint is too old; permits pace one that is warming up."""
        max_age_us = self._in_force.limits.reaction_time_us // REPORT_LIFETIMES_PER_REACTION
        is_old = self._clock.now - endpoint.utilization_at > max_age_us
        return is_old and not self._slow_start.is_warming_up(endpoint)

    def wait_ends_at(self, request: Request) -> int:
        """Return the moment (us) at which a request no longer waits for health checks."""
        now = self._clock.now
        objective_us = self._in_force.settings.classes[request.class_index].latency_objective_us
        time_left_us = max(0, request.deadline - now)
        return now + min(objective_us // CHECK_WAIT_DIVISOR, time_left_us // CHECK_WAIT_DIVISOR)
