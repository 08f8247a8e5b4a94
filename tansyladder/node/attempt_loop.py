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

OVERDUE = timedelta(milliseconds=25)  # past the deadline an answer still counts for a little


class ClientDisconnectedEarly:
    """The client went before it had an answer."""


class ClientSentEarly:
    """The client sent a line before UP, which the protocol does not allow."""


Placed = UpstreamConnection | Reject | Fail | ClientDisconnectedEarly | ClientSentEarly


@dataclass(slots=True)
class AttemptLoop:
    """What the attempts of one request have in common."""

    core: PolicyRunner
    box: ActionQueue
    number: int
    cls: str
    deadline: timedelta
    first_line: Callable[[timedelta], bytes]
    client: socket.socket | None = None  # whose leaving ends the placing; none: nobody is watched
    lines: int = 1  # that make a member's answer
    accept: Callable[[ConnectResult], bool] = lambda answer: True  # whether what stands can be used

    def run(self, request: RequestReceived) -> Placed:
        """Follow the module until a flow stands or the request is given up; never two attempts at once."""
        core, number, attempt = self.core, self.number, 0
        core.handle_events(request)
        while True:
            match order := self._next_order():
                case StartAttempt(_, server, timeout):
                    member, sent = core.endpoint(server), now()
                    until = min(sent + timeout * MICROSECOND, self.deadline)
                    connect = core.config.settings.connect_timeout_us * MICROSECOND
                    flow = UpstreamConnector(member, self.first_line, until, connect, self._tried, self.lines)
                    answer = flow.open(self.client, self.box)
                    took = (now() - sent) // MICROSECOND
                    if answer.sock is not None and answer.buffer is not None:
                        if self.accept(answer):
                            core.handle_events(AttemptEstablished(number, attempt, server, took))
                            lines = (answer.up_line, *answer.following_lines)
                            return UpstreamConnection(
                                member, answer.sock, answer.buffer, lines, attempt, took
                            )
                        answer.sock.close()
                        answer.status = AttemptStatus.CANCELLED
                    if answer.is_client_disconnected or answer.has_client_sent:
                        end = AttemptEnded(number, attempt, server, answer.status, took, True)
                        core.handle_events(ClientDisconnected(number), end)
                        return ClientSentEarly() if answer.has_client_sent else ClientDisconnectedEarly()
                    core.handle_events(AttemptEnded(number, attempt, server, answer.status, took, False))
                    attempt += 1
                case Reject():
                    core.handle_events(ClientDisconnected(number))
                    return order
                case Fail():
                    return order
                case CancelAttempt() | Migrate():
                    pass  # the attempt is over already, or nothing stands yet
                case ClientDisconnectedEarly() | ClientSentEarly():
                    core.handle_events(ClientDisconnected(number))
                    return order

    def _tried(self) -> None:
        self.core.metrics.tried(self.cls)

    def _next_order(self) -> QueuedAction | ClientDisconnectedEarly | ClientSentEarly:
        """What the module says next, or that the client is gone."""
        until = self.deadline + OVERDUE
        fds = [self.box.fileno()] + ([self.client.fileno()] if self.client else [])
        while True:
            order = self.box.take()
            if order is not None and order.request_id == self.number:
                return order
            ready = sockets.wait_readable(until, *fds)
            if self.client and self.client.fileno() in ready and self.box.peek() is None:
                match sockets.peek(self.client):
                    case sockets.PeekResult.DATA:
                        return ClientSentEarly()
                    case sockets.PeekResult.CLOSED:
                        return ClientDisconnectedEarly()
            if not ready and now() >= until:
                check_invariant(False, "answer_overdue")
                return Reject(self.number, 0)


def request_of(
    core: PolicyRunner, number: int, cls: int, opening: protocol.Opening, deadline: timedelta, back: bool
) -> RequestReceived:
    """What the module is told of a request; `cls`: its class there; `back`: it broke or was moved."""
    hint = None if opening.load_hint is None else int(opening.load_hint)
    return RequestReceived(
        number,
        cls,
        core.tenant_number(opening),
        core.clock.micros(deadline),
        opening.key,
        opening.group_key,
        hint,
        opening.is_retry,
        False,
        back,
    )
