"""Outlier detection: health checks, and the ejection of endpoints that fail or are slow."""

from tansyladder.policy.context import Context
from tansyladder.policy.endpoint_load import is_delayed, record_load_report
from tansyladder.policy.events import AttemptStatus, HealthCheckResult
from tansyladder.policy.migration import schedule_migration
from tansyladder.policy.records import Endpoint, EndpointTable

MIN_CHECK_GAP_US = 50_000  # between a node's periodic health checks, however many endpoints are listed
SLOW_LATENCY_FACTOR = 1.7  # of the best latency, from which an answer is slow: a fair load takes up to 1.3
LATENCY_JITTER_US = 3_000  # over the best that an answer may take by chance, where answers come quickly
IDLE_LATENCY_FACTOR = 0.5  # of the best, under which an answer comes from an endpoint that does no work
RELIABLE_SAMPLE_COUNT = 8  # answers that make a best so sure that one far under it is no better best
NOT_EJECTING_STATUSES = {AttemptStatus.OK, AttemptStatus.CANCELLED, AttemptStatus.NOT_ATTEMPTED}
EJECTING_STATUSES = frozenset(AttemptStatus) - NOT_EJECTING_STATUSES


def eject(context: Context, endpoint: Endpoint) -> None:
    """Leave an endpoint out for an interval that doubles with each failure, then try it again."""
    if endpoint.ejection.retry_at <= context.now:
        endpoint.ejection.record_failure(context.now, context.reaction_time_us // 2, 4, context.rng)


def start_periodic_checks(context: Context, table: EndpointTable) -> None:
    """Check all endpoints in turn, from a random moment of the first interval on."""
    interval = context.settings.health_check_interval_us
    if interval and context.settings.can_check_health:
        context.schedule(context.now + context.rng.randint(0, interval), _check_next, context, table, 0)


def _check_next(context: Context, table: EndpointTable, turn: int) -> None:
    ready = table.home_zone.endpoints + table.other_zones.endpoints
    if ready and not ready[turn % len(ready)].reports_delay:
        context.check_health(ready[turn % len(ready)])
    gap = max(MIN_CHECK_GAP_US, context.settings.health_check_interval_us // max(1, len(ready)))
    context.schedule(context.now + gap, _check_next, context, table, turn + 1)


def judge_health_check(context: Context, endpoint: Endpoint, result: HealthCheckResult) -> None:
    """Judge an endpoint by the latency, the status and the load report of a health check."""
    if context.settings.health_check_interval_us and not endpoint.reports_delay:
        _judge_latency(context, endpoint, result)
    if result.status is AttemptStatus.OK:
        record_load_report(context, endpoint, result.load_report)
    elif result.status is not AttemptStatus.FULL:
        eject(context, endpoint)


def _judge_latency(context: Context, endpoint: Endpoint, result: HealthCheckResult) -> None:
    """Take an answer that is far slower than the endpoint's best, twice in a row, for late messages."""
    # So is one far sooner than ever: what hangs has no work that holds up the answer. Taken for a new best it
    # would make the endpoint look slow for good once it works again.
    latency = result.latency_us
    best = endpoint.best_latency_us
    is_ok = result.status is AttemptStatus.OK
    is_best_reliable = endpoint.latency_sample_count >= RELIABLE_SAMPLE_COUNT
    is_idle = is_ok and is_best_reliable and latency < best * IDLE_LATENCY_FACTOR
    if is_idle:
        endpoint.latency_sample_count -= 1  # unless it goes on: then the best was measured in a bad time
        latency = best * 2
    elif is_ok:
        best = endpoint.best_latency_us = min(best or latency, latency)
        endpoint.latency_sample_count = min(endpoint.latency_sample_count + 1, RELIABLE_SAMPLE_COUNT * 4)
    elif result.status not in (AttemptStatus.ERROR, AttemptStatus.TIMEOUT) or not best:
        return  # no answer to be timed; the ejection is enough
    slow_from = best * SLOW_LATENCY_FACTOR
    is_slow = is_idle or (latency > slow_from and latency > best + LATENCY_JITTER_US)
    if is_slow and not endpoint.is_suspect:
        context.check_health(endpoint)  # once may be chance
    elif is_slow:
        record_message_delay(context, endpoint, context.message_objective_us * latency / slow_from)
    elif is_delayed(context, endpoint):
        record_message_delay(context, endpoint, 0)
    endpoint.is_suspect = is_slow


def record_message_delay(context: Context, endpoint: Endpoint, delay_us: float) -> None:
    """Take down how long messages take at an endpoint; where they are late, eject it and migrate."""
    endpoint.message_delay_us = delay_us
    endpoint.message_delay_at = context.now
    validity = context.reaction_time_us if endpoint.reports_delay else context.delay_validity_us
    endpoint.delay_valid_until = context.now + validity
    if delay_us > context.delay_limit_us:
        eject(context, endpoint)
        schedule_migration(context, endpoint)
