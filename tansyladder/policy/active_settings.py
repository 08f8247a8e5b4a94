"""The active settings, and the limits derived from them.

The limits are derived once, when settings are made active, and are replaced as a whole. They depend only on
the settings, not on what the node observes.

The limits are computed as follows; "longest" and "strictest" refer to the classes that are not retired:

- reaction time = the longest deadline. The effect of an action of the policy is visible in load reports and
  at clients within this time.
- message objective = the strictest message latency objective or, if no class has one, the strictest latency
  objective. It applies to each message on an established connection.
- delay limit = message objective x `DELAYED_OBJECTIVE_SHARE`.
- validity of a delay that a health check measured = the reaction time or 3/2 of the health check interval,
  whichever is longer. The delay thus stays valid until the next check measures it again.
- maximum of this node's pending attempts at an endpoint = `MAX_PENDING_ATTEMPTS` / number of nodes, rounded
  down, but at least 1. The number of nodes is taken as at least `MIN_NODES_FOR_PENDING_ATTEMPTS`.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from tansyladder.policy.settings import Settings

# The maximum at one endpoint from all nodes together. More attempts would only wait there and time out.
MAX_PENDING_ATTEMPTS = 24
# `MAX_PENDING_ATTEMPTS` is divided by at least this number, even if there are fewer nodes. With a larger
# share, a node that has just started could fill the queue of an endpoint alone.
MIN_NODES_FOR_PENDING_ATTEMPTS = 3
# Messages are late if their delay is above this share of the message objective. It is below 1 as delays vary.
DELAYED_OBJECTIVE_SHARE = 0.5
# A measured delay is valid for at least 3/2 of the health check interval. The next check is due after one
# interval; the other half allows for a check that is late.
DELAY_VALIDITY_NUMERATOR = 3
DELAY_VALIDITY_DENOMINATOR = 2
UTILIZATION_COLUMN_NAME = "x0"  # the column of load reports that holds the utilization
NO_UTILIZATION_COLUMN = -1


class DerivedLimits(NamedTuple):
    """Limits that are derived from the settings. Durations are in microseconds."""

    max_pending_attempts: float  # of this node at one endpoint; infinite in the simulator
    utilization_column: int  # index in load reports, or `NO_UTILIZATION_COLUMN`
    can_check_load: bool  # whether a health check can return the utilization of an endpoint
    reaction_time_us: int  # after which the effect of an action of the policy is visible
    delay_validity_us: int  # how long a delay is valid that a health check of this node measured
    message_objective_us: int
    delay_limit_us: float  # messages with a longer delay are late


def derive_limits(settings: Settings) -> DerivedLimits:
    """Derive the limits from settings; retired classes are ignored."""
    classes = [c for index, c in enumerate(settings.classes) if index not in settings.retired_classes]
    reaction_time_us = max(c.deadline_us for c in classes)
    objectives = [c.message_latency_objective_us for c in classes if c.message_latency_objective_us]
    message_objective_us = min(objectives or [c.latency_objective_us for c in classes])
    check_validity_us = (
        settings.health_check_interval_us * DELAY_VALIDITY_NUMERATOR // DELAY_VALIDITY_DENOMINATOR
    )
    utilization_column = _find_utilization_column(settings.report_columns)
    return DerivedLimits(
        max_pending_attempts=_max_pending_attempts(settings),
        utilization_column=utilization_column,
        can_check_load=settings.can_check_health and utilization_column != NO_UTILIZATION_COLUMN,
        reaction_time_us=reaction_time_us,
        delay_validity_us=max(reaction_time_us, check_validity_us),
        message_objective_us=message_objective_us,
        delay_limit_us=message_objective_us * DELAYED_OBJECTIVE_SHARE,
    )


def _find_utilization_column(columns: tuple[str, ...]) -> int:
    """Find the column of load reports that holds the utilization; `NO_UTILIZATION_COLUMN` if none."""
    return (
        columns.index(UTILIZATION_COLUMN_NAME)
        if UTILIZATION_COLUMN_NAME in columns
        else NO_UTILIZATION_COLUMN
    )


def _max_pending_attempts(settings: Settings) -> float:
    """Return this node's maximum of pending attempts at one endpoint.

    It is infinite if the settings have no discovery call interval. This is the case in the simulator,
    which has no sockets.
    """
    if not settings.discovery_call_interval_us:
        return math.inf
    return max(1, MAX_PENDING_ATTEMPTS // max(MIN_NODES_FOR_PENDING_ATTEMPTS, settings.node_count))


class ActiveSettings:
    """The settings that all components of one `Balancer` use, and the limits derived from them."""

    __slots__ = ("limits", "settings")

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.limits = derive_limits(settings)

    def apply(self, settings: Settings) -> None:
        """Replace the settings and the derived limits.

        A class must have the same index as before, because requests in flight refer to their class by index.
        """
        self.settings = settings
        self.limits = derive_limits(settings)
