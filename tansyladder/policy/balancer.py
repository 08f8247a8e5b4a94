"""The decision module's entry. It only dispatches: each event goes to the part that owns what it changes."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial
from typing import Any

from tansyladder.policy import events as event_types
from tansyladder.policy.actions import Action
from tansyladder.policy.context import Context
from tansyladder.policy.discovery import handle_list_update
from tansyladder.policy.events import Event
from tansyladder.policy.records import EndpointCounts, EndpointTable, RequestTable
from tansyladder.policy.request_lifecycle import RequestLifecycle
from tansyladder.policy.settings import Settings


class Balancer:
    """One node's decisions.

    Not thread-safe: the caller serializes `handle`. `endpoint_counts` alone may be called from any thread.
    """

    __slots__ = ("_handlers", "context", "endpoints", "requests")

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.context = Context(settings, seed, now)
        self.endpoints = EndpointTable()
        self.requests = RequestTable()
        lifecycle = RequestLifecycle(self.context, self.endpoints, self.requests)
        self._handlers: dict[type, Callable[[Any], None]] = {
            Settings: self.context.apply_settings,
            event_types.TimerExpired: self.context.handle_timer,
            event_types.EndpointListUpdate: partial(handle_list_update, self.context, self.endpoints),
            event_types.RequestReceived: lifecycle.handle_request,
            event_types.AttemptEstablished: lifecycle.handle_attempt_established,
            event_types.AttemptEnded: lifecycle.handle_attempt_ended,
            event_types.ClientDisconnected: self.requests.handle_client_disconnected,
            event_types.ConnectionAdopted: self._adopt_connection,
            event_types.ConnectionReport: lifecycle.handle_connection_report,
            event_types.HealthCheckResult: lifecycle.handle_health_check_result,
            event_types.PeerMessage: self._ignore,
        }

    def handle(self, now: int, events: Sequence[Event]) -> list[Action]:
        """Decide what follows from events.

        Args:
            now: The moment, in microseconds on the clock of all events and actions; it never goes back.
            events: What happened, in order.

        Returns:
            The actions to perform, in order.
        """
        self.context.now = now
        self.context.actions = []
        for event in events:
            self._handlers[type(event)](event)
        return self.context.actions

    def endpoint_counts(self) -> EndpointCounts:
        """Count the endpoints. Thread-safe without a lock: it reads a copy of the table."""
        return self.endpoints.counts(self.context.now)

    def _adopt_connection(self, event: event_types.ConnectionAdopted) -> None:
        """Count a connection that was established before this node's start."""
        self.requests.adopt(event, self.endpoints.by_id.get(event.endpoint_id))
        self.context.connections_by_tenant[event.tenant] += 1

    def _ignore(self, event: event_types.PeerMessage) -> None:
        """Nodes send each other no messages yet."""
