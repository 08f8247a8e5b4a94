"""When the health of an endpoint is checked.

A check starts on demand, if a decision needs the load of an endpoint. Periodic checks visit all endpoints in
turn, each once per configured interval. They start at a random time in the first interval, so that nodes that
start together do not check together. They skip endpoints that report delays themselves. An endpoint has at
most one check in flight. Checks by other nodes are not known, so the caller must configure an interval that
grows with the number of nodes.
"""

from __future__ import annotations

from random import Random

from tansyladder.policy.action_sink import ActionSink
from tansyladder.policy.actions import CheckHealth
from tansyladder.policy.active_settings import ActiveSettings
from tansyladder.policy.clock import Clock
from tansyladder.policy.endpoint_table import EndpointTable
from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.timers import TimerScheduler

MIN_CHECK_GAP_US = 50_000  # between periodic health checks of a node, however many endpoints are listed


class HealthCheckScheduler:
    """Starts health checks, on demand and periodically."""

    def __init__(
        self,
        *,
        clock: Clock,
        active_settings: ActiveSettings,
        rng: Random,
        actions: ActionSink,
        timers: TimerScheduler,
        endpoints: EndpointTable,
    ) -> None:
        self._clock = clock
        self._active_settings = active_settings
        self._rng = rng
        self._actions = actions
        self._timers = timers
        self._endpoints = endpoints

    def check(self, endpoint: Endpoint) -> None:
        """Start a health check of an endpoint, unless one is in flight."""
        if not endpoint.is_check_in_flight:
            endpoint.is_check_in_flight = True
            self._actions.emit(CheckHealth(endpoint.id))

    def start_periodic_checks(self) -> None:
        """Start periodic checks at a random time in the first interval, if they are configured."""
        settings = self._active_settings.settings
        interval = settings.health_check_interval_us
        if interval and settings.can_check_health:
            self._timers.schedule(self._clock.now + self._rng.randint(0, interval), self._check_next, 0)

    def _check_next(self, turn: int) -> None:
        """Check the endpoint whose turn it is, and schedule the next check."""
        ready = self._endpoints.home_zone.endpoints + self._endpoints.other_zones.endpoints
        if ready:
            endpoint = ready[turn % len(ready)]
            if not endpoint.reports_delay:
                self.check(endpoint)
        interval_us = self._active_settings.settings.health_check_interval_us
        gap_us = max(MIN_CHECK_GAP_US, interval_us // max(1, len(ready)))
        self._timers.schedule(self._clock.now + gap_us, self._check_next, turn + 1)
