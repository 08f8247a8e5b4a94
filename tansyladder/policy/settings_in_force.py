"""The settings in force, and the limits that are derived from them.

Limits are derived once, when settings are put in force, and replaced as a whole. They depend on the
settings alone, not on what the node observes.

Formulas, over the classes that are not retired:

- reaction time = the longest deadline. What an action changes shows in reports and clients within that
  time.
- message objective = the strictest objective for messages; without any, the strictest latency objective.
- delay limit = message objective x `DELAYED_OBJECTIVE_SHARE`.
- validity of a measured delay = the longer of the reaction time and 3/2 of the interval of health checks,
  so that it lasts until the next check can correct it.
- pending attempts at an endpoint = `MAX_PENDING_ATTEMPTS` over the number of nodes, at least 1.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from tansyladder.policy.settings import Settings

MAX_PENDING_ATTEMPTS = 24  # at an endpoint, from all nodes: more only wait there, and time out
# Nodes between which the pending attempts are divided at least: a larger part would let a node that has just
# started fill an endpoint's queue alone.
MIN_NODES_FOR_PENDING_ATTEMPTS = 3
DELAYED_OBJECTIVE_SHARE = 0.5  # of the message objective, from which messages are late: delays vary
# Of the interval between health checks, for which a measured delay is valid: half an interval more than it
# takes until the next check, which may come late.
DELAY_VALIDITY_NUMERATOR = 3
DELAY_VALIDITY_DENOMINATOR = 2
UTILIZATION_COLUMN_NAME = "x0"  # the column of load reports that holds the utilization
NO_UTILIZATION_COLUMN = -1


class DerivedLimits(NamedTuple):
    """What follows from settings. Spans are in microseconds."""

    max_pending_attempts: float  # of this node at one endpoint; infinite where the caller has no sockets
    utilization_column: int  # in load reports; -1: endpoints report no utilization
    can_check_load: bool  # whether a health check tells an endpoint's utilization
    reaction_time_us: int  # after which what was changed shows
    delay_validity_us: int  # of a delay that this node measured
    message_objective_us: int
    delay_limit_us: float  # a longer delay of messages is late


def derive_limits(settings: Settings) -> DerivedLimits:
    """Derive the limits from settings; retired classes don't count."""
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
    """Find the column of load reports that holds the utilization; -1: there is none."""
    return (
        columns.index(UTILIZATION_COLUMN_NAME)
        if UTILIZATION_COLUMN_NAME in columns
        else NO_UTILIZATION_COLUMN
    )


def _max_pending_attempts(settings: Settings) -> float:
    """Give each node its part of what an endpoint takes in in time; infinite where there are no sockets."""
    if not settings.discovery_call_interval_us:
        return math.inf
    return max(1, MAX_PENDING_ATTEMPTS // max(MIN_NODES_FOR_PENDING_ATTEMPTS, settings.node_count))


class SettingsInForce:
    """The settings by which all parts of one `Balancer` decide, with the limits derived from them."""

    __slots__ = ("limits", "settings")

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.limits = derive_limits(settings)

    def apply(self, settings: Settings) -> None:
        """Put settings in force; classes keep their numbers, requests in flight the terms of their class."""
        self.settings = settings
        self.limits = derive_limits(settings)
