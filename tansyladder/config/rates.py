"""How often a node may call what all nodes share: endpoints for health checks, and discovery."""

from __future__ import annotations

from datetime import timedelta

# Members may tell in lines `LOAD X` how late their messages are; some never do, though the settings promise
# it, and echo at once even while they are far behind, so timing the lines shows nothing. Probes show it, but
# each takes work at its member, which hears them from all nodes: forty nodes that each asked once a second
# kept members so busy that they looked slow, were marked and lost their connections. So the pace is the
# fleet's, and the module asks only who has sent no note.
HEALTH_CHECK_INTERVAL = timedelta(seconds=1)  # of a node for each member, where there are few nodes
ENDPOINT_HEALTH_CHECK_INTERVAL = timedelta(
    milliseconds=150
)  # between two probes of a member, from whichever node
# Lateness comes and goes within seconds. Where a node's turn at a member comes more rarely than this, what it
# heard is of long ago: kept until the next turn it keeps sound members out. So it does not ask, and goes by
# its guesses, which refuse then.
LONGEST_HEALTH_CHECK_INTERVAL = timedelta(seconds=10)


def health_check_interval(node_count: int) -> timedelta:
    """Between two probes of one member from one of so many nodes; zero: of more than can learn from them."""
    if node_count > LONGEST_HEALTH_CHECK_INTERVAL // ENDPOINT_HEALTH_CHECK_INTERVAL:
        return timedelta(0)
    return max(HEALTH_CHECK_INTERVAL, node_count * ENDPOINT_HEALTH_CHECK_INTERVAL)


# Discovery is one service that takes the calls of all nodes one after another, up to 0.2 s each on busy days.
# Calls that wait too long there fail, but have cost it their time: forty nodes that each tried again within a
# second kept it from answering anybody, for as long as the day went on.
DISCOVERY_SERVICE_CALL_INTERVAL = timedelta(milliseconds=150)  # between two calls to it, from whichever node
LONGEST_DISCOVERY_CALL_INTERVAL = timedelta(
    seconds=15
)  # however many nodes there are said to be: changes have to be heard

# Of many nodes none sees enough of a member to find it late in time, so the home zone's own clients tell when
# others should take more. A unit of size is about a core, which 18 to 37 connections fill, say the operators.
# Tried on the fleet's days were 27, 18, 12 and 8; the fewest did best: other zones' clients and the work of
# groups come on top and are not seen here.
CONNECTIONS_PER_UNIT = 8.0
SMALL_CLUSTER_NODE_COUNT = 10  # up to so many, probes are frequent enough to tell


def discovery_call_interval(node_count: int) -> timedelta:
    """The interval that all of so many nodes need for one call each."""
    most = LONGEST_DISCOVERY_CALL_INTERVAL // DISCOVERY_SERVICE_CALL_INTERVAL
    return min(node_count, most) * DISCOVERY_SERVICE_CALL_INTERVAL
