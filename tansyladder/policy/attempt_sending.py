"""What an attempt adds to its endpoint's load, and when it times out.

    timeout = time left                                         for the last attempt, or with a shared cause
    timeout = max(time left / 2, min(objective, time left))     else

so that there is time for another attempt. With most set-ups failing all endpoints wait for the same thing
(`setup_failures`): a short timeout would only add attempts.

An attempt uses up a slow-start permit of an endpoint that is warming up, and counts as load there until
reports show it.
"""

from __future__ import annotations

from tansyladder.policy.action_sink import ActionSink
from tansyladder.policy.actions import StartAttempt
from tansyladder.policy.clock import Clock
from tansyladder.policy.endpoint_table import EndpointTable
from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.pool_load import PoolLoad
from tansyladder.policy.requests import Request
from tansyladder.policy.settings_in_force import SettingsInForce
from tansyladder.policy.setup_failures import SetupFailureRate
from tansyladder.policy.slow_start import SlowStart

TIMEOUT_DIVISOR = 2  # of the time left: an attempt takes half of it and leaves half for another one
MIN_TIMEOUT_US = 1  # 0 would be no timeout


class AttemptTimeouts:
    """Decides when attempts time out."""

    def __init__(self, clock: Clock, in_force: SettingsInForce, setup_failures: SetupFailureRate) -> None:
        self._clock = clock
        self._in_force = in_force
        self._setup_failures = setup_failures

    def timeout_us(self, request: Request) -> int:
        """Return the timeout of the next attempt, which leaves time for another one if there may be one."""
        settings = self._in_force.settings
        time_left_us = max(MIN_TIMEOUT_US, request.deadline - self._clock.now)
        is_last = request.attempt_count + 1 >= settings.max_attempts
        if is_last or self._setup_failures.is_cause_shared:
            return time_left_us
        objective_us = settings.classes[request.class_index].latency_objective_us
        return max(time_left_us // TIMEOUT_DIVISOR, min(objective_us, time_left_us))


class AttemptSender:
    """Starts attempts at endpoints that were selected."""

    def __init__(
        self,
        *,
        in_force: SettingsInForce,
        actions: ActionSink,
        endpoints: EndpointTable,
        slow_start: SlowStart,
        pool_load: PoolLoad,
        timeouts: AttemptTimeouts,
    ) -> None:
        self._in_force = in_force
        self._actions = actions
        self._endpoints = endpoints
        self._slow_start = slow_start
        self._pool_load = pool_load
        self._timeouts = timeouts

    def send(self, request: Request, endpoint: Endpoint) -> None:
        """Start an attempt at an endpoint, and count what it adds there."""
        timeout_us = self._timeouts.timeout_us(request)
        self._slow_start.use_permit(endpoint)
        is_home = endpoint.zone == self._in_force.settings.zone
        pool = self._endpoints.home_zone if is_home else self._endpoints.other_zones
        self._pool_load.record_assignment(pool, endpoint, request)
        request.start_attempt(endpoint)
        self._actions.emit(StartAttempt(request.id, endpoint.id, timeout_us))
