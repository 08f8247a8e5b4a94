"""How often one of many nodes may call endpoints for health checks, and discovery."""

from __future__ import annotations

from datetime import timedelta

# Endpoints may report the delay of their messages in lines `LOAD X`. Some never do, although the settings say
# so, and they echo at once even while they are overloaded, so that the latency of lines doesn't show it.
# Health checks do, but they cost work at the endpoint, which gets them from all nodes: forty nodes that each
# checked once a second made endpoints so busy that they looked slow, were ejected and lost their connections.
# The interval therefore grows with the cluster, and the policy checks only endpoints that sent no report.
HEALTH_CHECK_INTERVAL = timedelta(seconds=1)  # of one node and one endpoint in a small cluster
# Between two health checks of one endpoint by any nodes.
ENDPOINT_HEALTH_CHECK_INTERVAL = timedelta(milliseconds=150)
# Delays change within seconds. A node that can check an endpoint only at longer intervals would rely on
# outdated results, and avoid endpoints that have recovered. It makes no health checks and uses its estimates,
# which reject more in that case.
LONGEST_HEALTH_CHECK_INTERVAL = timedelta(seconds=10)

# Discovery is one service that serves the calls of all nodes one by one, up to 0.2 s each on busy days.
# A call that waits for too long fails but costs its time: forty nodes that each retried within a second kept
# the service from answering any of them until the end of the day.
DISCOVERY_SERVICE_CALL_INTERVAL = timedelta(milliseconds=150)  # between two calls of any nodes
# The upper bound in a cluster of any size, so that nodes learn of changes in time.
LONGEST_DISCOVERY_CALL_INTERVAL = timedelta(seconds=15)

# In a large cluster no node has enough connections to an endpoint to detect in time that it is slow. The
# number of the home zone's own clients then determines when other zones get more requests. A unit of capacity
# is about one core, which is fully used by 18 to 37 connections according to the operators. Of 27, 18, 12 and
# 8, tried on recorded days, the lowest number had the best results: clients of other zones and the work of
# groups add to the load, and this node doesn't see them.
CONNECTIONS_PER_UNIT = 8.0
SMALL_CLUSTER_NODE_COUNT = 10  # up to this size health checks are frequent enough to detect slow endpoints


def health_check_interval(node_count: int) -> timedelta:
    """Return the interval between health checks of one endpoint by one of so many nodes; zero: no checks."""
    if node_count > LONGEST_HEALTH_CHECK_INTERVAL // ENDPOINT_HEALTH_CHECK_INTERVAL:
        return timedelta(0)
    return max(HEALTH_CHECK_INTERVAL, node_count * ENDPOINT_HEALTH_CHECK_INTERVAL)


def discovery_call_interval(node_count: int) -> timedelta:
    """Return the interval in which each of so many nodes may make one call."""
    most = LONGEST_DISCOVERY_CALL_INTERVAL // DISCOVERY_SERVICE_CALL_INTERVAL
    return min(node_count, most) * DISCOVERY_SERVICE_CALL_INTERVAL


def connections_per_unit(node_count: int) -> float:
    """Return the connections that use up a unit of capacity; 0 in a small cluster, which doesn't need it."""
    return CONNECTIONS_PER_UNIT if node_count > SMALL_CLUSTER_NODE_COUNT else 0.0
