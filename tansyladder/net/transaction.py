"""The life of one transaction, from its first line to its end."""

from __future__ import annotations

import contextlib
import socket
from datetime import timedelta

from tansyladder import interface as api
from tansyladder.interface import Status
from tansyladder.log import log
from tansyladder.must import must_hold
from tansyladder.net import protocol, sockets
from tansyladder.net.clock import MICROSECOND, now
from tansyladder.net.core import Core, Mailbox, Order, PoolMember
from tansyladder.net.flow import Answer, ServerSideFlow
from tansyladder.net.protocol import Opening, format_reject
from tansyladder.net.relay import Relay

OVERDUE = timedelta(milliseconds=25)  # past the deadline an answer still counts for a little
AGAIN = timedelta(milliseconds=100)  # between two tries to take up a connection from before the run


class Transaction:
    """One request of a client and its final answer; its thread alone uses its sockets."""

    def __init__(self, core: Core, client: socket.socket, opening: Opening, arrived: timedelta) -> None:
        self._core, self._client, self._opening = core, client, opening
        self._deadline = arrived + opening.wait
        self._box = Mailbox()
        self._number = 0

    def run(self) -> None:
        """Serve the transaction; the client's socket is closed at the end."""
        try:
            self._box.open()
        except OSError as err:  # out of descriptors: trying again is harmless
            log("reject", why=err)
            sockets.finish(self._client, format_reject(AGAIN))
            return
        self._number = self._core.register(self._box)
        try:
            if self._opening.at is None:
                self._live()
            else:
                self._take_up(self._opening.at)
        finally:
            self._core.forget(self._number)
            self._box.close()
            self._client.close()

    def _live(self) -> None:
        """OPEN, the module's choice, server-side flows, UP or an answer, the relay, the end."""
        core, number, opening = self._core, self._number, self._opening
        core.tell(
            api.Request(
                number, core.classes[opening.cls], 0, core.clock.micros(self._deadline), opening.key,
                opening.group, None if opening.hint is None else int(opening.hint), opening.repeat, False,
                opening.again,
            )
        )  # fmt: skip
        attempt = 0
        while True:
            match self._next_order():
                case api.Send(_, server, timeout):
                    member, sent = core.member(server), now()
                    until = min(sent + timeout * MICROSECOND, self._deadline)
                    connect = core.config.settings.connect_timeout * MICROSECOND
                    answer = ServerSideFlow(member, opening, until, connect).open(self._client, self._box)
                    took = (now() - sent) // MICROSECOND
                    if answer.sock is not None:
                        core.tell(api.First(number, attempt, server, took))
                        status = self._relay(answer, member, attempt)
                        core.tell(api.Outcome(number, attempt, server, status, took, True))
                        return
                    if answer.client_left or answer.client_spoke:
                        end = api.Outcome(number, attempt, server, answer.status, took, True)
                        core.tell(api.Gone(number), end)
                        return self._client_breach() if answer.client_spoke else None
                    core.tell(api.Outcome(number, attempt, server, answer.status, took, False))
                    attempt += 1
                case api.Refuse(_, wait):
                    core.tell(api.Gone(number))
                    return sockets.finish(self._client, format_reject(wait * MICROSECOND))
                case api.Fail():
                    return sockets.finish(self._client, protocol.ERR + b"\r\n")
                case api.Cancel() | api.Move():
                    pass  # the attempt is over already, or nothing stands yet
                case None:
                    core.tell(api.Gone(number))
                    return None

    def _next_order(self) -> Order | None:
        """What the module says next; None where the client left."""
        until = self._deadline + OVERDUE
        while True:
            order = self._box.take()
            if order is not None:
                return order
            ready = sockets.wait_readable(until, self._box.fileno(), self._client.fileno())
            if self._client.fileno() in ready and self._box.first() is None:
                with contextlib.suppress(OSError):
                    if self._client.recv(1, socket.MSG_PEEK):
                        self._client_breach()
                return None
            if not ready and now() >= until:
                must_hold(False, "answer_overdue")
                return api.Refuse(self._number, 0)

    def _client_breach(self) -> None:
        """A line before UP: the client's mistake gets an answer and a log line."""
        log("bad_line", where="client", why="a second line before UP")
        sockets.finish(self._client, protocol.ERR + b"\r\n")

    def _relay(self, answer: Answer, member: PoolMember, attempt: int) -> Status:
        assert answer.sock is not None and answer.buffer is not None
        core, number = self._core, self._number

        def heard(delay: timedelta) -> None:
            value = core.delays.heard(member.number, delay) if core.delays else None
            if value is not None:
                ms = value.total_seconds() * 1000
                core.tell(api.Note(number, api.NoteKind.DELAY, attempt, member.number, ms))

        relay = Relay(self._client, answer.sock, self._box, member.id, answer.buffer, heard)
        self._box.stand(relay.nudge)
        return relay.run((answer.receipt, *answer.ready))

    def _take_up(self, ident: str) -> None:
        """A connection that stood at a pool member before the run goes back there."""
        core, opening = self._core, self._opening
        member = core.member_of_id(ident)
        answer = Answer(Status.CONNECT_FAILED)
        while member is not None and answer.sock is None and not answer.client_left:
            connect = core.config.settings.connect_timeout * MICROSECOND
            answer = ServerSideFlow(member, opening, self._deadline, connect).open(self._client, self._box)
            if answer.sock is None and now() + AGAIN >= self._deadline:
                break
            if answer.sock is None and not answer.client_left:
                sockets.wait_readable(now() + AGAIN, self._box.fileno())
                if isinstance(self._box.first(), api.Refuse):
                    break
        if member is None or answer.sock is None:
            log("take_up_failed", member=ident, status=answer.status.name)
            if not answer.client_left:
                sockets.finish(self._client, format_reject(AGAIN))
            return
        cls = core.classes[opening.cls]
        hint = None if opening.hint is None else int(opening.hint)
        core.tell(api.Opened(self._number, cls, 0, member.number, opening.key, hint))
        status = self._relay(answer, member, 0)
        core.tell(api.Outcome(self._number, 0, member.number, status, 0, True))
