"""Slow start: the capacity of an endpoint that warms up, and a token bucket that all nodes share.

An endpoint that has just started takes less than a warm one and fails when it is overloaded. Its capacity
grows linearly over the slow start's duration S, from the initial share to 1.

In a span of D = overload_duration all nodes together start at most B attempts at such an endpoint. It
withstands N = overload_factor x its capacity x D; B = N + 2 sqrt(N) + 2 allows for chance by two standard
deviations of a Poisson count. All nodes compute the same series of permits, issued at the rate (B - 1) / (2
D), each for one node and one use within D. What is used in a span was issued in the 2 D before its end: (B
- 1) + 1 permits at most. N grows linearly with the capacity; the rate is interpolated linearly too, which
gives less, as a root is concave. By age t the permits issued are the integral of that rate:

    (first x t + (last - first) x t^2 / (2 S)) / (2 D)    where first, last = B - 1 at the start, at the end

Permit p is for the node (p - stable id of the endpoint) mod number of nodes. What is not used expires after
D, or unused permits would add up until clients come to all nodes at once. A node does not know which
permits the others used, nor the true capacity: that is estimated from the endpoint's weight.
"""

from __future__ import annotations

import math

from tansyladder.policy.clock import Clock
from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.settings_in_force import SettingsInForce

FULL_CAPACITY = 1.0
CONNECTIONS_PER_WEIGHT = 8.0  # that fill a unit of an endpoint's weight at least
PERMIT_ROTATION_SIZE = 30  # nodes that take turns; of more, some share a permit, and chance keeps the sum
# Standard deviations of a Poisson count that are allowed over what an endpoint withstands.
CHANCE_DEVIATIONS = 2
NO_PERMIT = 0  # permits are numbered from 1


def _permit_budget(withstood_attempts: float) -> float:
    """Compute B - 1, the permits in two spans, from the attempts that an endpoint withstands in one span."""
    return withstood_attempts + CHANCE_DEVIATIONS * math.sqrt(withstood_attempts) + 1


class SlowStart:
    """Decides what endpoints get while they warm up."""

    def __init__(self, clock: Clock, in_force: SettingsInForce) -> None:
        self._clock = clock
        self._in_force = in_force

    def capacity_share(self, endpoint: Endpoint) -> float:
        """Return the share of its capacity that an endpoint surely has by now; 1 when it is warm."""
        if not endpoint.ready_at:
            return FULL_CAPACITY
        settings = self._in_force.settings
        age = self._clock.now - endpoint.ready_at
        duration = settings.slow_start_duration_us
        if not duration or age >= duration:
            return FULL_CAPACITY
        initial = settings.slow_start_initial_capacity
        return initial + (1 - initial) * max(0, age) / duration

    def is_warming_up(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint does not have all of its capacity yet."""
        return self.capacity_share(endpoint) < FULL_CAPACITY

    def permits_issued(self, endpoint: Endpoint, until: int) -> float:
        """Return how many permits all nodes together have had for an endpoint by a moment, alike at each."""
        settings = self._in_force.settings
        duration = settings.slow_start_duration_us
        span = settings.overload_duration_us
        full = settings.overload_factor * CONNECTIONS_PER_WEIGHT * endpoint.start_weight / duration * span
        first = _permit_budget(full * settings.slow_start_initial_capacity)
        last = _permit_budget(full)
        age = max(0, until - endpoint.ready_at)
        return (first * age + (last - first) * age * age / (2 * duration)) / (2 * span)

    def available_permit(self, endpoint: Endpoint) -> int:
        """Return the oldest permit for an endpoint that this node may use now; 0: there is none."""
        settings = self._in_force.settings
        now = self._clock.now
        expired = int(self.permits_issued(endpoint, now - settings.overload_duration_us))
        oldest = max(endpoint.last_permit, expired) + 1
        node_count = min(settings.node_count, PERMIT_ROTATION_SIZE)
        own = oldest + (endpoint.stable_id + settings.node_index - oldest) % node_count  # its next turn
        return own if own <= self.permits_issued(endpoint, now) else NO_PERMIT

    def use_permit(self, endpoint: Endpoint) -> None:
        """Use up the available permit for an endpoint that is warming up; a warm one needs none."""
        if self.is_warming_up(endpoint):
            endpoint.last_permit = self.available_permit(endpoint) or endpoint.last_permit
