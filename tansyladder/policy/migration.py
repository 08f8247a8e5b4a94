"""Connection migration: off endpoints that are overloaded, and off those that leave."""

import math

from tansyladder.policy.actions import Migrate
from tansyladder.policy.context import SHARED_FAILURE_RATE, Context
from tansyladder.policy.endpoint_load import is_delayed
from tansyladder.policy.events import EndpointState
from tansyladder.policy.records import Endpoint, Request, RequestState

TARGET_UTILIZATION = 0.75  # that migrations bring an overloaded endpoint down to
MAX_GUESSED_EXCESS = 0.5  # of an endpoint's load, where its utilization is unknown


def schedule_migration(context: Context, endpoint: Endpoint) -> None:
    """Migrate a part of the connections of an endpoint whose messages are late, paced like retries."""
    if not endpoint.is_migration_scheduled and endpoint.connections:
        endpoint.is_migration_scheduled = True
        backoff = endpoint.migration_backoff
        backoff.record_failure(context.now, context.reaction_time_us // 4, 3, context.rng)
        context.schedule(backoff.retry_at, _migrate_excess_load, context, endpoint)
        if context.can_check_load:
            context.check_health(endpoint)


def _migrate_excess_load(context: Context, endpoint: Endpoint) -> None:
    endpoint.is_migration_scheduled = False
    if context.setup_failure_rate >= SHARED_FAILURE_RATE:
        return  # clients that migrate would get no new connection
    backoff = endpoint.migration_backoff
    if not is_delayed(context, endpoint):
        backoff.attempt = 0
        return
    # The next migration waits until this one can show, or the lag of reports empties the endpoint.
    backoff.interval_end = max(backoff.interval_end, context.now + context.reaction_time_us)
    # The lowest priority goes first: where nothing has room, it is rejected when it reconnects.
    excess = _excess_share(context, endpoint) * endpoint.load  # a few heavy connections may be most of it
    established = [r for r in endpoint.connections.values() if r.state is RequestState.ESTABLISHED]
    for request in sorted(established, key=lambda r: (_priority_per_load(context, r), r.id)):
        if excess < request.load * context.rng.random():
            break
        excess -= request.load
        request.close()
        context.actions.append(Migrate(request.id))


def _excess_share(context: Context, endpoint: Endpoint) -> float:
    if endpoint.utilization_at < 0 or context.now - endpoint.utilization_at >= context.reaction_time_us:
        return min(MAX_GUESSED_EXCESS, 1.0 - context.delay_limit_us / endpoint.message_delay_us)
    is_over_target = endpoint.utilization > TARGET_UTILIZATION
    return 1.0 - TARGET_UTILIZATION / endpoint.utilization if is_over_target else 0.0


def _priority_per_load(context: Context, request: Request) -> float:
    settings = context.settings
    by_load = 1.0 if settings.weight_scales_with_load else 1.0 / max(request.load, 1.0)
    priority = settings.classes[request.class_index].priority_weight * by_load
    quotas = settings.tenant_quotas
    quota = quotas[request.tenant] if request.tenant < len(quotas) else math.inf
    is_over_quota = context.connections_by_tenant[request.tenant] * settings.node_count > quota
    return priority * settings.over_quota_weight if is_over_quota else priority


def drain(context: Context, endpoint: Endpoint) -> None:
    """Migrate the connections of an endpoint that leaves, each at a random moment before it does."""
    if endpoint.state is not EndpointState.READY:
        for request in endpoint.connections.values():
            due_at = context.now + context.rng.randint(0, context.settings.drain_grace_us)
            context.schedule(due_at, _migrate_if_leaving, context, request)


def _migrate_if_leaving(context: Context, request: Request) -> None:
    is_leaving = request.endpoint and request.endpoint.state is not EndpointState.READY
    if is_leaving and request.state is RequestState.ESTABLISHED:
        request.close()
        context.actions.append(Migrate(request.id))
