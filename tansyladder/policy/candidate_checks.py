"""Health checks of a request's candidates before it is assigned, and how long the request waits for them.

If health checks return an endpoint's load, `CANDIDATE_COUNT` endpoints of the home zone are sampled (the
power of random choices). Each candidate that is warm and whose last load report is too old is checked. The
request waits for the results for at most

    min(latency objective, time left) / CHECK_WAIT_DIVISOR

How long an endpoint takes to answer is not known in advance. When the wait ends, the request is assigned by
the load known at that time.
"""

from __future__ import annotations

from tansyladder.policy.active_settings import ActiveSettings
from tansyladder.policy.clock import Clock
from tansyladder.policy.endpoint_sampling import EndpointSampler
from tansyladder.policy.endpoint_table import EndpointTable
from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.health_checks import HealthCheckScheduler
from tansyladder.policy.requests import Request
from tansyladder.policy.slow_start import SlowStart

CANDIDATE_COUNT = 3  # endpoints to check: if most endpoints have capacity, one of these very likely has it
REPORT_LIFETIMES_PER_REACTION_TIME = 2  # a load report older than half a reaction time is renewed by a check
CHECK_WAIT_DIVISOR = 4  # a request waits for at most a quarter of its time; the rest is for the attempt


class CandidateChecker:
    """Starts health checks of a request's candidates."""

    def __init__(
        self,
        *,
        clock: Clock,
        active_settings: ActiveSettings,
        endpoints: EndpointTable,
        sampler: EndpointSampler,
        slow_start: SlowStart,
        health_checks: HealthCheckScheduler,
    ) -> None:
        self._clock = clock
        self._active_settings = active_settings
        self._endpoints = endpoints
        self._sampler = sampler
        self._slow_start = slow_start
        self._health_checks = health_checks

    def check_candidates(self, request: Request) -> None:
        """Sample the candidates of a request, and check the warm ones whose load report is too old."""
        request.candidates = []
        request.pending_check_count = 0
        if not self._active_settings.limits.can_check_load:
            return
        request.candidates = self._sampler.sample(self._endpoints.home_zone, request, CANDIDATE_COUNT)
        for endpoint in request.candidates:
            if self._needs_check(endpoint):
                request.pending_check_count += 1
                endpoint.waiting_request_ids.append(request.id)
                self._health_checks.check(endpoint)

    def _needs_check(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is warm and its last load report is too old.

        An endpoint that is warming up needs no check, as slow-start permits limit what it gets.
        """
        max_age_us = self._active_settings.limits.reaction_time_us // REPORT_LIFETIMES_PER_REACTION_TIME
        is_old = self._clock.now - endpoint.utilization_at > max_age_us
        return is_old and not self._slow_start.is_warming_up(endpoint)

    def wait_ends_at(self, request: Request) -> int:
        """Return the time (us) at which a request stops waiting for health checks."""
        now = self._clock.now
        objective_us = self._active_settings.settings.classes[request.class_index].latency_objective_us
        time_left_us = max(0, request.deadline - now)
        return now + min(objective_us // CHECK_WAIT_DIVISOR, time_left_us // CHECK_WAIT_DIVISOR)
