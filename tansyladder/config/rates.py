"""How often each node of a cluster may send health checks to endpoints, and calls to discovery."""

from __future__ import annotations

from datetime import timedelta

# Endpoints may report the delay of their messages in lines `LOAD X`. Some never do, although the settings say
# so. These echo lines at once even while they are overloaded, so the latency of lines doesn't show the
# overload. Health checks show it, but they cost work at the endpoint, which gets them from all nodes: forty
# nodes with one check per second each made endpoints so busy that they looked slow, were ejected and lost
# their connections. The interval therefore grows with the cluster, and the policy only checks endpoints that
# have sent no report.
HEALTH_CHECK_INTERVAL = timedelta(seconds=1)  # between checks of one endpoint by one node of a small cluster
# The shortest interval between two health checks of one endpoint by all nodes together.
ENDPOINT_HEALTH_CHECK_INTERVAL = timedelta(milliseconds=150)
# Delays change within seconds. With a longer interval, a node would rely on outdated results and avoid
# endpoints that have recovered. A node that would need one makes no health checks and uses its estimates,
# with which it rejects more requests.
MAX_HEALTH_CHECK_INTERVAL = timedelta(seconds=10)

# Discovery is a single service that serves the calls of all nodes one by one, and takes up to 0.2 s for each
# on busy days. A call that has waited for too long fails, but still takes this time: forty nodes that each
# retried within a second kept the service from answering any of them until the end of the day.
DISCOVERY_SERVICE_CALL_INTERVAL = timedelta(milliseconds=150)  # between two calls of all nodes together
# The maximum for a node of a cluster of any size, so that nodes learn of changes in time.
MAX_DISCOVERY_CALL_INTERVAL = timedelta(seconds=15)

# In a large cluster no node has enough connections to an endpoint to detect in time that it is slow. The
# number of clients of the home zone then determines when other zones get more requests. A unit of capacity is
# about one core, which 18 to 37 connections use fully according to the operators. The value is lower, as
# clients of other zones and the work of groups add load that this node doesn't see: of 27, 18, 12 and 8, the
# lowest had the best results on recorded days.
CONNECTIONS_PER_UNIT = 8.0
SMALL_CLUSTER_NODE_COUNT = 10  # health checks are frequent enough to detect slow endpoints up to this size


def health_check_interval(node_count: int) -> timedelta:
    """Return the interval between health checks of one endpoint by each node; zero for no checks."""
    if node_count > MAX_HEALTH_CHECK_INTERVAL // ENDPOINT_HEALTH_CHECK_INTERVAL:
        return timedelta(0)
    return max(HEALTH_CHECK_INTERVAL, node_count * ENDPOINT_HEALTH_CHECK_INTERVAL)


def discovery_call_interval(node_count: int) -> timedelta:
    """Return the interval in which each node may make one call to discovery."""
    max_multiple = MAX_DISCOVERY_CALL_INTERVAL // DISCOVERY_SERVICE_CALL_INTERVAL
    return min(node_count, max_multiple) * DISCOVERY_SERVICE_CALL_INTERVAL


def connections_per_unit(node_count: int) -> float:
    """Return the connections that fully use a unit of capacity; 0 in a small cluster, which needs none."""
    return CONNECTIONS_PER_UNIT if node_count > SMALL_CLUSTER_NODE_COUNT else 0.0
