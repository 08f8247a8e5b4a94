"""The entry point of the policy: passes each event to the component that handles it.

`docs/policy.md` describes the decisions of the components. A balancer learns only from the events of its own
node: the balancers of different nodes send each other no messages.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from tansyladder.policy import events as event_types
from tansyladder.policy.actions import Action
from tansyladder.policy.attempt_sending import may_send_to
from tansyladder.policy.components import PolicyComponents
from tansyladder.policy.endpoint_table import EndpointCounts
from tansyladder.policy.events import Event
from tansyladder.policy.settings import Settings


class Balancer:
    """Makes the decisions of one node.

    Not thread-safe: the caller serializes calls of `handle`. Only `endpoint_counts` may be called from any
    thread.
    """

    __slots__ = ("_begin_batch", "_clock", "_handlers", "components")

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.components = PolicyComponents(settings, seed, now)
        self._clock = self.components.clock
        self._begin_batch = self.components.actions.begin_batch
        self._handlers = _handlers_by_event(self.components)

    def handle(self, now: int, events: Sequence[Event]) -> list[Action]:
        """Decide which actions a batch of events requires.

        Args:
            now: The current time in microseconds, on the monotonic clock of all events and actions.
            events: The events since the last call, in order.

        Returns:
            The actions to perform, in order.
        """
        self._clock.now = now
        actions = self._begin_batch()
        handlers = self._handlers
        for event in events:
            handlers[type(event)](event)
        return actions

    def may_send_to(self, endpoint_id: int) -> bool:
        """Return whether an attempt whose connection has come up may still be sent to its endpoint."""
        return may_send_to(self.components.endpoints.by_id[endpoint_id])

    def endpoint_counts(self) -> EndpointCounts:
        """Count the endpoints. Thread-safe without a lock, as it reads a copy of the table."""
        return self.components.endpoints.counts(self._clock.now)


def _handlers_by_event(components: PolicyComponents) -> dict[type, Callable[[Any], None]]:
    """Map each event type to its handler."""
    return {
        Settings: components.active_settings.apply,
        event_types.TimerExpired: components.timers.handle_timer_expired,
        event_types.EndpointListUpdate: components.list_updater.handle_list_update,
        event_types.RequestReceived: components.arrivals.handle_request,
        event_types.AttemptEstablished: components.lifecycle.handle_attempt_established,
        event_types.AttemptEnded: components.lifecycle.handle_attempt_ended,
        event_types.ClientDisconnected: components.lifecycle.handle_client_disconnected,
        event_types.RequestEvicted: components.evictor.handle_request_evicted,
        event_types.ConnectionAdopted: components.lifecycle.handle_connection_adopted,
        event_types.ConnectionReport: components.reports.handle_connection_report,
        event_types.HealthCheckResult: components.reports.handle_health_check_result,
        event_types.PeerMessage: _ignore,
    }


def _ignore(event: event_types.PeerMessage) -> None:
    """Ignore a message from another node's balancer, as balancers send none yet."""
