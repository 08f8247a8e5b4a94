"""Slow start: in a span D = overload_duration all nodes together start at most B attempts at an endpoint.

It withstands N = overload_factor x its capacity x D; B = N + 2 sqrt(N) + 2 allows for chance. All nodes
compute the same series of permits, issued at the rate (B - 1) / (2 D), each for one node and one use within
D. What is used in a span was issued in the 2 D before its end: (B - 1) + 1 permits at most. N grows linearly
with the capacity; the rate is interpolated linearly too, which gives less, as a root is concave.
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
    initial = full * settings.slow_start_initial_capacity
    first, last = (requests + 2 * math.sqrt(requests) + 1 for requests in (initial, full))
    age = max(0, until - endpoint.ready_at)  # the integral of a rate that grows linearly follows
    return (first * age + (last - first) * age * age / (2 * duration)) / (2 * span)


def available_permit(context: Context, endpoint: Endpoint) -> int:
    """The oldest permit for an endpoint that this node has and may use now; 0: it has none."""
    settings = context.settings
    expired = int(permits_issued(context, endpoint, context.now - settings.overload_duration_us))
    oldest = max(endpoint.last_permit, expired) + 1
    node_count = min(settings.node_count, PERMIT_ROTATION_SIZE)
    own = oldest + (endpoint.stable_id + settings.node_index - oldest) % node_count  # its next turn
    return own if own <= permits_issued(context, endpoint, context.now) else 0
