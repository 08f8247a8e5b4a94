"""Endpoint selection: a weighted random draw among available endpoints, the home zone first."""

import math

from tansyladder.policy.context import Context
from tansyladder.policy.endpoint_load import UTILIZATION_LIMIT, refresh_pool, selection_weight
from tansyladder.policy.events import EndpointState
from tansyladder.policy.records import HASH_MASK, Endpoint, EndpointPool, EndpointTable, Request, hash64
from tansyladder.policy.settings import DeduplicationScope, Idempotency
from tansyladder.policy.slow_start import capacity_share

SAMPLE_SIZE = 16  # endpoints looked at where no candidate has room, however large the fleet
GROUP_AFFINITY = 8.0  # how much sooner an endpoint is drawn that has connections of the same group


def select_endpoint(context: Context, table: EndpointTable, request: Request) -> Endpoint | None:
    """Select the endpoint for a request; None: no endpoint has room."""
    is_home_full = context.settings.connections_per_unit > 0 and _is_home_zone_full(context, table)
    for pool in (table.home_zone, table.other_zones):
        # Room of one in a pool over the limit is what the others' excess needs, or the pool is filled up
        # to where every message is late. Endpoints that warm up are the relief on its way, paced by permits.
        is_full = refresh_pool(context, pool).mean_utilization >= UTILIZATION_LIMIT
        found = _draw(context, pool.warming_up, pool, request)  # a permit is used: few requests meet one
        if not found and not is_full and not (is_home_full and pool is table.home_zone):
            found = _draw(context, request.candidates, pool, request) if pool is table.home_zone else None
            found = found or _draw(context, sample(context, pool, request), pool, request)
        if found:
            return found
    # That the home zone is full is a guess: it sends requests elsewhere, but rejects none.
    if not is_home_full or table.home_zone.mean_utilization >= UTILIZATION_LIMIT:
        return None
    return _draw(context, sample(context, table.home_zone, request), table.home_zone, request)


def _draw(context: Context, among: list[Endpoint], pool: EndpointPool, request: Request) -> Endpoint | None:
    """Draw by free capacity; where the request failed last comes after all others."""
    best = fallback = None
    best_score = math.inf
    for endpoint in among:
        if is_available(context, endpoint) and _may_execute_on(context, endpoint, request):
            has_group = request.group_key and request.group_key in endpoint.group_counts
            weight = selection_weight(context, endpoint, pool) * (GROUP_AFFINITY if has_group else 1.0)
            score = _draw_score(context, endpoint, request, weight) if weight > 0 else math.inf
            if endpoint is request.last_failed_endpoint and weight > 0:
                fallback = endpoint
            elif score < best_score:
                best = endpoint
                best_score = score
    return best or fallback


def _draw_score(context: Context, endpoint: Endpoint, request: Request, weight: float) -> float:
    # The least score wins, with odds by weight. Where nodes pass packets through it is a hash of the key, so
    # all nodes draw alike; for connections of a group, of its key, as each endpoint with any does its work.
    value = request.key if context.settings.pass_through and request.key else request.group_key
    return -math.log(_unit_hash(value, endpoint) if value else 1.0 - context.rng.random()) / weight


def _unit_hash(value: int, endpoint: Endpoint) -> float:
    return (hash64(value ^ endpoint.hash_seed) + 1) / (HASH_MASK + 2)


def sample(context: Context, pool: EndpointPool, request: Request, size: int = SAMPLE_SIZE) -> list[Endpoint]:
    """Some available endpoints of a pool: at random, or the first ones of the key's own order."""
    if context.settings.pass_through and request.key:
        available = [e for e in pool.endpoints if is_available(context, e)]
        return sorted(available, key=lambda e: (_draw_score(context, e, request, e.weight), e.id))[:size]
    drawn = context.rng.sample(pool.endpoints, min(4 * size, len(pool.endpoints)))  # some are not available
    return [e for e in drawn if is_available(context, e)][:size]


def is_available(context: Context, endpoint: Endpoint) -> bool:
    """Ready, not ejected, and with few attempts pending: one after an ejection, as it may still be down."""
    ejection = endpoint.ejection
    if endpoint.state is not EndpointState.READY or ejection.retry_at > context.now:
        return False
    return endpoint.pending_attempt_count < (1 if ejection.attempt else context.max_pending_attempts)


def _may_execute_on(context: Context, endpoint: Endpoint, request: Request) -> bool:
    """Whether a further attempt at an endpoint can have no second effect."""
    first = request.may_have_run_on
    terms = context.settings.classes[request.class_index]
    if first is None or terms.idempotency is Idempotency.IDEMPOTENT:
        return True
    age = context.now - request.may_have_run_at
    if terms.idempotency is Idempotency.NONE or age >= terms.deduplication_window_us:
        return False
    if terms.deduplication_scope is DeduplicationScope.CELL:
        return endpoint.cell == first.cell
    return terms.deduplication_scope is DeduplicationScope.ALL or endpoint.zone == first.zone


def _is_home_zone_full(context: Context, table: EndpointTable) -> bool:
    """Whether the connections of the home zone's nodes fill it, if all nodes have as many as this one."""
    zone_count = len({endpoint.zone for endpoint in table.by_id.values()})
    connection_count = sum(len(endpoint.connections) for endpoint in table.home_zone.endpoints)
    limit = UTILIZATION_LIMIT * context.settings.connections_per_unit * table.home_zone.capacity
    return 0 < limit < connection_count * context.settings.node_count / zone_count


def previous_endpoint(context: Context, table: EndpointTable, request: Request) -> Endpoint | None:
    """Where the connection of a midstream request most likely is: where any node would have drawn it."""
    serving = []
    for endpoint in table.by_id.values():
        is_recent = context.now - endpoint.state_changed_at < context.settings.drain_grace_us // 2
        is_draining = endpoint.state is EndpointState.DRAINING and is_recent
        is_up = is_draining or endpoint.state is EndpointState.READY
        if is_up and endpoint.zone == context.settings.zone and capacity_share(context, endpoint) >= 1.0:
            serving.append(endpoint)
    return min(serving, key=lambda e: -math.log(_unit_hash(request.key, e)) / e.weight, default=None)
