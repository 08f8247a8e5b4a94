"""What is known of the load of one endpoint, and for how long it counts.

From three sources, each with its age:

- the utilization in the last load report, which counts for a part of the slow start's duration;
- the delay of messages, reported by the endpoint or measured by this node, which counts until it expires;
- the pending utilization: what requests of this node add until reports show it. It decays linearly over the
  reaction time: pending x (1 - age / reaction time).

An endpoint whose messages are late has an excess share of its load, which is to be migrated:

- utilization reported within the reaction time: 1 - TARGET_UTILIZATION / utilization, where it is over the
  target;
- else: 1 - delay limit / message delay, at most MAX_GUESSED_EXCESS.

What other nodes have sent since the last report is not known.
"""

from __future__ import annotations

from tansyladder.policy.clock import Clock
from tansyladder.policy.endpoints import NEVER, Endpoint
from tansyladder.policy.settings_in_force import SettingsInForce

# A report counts for this part of the slow start: in that time an endpoint's load can change by as much.
REPORT_LIFETIMES_PER_SLOW_START = 4
TARGET_UTILIZATION = 0.75  # that migrations bring an overloaded endpoint down to
MAX_GUESSED_EXCESS = 0.5  # of an endpoint's load, where its utilization is unknown
NO_DELAY = 0.0
MAX_REPORTED_UTILIZATION = 1e6  # a larger one makes no sense: full is 1


class EndpointLoad:
    """Knows the utilization and the message delay of endpoints."""

    def __init__(self, clock: Clock, in_force: SettingsInForce) -> None:
        self._clock = clock
        self._in_force = in_force

    def is_delayed(self, endpoint: Endpoint) -> bool:
        """Whether messages at an endpoint are known to be late."""
        if self._clock.now >= endpoint.delay_valid_until:
            return False
        return endpoint.message_delay_us > self._in_force.limits.delay_limit_us

    def is_utilization_known(self, endpoint: Endpoint) -> bool:
        """Whether the last load report of an endpoint still counts."""
        reported_at = endpoint.utilization_at
        if reported_at < 0:
            return False
        lifetime = self._in_force.settings.slow_start_duration_us // REPORT_LIFETIMES_PER_SLOW_START
        return self._clock.now - reported_at < lifetime

    def known_utilization(self, endpoint: Endpoint) -> float:
        """Return the utilization by the last load report and by the requests that it does not show yet."""
        return endpoint.utilization + self._pending_utilization(endpoint)

    def _pending_utilization(self, endpoint: Endpoint) -> float:
        """Return what requests of this node add to the utilization that no report shows yet."""
        age = self._clock.now - endpoint.pending_at
        return endpoint.pending_utilization * max(0.0, 1.0 - age / self._in_force.limits.reaction_time_us)

    def add_pending_utilization(self, endpoint: Endpoint, added: float) -> None:
        """Add what a request of this node is going to add to an endpoint's utilization."""
        endpoint.pending_utilization = self._pending_utilization(endpoint) + added
        endpoint.pending_at = self._clock.now

    def relative_delay(self, endpoint: Endpoint) -> float:
        """Return the message delay of an endpoint as a multiple of the objective; 0 where none counts."""
        if self._clock.now >= endpoint.delay_valid_until:
            return NO_DELAY
        return endpoint.message_delay_us / self._in_force.limits.message_objective_us

    def record_load_report(self, endpoint: Endpoint, report: tuple[float, ...]) -> None:
        """Record the utilization in a load report; one that makes no sense is ignored."""
        column = self._in_force.limits.utilization_column
        if 0 <= column < len(report) and 0.0 <= report[column] < MAX_REPORTED_UTILIZATION:
            endpoint.utilization = report[column]
            endpoint.utilization_at = self._clock.now

    def excess_share(self, endpoint: Endpoint) -> float:
        """Return the share of the load that is too much, of an endpoint whose messages are late."""
        limits = self._in_force.limits
        reported_at = endpoint.utilization_at
        if reported_at == NEVER or self._clock.now - reported_at >= limits.reaction_time_us:
            return min(MAX_GUESSED_EXCESS, 1.0 - limits.delay_limit_us / endpoint.message_delay_us)
        is_over_target = endpoint.utilization > TARGET_UTILIZATION
        return 1.0 - TARGET_UTILIZATION / endpoint.utilization if is_over_target else 0.0
