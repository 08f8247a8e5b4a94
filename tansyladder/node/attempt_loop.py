"""Makes the attempts that the policy starts for one request, until a connection is established."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta

from tansyladder.invariants import Invariant, violate_invariant
from tansyladder.net import protocol, sockets
from tansyladder.net.action_queue import ActionQueue, QueuedAction
from tansyladder.net.clock import MICROSECOND, now
from tansyladder.net.endpoint_address import EndpointAddress
from tansyladder.net.upstream import (
    CLIENT_END_BY_PEEK_RESULT,
    ClientEnd,
    ConnectResult,
    SendLimits,
    UpstreamConnection,
    UpstreamConnector,
)
from tansyladder.node.context import NodeContext
from tansyladder.policy.actions import CancelAttempt, Fail, Migrate, Reject, StartAttempt
from tansyladder.policy.events import (
    AttemptEnded,
    AttemptEstablished,
    AttemptStatus,
    ClientDisconnected,
    RequestReceived,
)

ANSWER_GRACE = timedelta(milliseconds=25)  # after the deadline, for the policy's final answer to arrive

AttemptLoopResult = UpstreamConnection | Reject | Fail | ClientEnd


@dataclass(slots=True)
class AttemptLoop:
    """Makes one request's attempts, one at a time. Owned by the request's thread."""

    context: NodeContext
    action_queue: ActionQueue
    request_id: int
    class_name: str
    deadline: timedelta
    format_first_line: Callable[[timedelta], bytes]  # for an endpoint, given how long the node waits
    client: socket.socket | None = None  # its disconnect ends the loop; None: no client is watched
    response_line_count: int = 1  # number of lines in an endpoint's complete answer
    is_acceptable: Callable[[ConnectResult], bool] = lambda _: True  # else the connection is closed again
    may_have_been_executed: bool = False  # whether an endpoint may have executed the first line of an attempt

    def run(self, request: RequestReceived) -> AttemptLoopResult:
        """Pass the request to the policy; make attempts until its connection is established or it ends."""
        self.context.policy.handle_events(request)
        attempt = 0
        while True:
            action = self._next_action()
            match action:
                case StartAttempt():
                    outcome = self._make_attempt(action, attempt)
                    if outcome is not None:
                        return outcome
                    attempt += 1
                case Reject() | Fail():
                    return action
                case ClientEnd():
                    self.context.policy.handle_events(ClientDisconnected(self.request_id))
                    return action
                case CancelAttempt() | Migrate():
                    pass  # the attempt has ended already, or no connection is established yet

    def _make_attempt(self, action: StartAttempt, attempt: int) -> UpstreamConnection | ClientEnd | None:
        """Make one attempt; return None if it failed and the policy decides what to do next."""
        policy = self.context.policy
        endpoint = policy.endpoint(action.endpoint_id)
        was_executed_before = self.may_have_been_executed
        started = now()
        connector = UpstreamConnector(
            endpoint,
            self.format_first_line,
            min(started + action.timeout_us * MICROSECOND, self.deadline),
            self._send_limits(action),
            self._record_attempt,
            self.response_line_count,
        )
        result = connector.open(self.client, self.action_queue)
        if result.status.proves_not_executed:
            self.may_have_been_executed = was_executed_before
        duration_us = (now() - started) // MICROSECOND
        if result.sock is not None and result.buffer is not None:
            if self.is_acceptable(result):
                policy.handle_events(
                    AttemptEstablished(self.request_id, attempt, endpoint.number, duration_us)
                )
                lines = (result.up_line, *result.lines_after_up)
                return UpstreamConnection(endpoint, result.sock, result.buffer, lines, attempt, duration_us)
            result.sock.close()
            result = replace(result, status=AttemptStatus.CANCELLED)
        self._report_failure(endpoint, attempt, result, duration_us)
        return result.client_end

    def _send_limits(self, action: StartAttempt) -> SendLimits:
        """Return what limits the sending of an attempt's line."""
        context = self.context
        return SendLimits(
            context.configuration.settings.connect_timeout_us * MICROSECOND,
            None if action.send_by_us is None else context.clock.from_unix_us(action.send_by_us),
            lambda: context.policy.may_send_to(action.endpoint_id),
        )

    def _report_failure(
        self, endpoint: EndpointAddress, attempt: int, result: ConnectResult, duration_us: int
    ) -> None:
        """Notify the policy that an attempt has ended, after the client's disconnect if that ended it."""
        has_client_ended = result.client_end is not None
        ended = AttemptEnded(
            self.request_id,
            attempt,
            endpoint.number,
            result.status,
            duration_us,
            is_request_over=has_client_ended,
        )
        if has_client_ended:
            self.context.policy.handle_events(ClientDisconnected(self.request_id), ended)
        else:
            self.context.policy.handle_events(ended)

    def _record_attempt(self) -> None:
        """Record that the line of an attempt was sent."""
        self.may_have_been_executed = True
        self.context.metrics.record_attempt(self.class_name)

    def _next_action(self) -> QueuedAction | ClientEnd:
        """Wait for the policy's next action, or for the client to end its request."""
        deadline = self.deadline + ANSWER_GRACE
        descriptors = [self.action_queue.fileno()]
        if self.client is not None:
            descriptors.append(self.client.fileno())
        while True:
            action = self.action_queue.take()
            if action is not None and action.request_id == self.request_id:
                return action
            ready = sockets.wait_readable(deadline, *descriptors)
            client_end = self._check_client(ready)
            if client_end is not None:
                return client_end
            if not ready and now() >= deadline:
                violate_invariant(Invariant.DECISION_OVERDUE)
                self.context.policy.handle_events(ClientDisconnected(self.request_id))
                return Fail(self.request_id)  # an earlier attempt may have been executed

    def _check_client(self, ready: set[int]) -> ClientEnd | None:
        """Return how the client ended its request, if it did; an action in the queue takes precedence."""
        if self.client is None or self.client.fileno() not in ready or self.action_queue.peek() is not None:
            return None
        return CLIENT_END_BY_PEEK_RESULT.get(sockets.peek(self.client))


def load_hint_of(opening: protocol.Opening) -> int | None:
    """Return the client's hint of its load in the policy's unit; None if the first line has no hint."""
    return None if opening.load_hint is None else int(opening.load_hint)


def tenant_of(context: NodeContext, opening: protocol.Opening) -> int:
    """Return the number of the tenant that a first line names; 0 if it is not in the settings."""
    return context.configuration.config.tenant_number(opening.field_values.get(protocol.TENANT_FIELD, ""))


def build_request(
    context: NodeContext,
    request_id: int,
    class_number: int,
    opening: protocol.Opening,
    deadline: timedelta,
    *,
    is_reconnect: bool,
) -> RequestReceived:
    """Build the policy's event for a request; `is_reconnect`: an earlier connection broke or was migrated."""
    return RequestReceived(
        request_id,
        class_number,
        tenant_of(context, opening),
        context.clock.to_unix_us(deadline),
        opening.key,
        opening.group_key,
        load_hint_of(opening),
        opening.is_retry,
        is_midstream=False,
        is_reconnect=is_reconnect,
    )
