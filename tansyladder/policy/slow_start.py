"""Slow start: what an endpoint gets while it warms up.

It takes N = overload_factor x its capacity x overload_duration requests in any span of overload_duration. All
nodes compute the same permits: (B - 1) / (2 overload_duration) in a unit of time, where B = N + 2 sqrt(N) + 2
allows for chance, each for one node and one use within overload_duration. So a span sees (B - 1) + 1 uses at
most, whichever nodes have requests. (B grows as the endpoint warms up, and a chord lies under a root.)
"""

import math

from tansyladder.policy.context import Context
from tansyladder.policy.records import Endpoint

CONNECTIONS_PER_WEIGHT = 8.0  # that fill a unit of an endpoint's weight at least
PERMIT_ROTATION_SIZE = 30  # nodes that take turns; of more, some share a permit, and chance keeps the sum


def capacity_share(context: Context, endpoint: Endpoint) -> float:
    """The share of its capacity that an endpoint surely has by now; 1 when it is warm."""
    age = context.now - endpoint.ready_at
    duration = context.settings.slow_start_duration_us
    if not endpoint.ready_at or not duration or age >= duration:
        return 1.0
    initial = context.settings.slow_start_initial_capacity
    return initial + (1 - initial) * max(0, age) / duration


def permits_issued(context: Context, endpoint: Endpoint, until: int) -> float:
    """How many permits all nodes together have had for an endpoint by a moment, the same at each."""
    settings = context.settings
    duration = settings.slow_start_duration_us
    span = settings.overload_duration_us
    full = settings.overload_factor * CONNECTIONS_PER_WEIGHT * endpoint.start_weight / duration * span
    first, last = (n + 2 * math.sqrt(n) + 1 for n in (full * settings.slow_start_initial_capacity, full))
    age = max(0, until - endpoint.ready_at)
    return (first * age + (last - first) * age * age / (2 * duration)) / (2 * span)


def available_permit(context: Context, endpoint: Endpoint) -> int:
    """The oldest permit for an endpoint that this node has and may use now; 0: it has none."""
    settings = context.settings
    expired = int(permits_issued(context, endpoint, context.now - settings.overload_duration_us))
    oldest = max(endpoint.last_permit, expired) + 1
    node_count = min(settings.node_count, PERMIT_ROTATION_SIZE)
    own = oldest + (endpoint.stable_id + settings.node_index - oldest) % node_count
    return own if own <= permits_issued(context, endpoint, context.now) else 0
