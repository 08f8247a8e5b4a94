"""Placing one request: the module's choice and server-side flows, one after another, until one stands."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from tansyladder.invariants import check_invariant
from tansyladder.net import protocol, sockets
from tansyladder.net.clock import MICROSECOND, now
from tansyladder.net.flow import Answer, ServerSideFlow, Standing
from tansyladder.net.mailbox import Mailbox, Order
from tansyladder.node.core import Core
from tansyladder.policy.actions import CancelAttempt, Fail, Migrate, Reject, StartAttempt
from tansyladder.policy.events import (
    AttemptEnded,
    AttemptEstablished,
    AttemptStatus,
    ClientDisconnected,
    RequestReceived,
)

OVERDUE = timedelta(milliseconds=25)  # past the deadline an answer still counts for a little


class ClientLeft:
    """The client went before it had an answer."""


class ClientSpoke:
    """The client sent a line before UP, which the protocol does not allow."""


Placed = Standing | Reject | Fail | ClientLeft | ClientSpoke


@dataclass(slots=True)
class Placing:
    """What the attempts of one request have in common."""

    core: Core
    box: Mailbox
    number: int
    cls: str
    deadline: timedelta
    first_line: Callable[[timedelta], bytes]
    client: socket.socket | None = None  # whose leaving ends the placing; none: nobody is watched
    lines: int = 1  # that make a member's answer
    accept: Callable[[Answer], bool] = lambda answer: True  # whether what stands can be used

    def run(self, request: RequestReceived) -> Placed:
        """Follow the module until a flow stands or the request is given up; never two attempts at once."""
        core, number, attempt = self.core, self.number, 0
        core.tell(request)
        while True:
            match order := self._next_order():
                case StartAttempt(_, server, timeout):
                    member, sent = core.member(server), now()
                    until = min(sent + timeout * MICROSECOND, self.deadline)
                    connect = core.config.settings.connect_timeout_us * MICROSECOND
                    flow = ServerSideFlow(member, self.first_line, until, connect, self._tried, self.lines)
                    answer = flow.open(self.client, self.box)
                    took = (now() - sent) // MICROSECOND
                    if answer.sock is not None and answer.buffer is not None:
                        if self.accept(answer):
                            core.tell(AttemptEstablished(number, attempt, server, took))
                            lines = (answer.receipt, *answer.ready)
                            return Standing(member, answer.sock, answer.buffer, lines, attempt, took)
                        answer.sock.close()
                        answer.status = AttemptStatus.CANCELLED
                    if answer.client_left or answer.client_spoke:
                        end = AttemptEnded(number, attempt, server, answer.status, took, True)
                        core.tell(ClientDisconnected(number), end)
                        return ClientSpoke() if answer.client_spoke else ClientLeft()
                    core.tell(AttemptEnded(number, attempt, server, answer.status, took, False))
                    attempt += 1
                case Reject():
                    core.tell(ClientDisconnected(number))
                    return order
                case Fail():
                    return order
                case CancelAttempt() | Migrate():
                    pass  # the attempt is over already, or nothing stands yet
                case ClientLeft() | ClientSpoke():
                    core.tell(ClientDisconnected(number))
                    return order

    def _tried(self) -> None:
        self.core.metrics.tried(self.cls)

    def _next_order(self) -> Order | ClientLeft | ClientSpoke:
        """What the module says next, or that the client is gone."""
        until = self.deadline + OVERDUE
        fds = [self.box.fileno()] + ([self.client.fileno()] if self.client else [])
        while True:
            order = self.box.take()
            if order is not None and order.request_id == self.number:
                return order
            ready = sockets.wait_readable(until, *fds)
            if self.client and self.client.fileno() in ready and self.box.first() is None:
                match sockets.heard(self.client):
                    case sockets.Heard.DATA:
                        return ClientSpoke()
                    case sockets.Heard.END:
                        return ClientLeft()
            if not ready and now() >= until:
                check_invariant(False, "answer_overdue")
                return Reject(self.number, 0)


def request_of(
    core: Core, number: int, cls: int, opening: protocol.Opening, deadline: timedelta, back: bool
) -> RequestReceived:
    """What the module is told of a request; `cls`: its class there; `back`: it broke or was moved."""
    hint = None if opening.hint is None else int(opening.hint)
    return RequestReceived(
        number,
        cls,
        core.tenant(opening),
        core.clock.micros(deadline),
        opening.key,
        opening.group,
        hint,
        opening.repeat,
        False,
        back,
    )
