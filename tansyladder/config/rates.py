"""How often a node may call what all nodes share: endpoints for health checks, and discovery."""

from __future__ import annotations

from datetime import timedelta

# Endpoints may report in lines `LOAD X` how late their messages are; some never do, though the settings
# promise it, and echo at once even while they are far behind, so timing the lines shows nothing. Checks show
# it, but each takes work at its endpoint, which gets them from all nodes: forty nodes that each checked
# once a second kept endpoints so busy that they looked slow, were ejected and lost their connections. So the
# interval is the cluster's, and the policy checks only endpoints that have sent no report.
HEALTH_CHECK_INTERVAL = timedelta(seconds=1)  # of a node for each endpoint, where there are few nodes
# Between two checks of an endpoint, from whichever node.
ENDPOINT_HEALTH_CHECK_INTERVAL = timedelta(milliseconds=150)
# Delays come and go within seconds. Where a node's turn at an endpoint comes more rarely than this, its last
# result is of long ago: kept until the next turn it would keep sound endpoints out. So it checks none, and
# goes by its estimates, which reject then.
LONGEST_HEALTH_CHECK_INTERVAL = timedelta(seconds=10)

# Discovery is one service that takes the calls of all nodes one after another, up to 0.2 s each on busy days.
# Calls that wait too long there fail, but have cost it their time: forty nodes that each tried again within a
# second kept it from answering anybody, for as long as the day went on.
DISCOVERY_SERVICE_CALL_INTERVAL = timedelta(milliseconds=150)  # between two calls to it, from whichever node
# However many nodes there are said to be: changes have to be known in time.
LONGEST_DISCOVERY_CALL_INTERVAL = timedelta(seconds=15)

# Of many nodes none sees enough of an endpoint to find it slow in time, so the home zone's own clients tell
# when other zones should take more. A unit of capacity is about a core, which 18 to 37 connections fill, say
# the operators. Tried on recorded days were 27, 18, 12 and 8; the fewest did best: other zones' clients and
# the work of groups come on top and are not seen here.
CONNECTIONS_PER_UNIT = 8.0
SMALL_CLUSTER_NODE_COUNT = 10  # up to so many nodes, health checks are frequent enough to tell


def health_check_interval(node_count: int) -> timedelta:
    """Between two checks of one endpoint from one of so many nodes; zero: too many to learn from them."""
    if node_count > LONGEST_HEALTH_CHECK_INTERVAL // ENDPOINT_HEALTH_CHECK_INTERVAL:
        return timedelta(0)
    return max(HEALTH_CHECK_INTERVAL, node_count * ENDPOINT_HEALTH_CHECK_INTERVAL)


def discovery_call_interval(node_count: int) -> timedelta:
    """The interval that all of so many nodes need for one call each."""
    most = LONGEST_DISCOVERY_CALL_INTERVAL // DISCOVERY_SERVICE_CALL_INTERVAL
    return min(node_count, most) * DISCOVERY_SERVICE_CALL_INTERVAL


def connections_per_unit(node_count: int) -> float:
    """Connections that fill a unit of capacity, where there are many nodes; 0: the policy does not use it."""
    return CONNECTIONS_PER_UNIT if node_count > SMALL_CLUSTER_NODE_COUNT else 0.0
