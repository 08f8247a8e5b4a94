"""Sending an attempt: its timeout, and the load that it adds to its endpoint.

    timeout = time left                                         for the last attempt, or if set-ups fail
                                                                for a shared cause
    timeout = max(time left / 2, min(objective, time left))     otherwise

where the time left ends at the request's deadline, and the objective is the latency objective of its class.
An attempt that is not the last one leaves time for another. If most set-ups fail, all endpoints wait for the
same cause (`setup_failures`), and a short timeout would only add attempts.

The request is sent when the connection to the endpoint has come up, and what allowed the attempt may have
changed by then. So a request that may have been executed is sent only before the end of its deduplication
window (`retry_safety`), and no request to an endpoint that has begun to drain (`may_send_to`).

An attempt uses up a slow-start permit if its endpoint is warming up. Its expected load is added to that of
the endpoint, as load reports include it only later (`endpoint_load`).
"""

from __future__ import annotations

from tansyladder.policy.action_sink import ActionSink
from tansyladder.policy.actions import StartAttempt
from tansyladder.policy.active_settings import ActiveSettings
from tansyladder.policy.clock import Clock
from tansyladder.policy.endpoint_table import EndpointTable
from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.events import EndpointState
from tansyladder.policy.pool_load import PoolLoad
from tansyladder.policy.requests import Request
from tansyladder.policy.retry_safety import send_deadline
from tansyladder.policy.setup_failures import SetupFailureRate
from tansyladder.policy.slow_start import SlowStart

TIMEOUT_DIVISOR = 2  # divides the time left: half for this attempt, half for another one
MIN_TIMEOUT_US = 1  # 0 would mean no timeout


def may_send_to(endpoint: Endpoint) -> bool:
    """Return whether a new request may be sent to an endpoint to which a connection was opened for it."""
    return endpoint.state is EndpointState.READY


class AttemptTimeouts:
    """Computes the timeouts of attempts."""

    def __init__(
        self, clock: Clock, active_settings: ActiveSettings, setup_failures: SetupFailureRate
    ) -> None:
        self._clock = clock
        self._active_settings = active_settings
        self._setup_failures = setup_failures

    def timeout_us(self, request: Request) -> int:
        """Return the timeout of the next attempt; it leaves time for another attempt if one is allowed."""
        settings = self._active_settings.settings
        time_left_us = max(MIN_TIMEOUT_US, request.deadline - self._clock.now)
        is_last = request.attempt_count + 1 >= settings.max_attempts
        if is_last or self._setup_failures.has_shared_cause:
            return time_left_us
        objective_us = settings.classes[request.class_index].latency_objective_us
        return max(time_left_us // TIMEOUT_DIVISOR, min(objective_us, time_left_us))


class AttemptSender:
    """Starts attempts at selected endpoints."""

    def __init__(
        self,
        *,
        active_settings: ActiveSettings,
        actions: ActionSink,
        endpoints: EndpointTable,
        slow_start: SlowStart,
        pool_load: PoolLoad,
        timeouts: AttemptTimeouts,
    ) -> None:
        self._active_settings = active_settings
        self._actions = actions
        self._endpoints = endpoints
        self._slow_start = slow_start
        self._pool_load = pool_load
        self._timeouts = timeouts

    def send(self, request: Request, endpoint: Endpoint) -> None:
        """Start an attempt at an endpoint, and add the expected load to the endpoint and its pool."""
        settings = self._active_settings.settings
        timeout_us = self._timeouts.timeout_us(request)
        send_by_us = send_deadline(settings.classes[request.class_index], request.first_sent_at)
        self._slow_start.use_permit(endpoint)
        is_home = endpoint.zone == settings.zone
        pool = self._endpoints.home_zone if is_home else self._endpoints.other_zones
        self._pool_load.record_assignment(pool, endpoint, request)
        request.start_attempt(endpoint)
        self._actions.emit(StartAttempt(request.id, endpoint.id, timeout_us, send_by_us))
