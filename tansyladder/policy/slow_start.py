"""Slow start: the capacity of an endpoint that is warming up, and a token bucket shared by all nodes.

An endpoint that has just started can take less than a warm one, and fails when it is overloaded. Its capacity
share grows linearly from the initial share to 1 over the slow start's duration S. Its full capacity is
estimated from its weight as a rate: CONNECTIONS_PER_WEIGHT x weight connections per S.

In any period of length D = overload_duration, all nodes together start at most B attempts at such an
endpoint. In D the endpoint tolerates N = overload_factor x its current capacity x D attempts. The budget
B = N + 2 sqrt(N) + 2 allows for random variation by two standard deviations of a Poisson count.

All nodes compute the same series of permits. Permits are issued at the rate (B - 1) / (2 D). Each is for one
node, for one use, and expires D after its issue. The permits used in a period of length D were therefore
issued in the 2 D before its end, and these are at most (B - 1) + 1 = B. N grows linearly with the capacity.
The rate is interpolated linearly as well, which issues fewer permits than the exact rate, as a square root is
concave. By age t the number of permits issued is the integral of the rate:

    (initial x t + (final - initial) x t^2 / (2 S)) / (2 D)

where initial and final are B - 1 at the start and at the end of slow start. Permit p is for the node with the
index (p - stable id of the endpoint) mod number of nodes, at most PERMIT_ROTATION_SIZE. Unused permits
expire, as they would otherwise add up until clients reach all nodes at once. A node knows neither which
permits the other nodes have used nor the true capacity of the endpoint.
"""

from __future__ import annotations

import math

from tansyladder.policy.active_settings import ActiveSettings
from tansyladder.policy.clock import Clock
from tansyladder.policy.endpoints import Endpoint

FULL_CAPACITY = 1.0
CONNECTIONS_PER_WEIGHT = 8.0  # at least so many connections fill one unit of an endpoint's weight
# Number of nodes that take turns. With more nodes, some share a permit, and only chance keeps their total
# within the budget.
PERMIT_ROTATION_SIZE = 30
# Standard deviations of a Poisson count by which the budget exceeds what an endpoint tolerates.
BUDGET_STANDARD_DEVIATIONS = 2
NO_PERMIT = 0  # permit numbers start at 1


def _permit_budget(tolerated_attempts: float) -> float:
    """Compute B - 1, the permits issued in 2 D, from the attempts that an endpoint tolerates in D."""
    return tolerated_attempts + BUDGET_STANDARD_DEVIATIONS * math.sqrt(tolerated_attempts) + 1


class SlowStart:
    """Limits what endpoints get while they are warming up."""

    def __init__(self, clock: Clock, active_settings: ActiveSettings) -> None:
        self._clock = clock
        self._active_settings = active_settings

    def capacity_share(self, endpoint: Endpoint) -> float:
        """Return the share of its full capacity that an endpoint has now; 1 if it is warm."""
        if not endpoint.ready_at:
            return FULL_CAPACITY
        settings = self._active_settings.settings
        age = self._clock.now - endpoint.ready_at
        duration = settings.slow_start_duration_us
        if not duration or age >= duration:
            return FULL_CAPACITY
        initial = settings.slow_start_initial_capacity
        return initial + (1 - initial) * max(0, age) / duration

    def is_warming_up(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint has not reached its full capacity yet."""
        return self.capacity_share(endpoint) < FULL_CAPACITY

    def permits_issued(self, endpoint: Endpoint, at: int) -> float:
        """Return how many permits for an endpoint were issued to all nodes by a given time (us).

        The result is the same at every node.
        """
        settings = self._active_settings.settings
        duration = settings.slow_start_duration_us
        overload_duration = settings.overload_duration_us
        full_attempts = (
            settings.overload_factor
            * CONNECTIONS_PER_WEIGHT
            * endpoint.start_weight
            / duration
            * overload_duration
        )
        initial_budget = _permit_budget(full_attempts * settings.slow_start_initial_capacity)
        final_budget = _permit_budget(full_attempts)
        age = max(0, at - endpoint.ready_at)
        return (initial_budget * age + (final_budget - initial_budget) * age * age / (2 * duration)) / (
            2 * overload_duration
        )

    def available_permit(self, endpoint: Endpoint) -> int:
        """Return the oldest permit for an endpoint that this node may use now, or 0 if there is none."""
        settings = self._active_settings.settings
        now = self._clock.now
        expired = int(self.permits_issued(endpoint, now - settings.overload_duration_us))
        oldest_permit = max(endpoint.last_permit, expired) + 1
        node_count = min(settings.node_count, PERMIT_ROTATION_SIZE)
        # The first permit from the oldest one on that is for this node.
        own_permit = oldest_permit + (endpoint.stable_id + settings.node_index - oldest_permit) % node_count
        return own_permit if own_permit <= self.permits_issued(endpoint, now) else NO_PERMIT

    def use_permit(self, endpoint: Endpoint) -> None:
        """Use up the available permit for an endpoint that is warming up; a warm endpoint needs none."""
        if self.is_warming_up(endpoint):
            endpoint.last_permit = self.available_permit(endpoint) or endpoint.last_permit
