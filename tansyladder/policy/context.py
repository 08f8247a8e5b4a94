"""What all parts of the decision module share: clock, actions, and what follows from the settings."""

import math

from tansyladder.policy.actions import CheckHealth
from tansyladder.policy.records import Endpoint
from tansyladder.policy.runtime import Runtime
from tansyladder.policy.settings import Settings

MAX_PENDING_ATTEMPTS = 24  # at an endpoint, from all nodes: more only wait there, and time out
DELAYED_OBJECTIVE_SHARE = 0.5  # of the message objective, from which messages are late: delays vary
SHARED_FAILURE_RATE = 0.5  # of set-ups, from which the cause is shared: no single endpoint fails most of them


class Context(Runtime):
    """The runtime with the settings in force. Owned by one `Balancer`."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        super().__init__(seed, now)
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Put settings in force; classes keep their numbers, requests in flight the terms of their class."""
        self.settings = settings
        live = [c for i, c in enumerate(settings.classes) if i not in settings.retired_classes]
        # Each node's part of them: eight from each of forty nodes are more than an endpoint takes in in time.
        attempts = max(1, MAX_PENDING_ATTEMPTS // max(3, settings.node_count))
        self.max_pending_attempts = attempts if settings.discovery_call_interval_us else math.inf
        columns = settings.report_columns
        self.utilization_column = columns.index("x0") if "x0" in columns else -1
        self.can_check_load = settings.can_check_health and self.utilization_column >= 0
        self.reaction_time_us = max(c.deadline_us for c in live)
        # A delay is taken for true until the next health check can tell otherwise.
        self.delay_validity_us = max(self.reaction_time_us, settings.health_check_interval_us * 3 // 2)
        objectives = [c.message_latency_objective_us for c in live if c.message_latency_objective_us]
        self.message_objective_us = min(objectives or [c.latency_objective_us for c in live])
        self.delay_limit_us = self.message_objective_us * DELAYED_OBJECTIVE_SHARE

    def check_health(self, endpoint: Endpoint) -> None:
        """Start a health check of an endpoint unless one is in flight."""
        if not endpoint.is_check_in_flight:
            endpoint.is_check_in_flight = True
            self.actions.append(CheckHealth(endpoint.id))
