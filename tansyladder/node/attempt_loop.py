"""Placing one request: the module's choice and server-side flows, one after another, until one stands."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from tansyladder.invariants import check_invariant
from tansyladder.net import protocol, sockets
from tansyladder.net.action_queue import ActionQueue, QueuedAction
from tansyladder.net.clock import MICROSECOND, now
from tansyladder.net.upstream import ConnectResult, UpstreamConnection, UpstreamConnector
from tansyladder.node.policy_runner import PolicyRunner
from tansyladder.policy.actions import CancelAttempt, Fail, Migrate, Reject, StartAttempt
from tansyladder.policy.events import (
    AttemptEnded,
    AttemptEstablished,
    AttemptStatus,
    ClientDisconnected,
    RequestReceived,
)

ANSWER_GRACE = timedelta(milliseconds=25)  # past the deadline an answer still counts for a little


class ClientDisconnectedEarly:
    """The client went before it had an answer."""


class ClientSentEarly:
    """The client sent a line before UP, which the protocol does not allow."""


AttemptLoopResult = UpstreamConnection | Reject | Fail | ClientDisconnectedEarly | ClientSentEarly


@dataclass(slots=True)
class AttemptLoop:
    """What the attempts of one request have in common."""

    runner: PolicyRunner
    action_queue: ActionQueue
    request_id: int
    class_name: str
    deadline: timedelta
    first_line: Callable[[timedelta], bytes]
    client: socket.socket | None = None  # whose leaving ends the placing; none: nobody is watched
    answer_line_count: int = 1  # that make a member's answer
    is_acceptable: Callable[[ConnectResult], bool] = lambda result: True  # whether what stands can be used

    def run(self, request: RequestReceived) -> AttemptLoopResult:
        """Follow the module until a flow stands or the request is given up; never two attempts at once."""
        runner, request_id, attempt = self.runner, self.request_id, 0
        runner.handle_events(request)
        while True:
            match action := self._next_action():
                case StartAttempt(_, endpoint_id, timeout):
                    endpoint, started = runner.endpoint(endpoint_id), now()
                    until = min(started + timeout * MICROSECOND, self.deadline)
                    connect = runner.config.settings.connect_timeout_us * MICROSECOND
                    connector = UpstreamConnector(
                        endpoint,
                        self.first_line,
                        until,
                        connect,
                        self._record_attempt,
                        self.answer_line_count,
                    )
                    result = connector.open(self.client, self.action_queue)
                    duration_us = (now() - started) // MICROSECOND
                    if result.sock is not None and result.buffer is not None:
                        if self.is_acceptable(result):
                            runner.handle_events(
                                AttemptEstablished(request_id, attempt, endpoint_id, duration_us)
                            )
                            lines = (result.up_line, *result.following_lines)
                            return UpstreamConnection(
                                endpoint, result.sock, result.buffer, lines, attempt, duration_us
                            )
                        result.sock.close()
                        result.status = AttemptStatus.CANCELLED
                    if result.is_client_disconnected or result.has_client_sent:
                        attempt_ended = AttemptEnded(
                            request_id, attempt, endpoint_id, result.status, duration_us, True
                        )
                        runner.handle_events(ClientDisconnected(request_id), attempt_ended)
                        return ClientSentEarly() if result.has_client_sent else ClientDisconnectedEarly()
                    runner.handle_events(
                        AttemptEnded(request_id, attempt, endpoint_id, result.status, duration_us, False)
                    )
                    attempt += 1
                case Reject():
                    runner.handle_events(ClientDisconnected(request_id))
                    return action
                case Fail():
                    return action
                case CancelAttempt() | Migrate():
                    pass  # the attempt is over already, or nothing stands yet
                case ClientDisconnectedEarly() | ClientSentEarly():
                    runner.handle_events(ClientDisconnected(request_id))
                    return action

    def _record_attempt(self) -> None:
        self.runner.metrics.record_attempt(self.class_name)

    def _next_action(self) -> QueuedAction | ClientDisconnectedEarly | ClientSentEarly:
        """What the module says next, or that the client is gone."""
        until = self.deadline + ANSWER_GRACE
        fds = [self.action_queue.fileno()] + ([self.client.fileno()] if self.client else [])
        while True:
            action = self.action_queue.take()
            if action is not None and action.request_id == self.request_id:
                return action
            ready = sockets.wait_readable(until, *fds)
            if self.client and self.client.fileno() in ready and self.action_queue.peek() is None:
                match sockets.peek(self.client):
                    case sockets.PeekResult.DATA:
                        return ClientSentEarly()
                    case sockets.PeekResult.CLOSED:
                        return ClientDisconnectedEarly()
            if not ready and now() >= until:
                check_invariant(False, "answer_overdue")
                return Reject(self.request_id, 0)


def build_request(
    runner: PolicyRunner,
    request_id: int,
    class_number: int,
    opening: protocol.Opening,
    deadline: timedelta,
    is_reconnect: bool,
) -> RequestReceived:
    """The event that tells the policy of a request; `is_reconnect`: its connection broke or was migrated."""
    load_hint = None if opening.load_hint is None else int(opening.load_hint)
    return RequestReceived(
        request_id,
        class_number,
        runner.tenant_number(opening),
        runner.clock.micros(deadline),
        opening.key,
        opening.group_key,
        load_hint,
        opening.is_retry,
        False,
        is_reconnect,
    )
