"""How loaded endpoints are, by their load reports, late messages and what this node sent them."""

from tansyladder.policy.context import Context
from tansyladder.policy.records import Endpoint, EndpointPool, Request
from tansyladder.policy.slow_start import available_permit, capacity_share

ASSUMED_MEAN_UTILIZATION = 0.6  # of an endpoint that carries the mean load, where nobody reports
UTILIZATION_LIMIT = 0.75  # from which an endpoint takes nothing new: its messages are late already
MAX_GUESSED_UTILIZATION = 0.7  # of an endpoint that only health checks tell of, and nothing bad
POOL_REFRESHES_PER_DEADLINE = 32  # figures are cached, or each request of a burst computes them


def is_delayed(context: Context, endpoint: Endpoint) -> bool:
    """Whether messages at an endpoint are known to be late."""
    return context.now < endpoint.delay_valid_until and endpoint.message_delay_us > context.delay_limit_us


def is_utilization_known(context: Context, endpoint: Endpoint) -> bool:
    """Whether an endpoint's last load report is still of use."""
    age = context.now - endpoint.utilization_at
    return endpoint.utilization_at >= 0 and age < context.settings.slow_start_duration_us // 4


def pending_utilization(context: Context, endpoint: Endpoint) -> float:
    """The utilization by requests of this node that no report shows yet."""
    age = context.now - endpoint.pending_at
    return endpoint.pending_utilization * max(0.0, 1.0 - age / context.reaction_time_us)


def refresh_pool(context: Context, pool: EndpointPool) -> EndpointPool:
    """Compute a pool's figures anew where they are older than a part of the deadline."""
    max_age = context.reaction_time_us // POOL_REFRESHES_PER_DEADLINE
    if pool.refreshed_at >= 0 and context.now - pool.refreshed_at <= max_age:
        return pool
    endpoints = pool.endpoints
    pool.refreshed_at = context.now
    pool.warming_up = [e for e in endpoints if capacity_share(context, e) < 1.0]
    pool.capacity = sum(e.weight * capacity_share(context, e) for e in endpoints)
    pool.mean_load = sum(e.load for e in endpoints) / pool.capacity if pool.capacity else 0.0
    if context.utilization_column < 0:  # nobody reports: late messages are all that is known
        objective = context.message_objective_us
        delays = [e.message_delay_us / objective if is_delayed(context, e) else 0.0 for e in endpoints]
        known = [max(ASSUMED_MEAN_UTILIZATION, min(1.0, delay)) for delay in delays]
    else:
        known = [min(e.utilization, 1.0) for e in endpoints if is_utilization_known(context, e)]
    pool.mean_utilization = sum(known) / len(known) if known else ASSUMED_MEAN_UTILIZATION
    return pool


def selection_weight(context: Context, endpoint: Endpoint, pool: EndpointPool) -> float:
    """The weight of an endpoint in a random draw: its capacity thinned by its utilization; 0: it is full."""
    share = capacity_share(context, endpoint)
    if share < 1.0 and not available_permit(context, endpoint):
        return 0.0
    if is_utilization_known(context, endpoint):
        utilization = endpoint.utilization + pending_utilization(context, endpoint)
    else:
        relative_load = endpoint.load / (endpoint.weight * share) / pool.mean_load if pool.mean_load else 1.0
        utilization = pool.mean_utilization * relative_load
        if context.settings.health_check_interval_us and not endpoint.reports_delay:
            utilization = min(utilization, MAX_GUESSED_UTILIZATION)  # a guess ranks, but rejects nobody
    if context.now < endpoint.delay_valid_until:
        utilization = max(utilization, endpoint.message_delay_us / context.message_objective_us)
    return float(endpoint.weight * share * max(0.0, UTILIZATION_LIMIT - utilization) ** 2)


def record_assignment(context: Context, request: Request, endpoint: Endpoint, pool: EndpointPool) -> None:
    """Count a request until reports show it, so that a burst isn't all sent to the one last reported idle."""
    # Other nodes are taken to do as this one does, so its own mean load stands for the fleet's.
    mean_load = refresh_pool(context, pool).mean_load * endpoint.weight
    if pool.capacity:
        pool.mean_load += request.load / pool.capacity  # or a burst would find all endpoints over the mean
    added = ASSUMED_MEAN_UTILIZATION * request.load / max(mean_load, request.load)
    endpoint.pending_utilization = pending_utilization(context, endpoint) + added
    endpoint.pending_at = context.now


def record_load_report(context: Context, endpoint: Endpoint, report: tuple[float, ...]) -> None:
    """Take the utilization out of a load report, where it makes sense."""
    column = context.utilization_column
    if 0 <= column < len(report) and 0.0 <= report[column] < 1e6:  # a larger one makes no sense
        endpoint.utilization = report[column]
        endpoint.utilization_at = context.now
