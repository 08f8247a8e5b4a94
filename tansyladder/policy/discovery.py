"""Discovery: keeps the table of endpoints up to date, and decides when to poll for changes."""

from tansyladder.policy import migration, outlier_detection
from tansyladder.policy.actions import PollDiscovery
from tansyladder.policy.context import Context
from tansyladder.policy.events import EndpointListUpdate, EndpointState, EndpointUpdate, ListUpdateKind
from tansyladder.policy.records import Endpoint, EndpointTable

MAX_LIST_AGE_US = 6_000_000  # after which a node counts as told of a change, whatever its calls met
FIRST_POLL_SPEEDUP = 6  # times sooner than at the pace of calls; polls after failures keep to the pace


def handle_list_update(context: Context, table: EndpointTable, event: EndpointListUpdate) -> None:
    """Apply a list or changes of it; after a failed call, poll again later."""
    if event.kind is ListUpdateKind.FAILED:
        _poll_later(context, table)
        return
    if event.kind is not ListUpdateKind.DELTA:
        listed = {update.endpoint_id for update in event.endpoints}
        for endpoint in table.by_id.values():
            if endpoint.id not in listed:
                _change_state(context, endpoint, EndpointState.GONE)
    for update in event.endpoints:
        _apply_update(context, table, update)
    ready = sorted((e for e in table.by_id.values() if e.state is EndpointState.READY), key=lambda e: e.id)
    table.home_zone.replace([e for e in ready if e.zone == context.settings.zone])
    table.other_zones.replace([e for e in ready if e.zone != context.settings.zone])
    if event.kind is ListUpdateKind.CACHED:
        outlier_detection.start_periodic_checks(context, table)
        _start_polling(context, table)


def _apply_update(context: Context, table: EndpointTable, update: EndpointUpdate) -> None:
    # An absurd weight must not draw all traffic, nor fail a division.
    weight = update.weight if context.settings.has_weights and 0 < update.weight < 1e6 else 1.0
    endpoint = table.by_id.get(update.endpoint_id)
    if endpoint is None:
        endpoint = table.by_id[update.endpoint_id] = Endpoint(update, weight, context.now)
    elif update.ready_at_us > endpoint.ready_at:
        endpoint.restart(update.ready_at_us, weight)
    _change_state(context, endpoint, update.state)
    endpoint.update(update, weight)


def _change_state(context: Context, endpoint: Endpoint, state: EndpointState) -> None:
    if endpoint.state is not state:
        endpoint.state = state
        endpoint.state_changed_at = context.now
        migration.drain(context, endpoint)


def _start_polling(context: Context, table: EndpointTable) -> None:
    if context.settings.polls_discovery:
        # All nodes may start together: first polls are spread, or the list's one service chokes. But soon:
        # until then a node that comes back takes endpoints that started meanwhile for warm.
        spread = context.settings.discovery_call_interval_us // FIRST_POLL_SPEEDUP
        delay = context.rng.randint(0, spread or context.settings.poll_interval_us * 3 // 4)
        context.schedule(context.now + delay, _poll, context, table)


def _poll_later(context: Context, table: EndpointTable) -> None:
    if not table.is_poll_scheduled:
        table.is_poll_scheduled = True
        # Two intervals and a call are within the list's age. They don't start shorter: where the calls of all
        # nodes fail for their number, that keeps them failing.
        slot = min(MAX_LIST_AGE_US, context.settings.poll_interval_us) // 6
        table.poll_backoff.record_failure(context.now, slot, 1, context.rng)
        context.schedule(table.poll_backoff.retry_at, _poll, context, table)


def _poll(context: Context, table: EndpointTable) -> None:
    table.is_poll_scheduled = False
    context.actions.append(PollDiscovery(True))
