"""The load of one endpoint, as far as this node knows it.

It comes from three sources, each of which is valid for a limited time:

- the utilization in the last load report, which is valid for a fraction of the slow start's duration;
- the message delay, reported by the endpoint or measured by this node, which is valid until it expires;
- the pending utilization: the expected utilization from this node's latest requests, which reports may not
  include yet. A new report does not reset it. It decays linearly: pending x (1 - age / reaction time), where
  the age is the time since the last request.

If messages at an endpoint are late, a share of its load is excess and is to be migrated:

- if its utilization was reported within the reaction time: 1 - TARGET_UTILIZATION / utilization if the
  utilization is over the target, else 0;
- otherwise: 1 - delay limit / message delay, at most MAX_GUESSED_EXCESS.

What other nodes have sent since the last report is not known.
"""

from __future__ import annotations

from tansyladder.policy.active_settings import ActiveSettings
from tansyladder.policy.clock import Clock
from tansyladder.policy.endpoints import NEVER, Endpoint

# A load report is valid for 1/4 of the slow start: in that time a load can change by 1/4 of full capacity.
REPORT_LIFETIMES_PER_SLOW_START = 4
TARGET_UTILIZATION = 0.75  # migrations lower the utilization of an overloaded endpoint to this value
MAX_GUESSED_EXCESS = 0.5  # share of an endpoint's load, if its utilization is not known
NO_DELAY = 0.0
MAX_REPORTED_UTILIZATION = 1e6  # exclusive; a larger value is invalid: a full endpoint reports 1


class EndpointLoad:
    """Tracks the utilization and the message delay of endpoints."""

    def __init__(self, clock: Clock, active_settings: ActiveSettings) -> None:
        self._clock = clock
        self._active_settings = active_settings

    def is_delayed(self, endpoint: Endpoint) -> bool:
        """Return whether messages at an endpoint are late, by a delay that is still valid."""
        if self._clock.now >= endpoint.delay_valid_until:
            return False
        return endpoint.message_delay_us > self._active_settings.limits.delay_limit_us

    def is_utilization_known(self, endpoint: Endpoint) -> bool:
        """Return whether the last load report of an endpoint is still valid."""
        reported_at = endpoint.utilization_at
        if reported_at < 0:
            return False
        lifetime = self._active_settings.settings.slow_start_duration_us // REPORT_LIFETIMES_PER_SLOW_START
        return self._clock.now - reported_at < lifetime

    def known_utilization(self, endpoint: Endpoint) -> float:
        """Return the last reported utilization plus the pending utilization."""
        return endpoint.utilization + self._pending_utilization(endpoint)

    def _pending_utilization(self, endpoint: Endpoint) -> float:
        """Return what is left of the pending utilization now."""
        age = self._clock.now - endpoint.pending_at
        return endpoint.pending_utilization * max(
            0.0, 1.0 - age / self._active_settings.limits.reaction_time_us
        )

    def add_pending_utilization(self, endpoint: Endpoint, added: float) -> None:
        """Add the expected utilization from a new request to the endpoint's pending utilization."""
        endpoint.pending_utilization = self._pending_utilization(endpoint) + added
        endpoint.pending_at = self._clock.now

    def relative_delay(self, endpoint: Endpoint) -> float:
        """Return the message delay as a multiple of the message objective; 0 if no delay is valid."""
        if self._clock.now >= endpoint.delay_valid_until:
            return NO_DELAY
        return endpoint.message_delay_us / self._active_settings.limits.message_objective_us

    def record_load_report(self, endpoint: Endpoint, report: tuple[float, ...]) -> None:
        """Record the utilization in a load report; ignore a value that is out of range."""
        column = self._active_settings.limits.utilization_column
        if 0 <= column < len(report) and 0.0 <= report[column] < MAX_REPORTED_UTILIZATION:
            endpoint.utilization = report[column]
            endpoint.utilization_at = self._clock.now

    def excess_share(self, endpoint: Endpoint) -> float:
        """Return the share of an endpoint's load to migrate; its messages must be late."""
        limits = self._active_settings.limits
        reported_at = endpoint.utilization_at
        if reported_at == NEVER or self._clock.now - reported_at >= limits.reaction_time_us:
            return min(MAX_GUESSED_EXCESS, 1.0 - limits.delay_limit_us / endpoint.message_delay_us)
        is_over_target = endpoint.utilization > TARGET_UTILIZATION
        return 1.0 - TARGET_UTILIZATION / endpoint.utilization if is_over_target else 0.0
