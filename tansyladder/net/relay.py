"""The relay: whole lines both ways between a client and its pool member, until one of them ends."""

from __future__ import annotations

import contextlib
import select
import socket
from collections.abc import Sequence
from datetime import timedelta

from tansyladder.log import LogEvent, log
from tansyladder.net import protocol, sockets
from tansyladder.net.clock import now, seconds_left
from tansyladder.net.delays import DelayNotes
from tansyladder.net.mailbox import Mailbox
from tansyladder.net.silence import OVERDUE, Question
from tansyladder.net.takeover import Handed, Takeover
from tansyladder.policy.events import AttemptStatus

IDLE = timedelta(seconds=30)
AFTER_END = timedelta(milliseconds=800)  # what one side ended, the other has ended within a second


class Relay:
    """Passes the lines of one standing connection; its thread is the only one to read or write."""

    def __init__(
        self,
        client: socket.socket,
        member: socket.socket,
        box: Mailbox,
        opening: protocol.Opening,
        name: str,
        buffer: protocol.LineBuffer,
        notes: DelayNotes,
        takeover: Takeover,
    ) -> None:
        self._client, self._member, self._box = client, member, box
        self._opening, self._name, self._takeover = opening, name, takeover
        self._to_client, self._to_member = buffer, protocol.LineBuffer()
        self._open = {client, member}  # the sides that have not ended
        self._waiting = {client: b"", member: b""}  # whole lines that a side has not taken yet
        self._took = {client: now(), member: now()}  # when it last took any
        self._question, self._notes = Question(notes.timed), notes
        self._last_word = b""
        self._ended: AttemptStatus | None = None  # what the first end of a side makes of the connection

    def nudge(self) -> None:
        """Wake the relay from another thread; a close would not, a shutdown does."""
        with contextlib.suppress(OSError):
            self._member.shutdown(socket.SHUT_RD)

    def run(self, first: tuple[bytes, ...] = ()) -> AttemptStatus:
        """Pass on lines until the connection is over; both sockets are closed then.

        `first`: what the member said with its UP; none where the connection stood before.
        """
        try:
            if first:
                self._hear(first)  # UP and BYE may come in one read
                with contextlib.suppress(OSError):  # a client that left is met again in the first read
                    self._client.sendall(b"".join(first))
            return self._pass()
        except protocol.LineError as err:
            log(LogEvent.INVALID_LINE, where="relay", why=err)
            return self._move(AttemptStatus.CANCELLED)
        finally:
            self._box.close()  # no nudge after the descriptor may be another's
            self._member.close()
            self._client.close()

    def go_on(self, handed: Handed) -> AttemptStatus:
        """What another process passed on until now; both sockets are closed at the end."""
        self._last_word = handed.last_word.encode()
        self._to_client.rest, self._to_member.rest = handed.rests
        self._waiting[self._client], self._waiting[self._member] = handed.waiting
        self._question.go_on(handed.asked)
        return self.run()

    def _hand(self) -> bool:
        """Give the connection to the process that takes our place; False where it stays here."""
        self._box.stand(lambda: None)  # a nudge would end it for the other process too
        if self._box.first() is not None:
            return False
        handed = Handed(
            self._opening.line,
            self._name,
            self._last_word.decode("utf-8", "replace"),
            self._question.since,
            (self._to_client.rest, self._to_member.rest),
            (self._waiting[self._client], self._waiting[self._member]),
        )
        if self._takeover.hand(handed, self._client, self._member):
            return True
        self._box.stand(self.nudge)
        return False

    def _pass(self) -> AttemptStatus:
        for side in (self._client, self._member):
            side.settimeout(None)  # with a time-out Python waits before each call, whatever its flags say
        until_end: timedelta | None = None
        while self._open:
            order = self._box.take()
            if order is not None and self._ended is None:
                return self._move(AttemptStatus.CANCELLED)
            if until_end is not None and now() >= until_end:
                break
            if self._question.silent() and self._ended is None:
                log(LogEvent.ENDPOINT_SILENT, member=self._name)
                return self._move(AttemptStatus.TIMEOUT)
            if self._stuck():
                return self._reset_both()
            ready = self._wait(until_end or now() + (OVERDUE if self._question.open else IDLE))
            if self._takeover.fileno() in ready and self._ended is None and self._hand():
                return AttemptStatus.CANCELLED
            for side in (self._member, self._client):
                other = self._client if side is self._member else self._member
                try:
                    if self._waiting[side] and side.fileno() in ready:
                        self._flush(side)
                except OSError:
                    return self._reset(side, other)
                # What its other side has not taken yet holds a sender up, and nobody else.
                if side not in self._open or self._waiting[other] or side.fileno() not in ready:
                    continue
                try:
                    data = side.recv(sockets.CHUNK, socket.MSG_DONTWAIT)
                except BlockingIOError:
                    continue
                except OSError:
                    return self._reset(side, other)
                if side is self._member and not data and self._box.first() is not None:
                    break  # it is the nudge, not the member's end
                try:
                    if data:
                        self._forward(side, other, data)
                        continue
                    # Half a connection may go on for a moment: the end is passed on in kind.
                    self._open.discard(side)
                    self._end(side)
                    buffer = self._to_client if side is self._member else self._to_member
                    self._waiting[other] += buffer.rest
                    self._flush(other)
                except OSError:
                    return self._reset(other, side)
                until_end = until_end or now() + AFTER_END
        # Never `or`: the status of success is 0, and a sound member would be blamed with a reset.
        return AttemptStatus.CANCELLED if self._ended is None else self._ended

    def _wait(self, until: timedelta) -> set[int]:
        """Which sides can go on: to be read where the other takes what they say, to be written to else."""
        poll = select.poll()
        if self._ended is None:
            poll.register(self._takeover, select.POLLIN)
        for side in (self._member, self._client):
            other = self._client if side is self._member else self._member
            events = select.POLLIN if side in self._open and not self._waiting[other] else 0
            events |= select.POLLOUT if self._waiting[side] else 0
            if events:
                poll.register(side, events)
        return {fd for fd, _ in poll.poll(-(-seconds_left(until) * 1000 // 1))}

    def _flush(self, side: socket.socket) -> None:
        """Write what a side takes now; once all is out, pass the other side's end on."""
        if self._waiting[side]:
            with contextlib.suppress(BlockingIOError):
                sent = side.send(self._waiting[side], socket.MSG_DONTWAIT)
                self._waiting[side] = self._waiting[side][sent:]
                self._took[side] = now()
        other = self._client if side is self._member else self._member
        if not self._waiting[side] and other not in self._open:
            side.shutdown(socket.SHUT_WR)

    def _stuck(self) -> bool:
        """Whether a side has taken nothing for long."""
        late = now() - sockets.SEND_WAIT
        return any(waiting and self._took[side] < late for side, waiting in self._waiting.items())

    def _reset_both(self) -> AttemptStatus:
        log(LogEvent.ENDPOINT_STALLED, member=self._name)
        stuck = self._member if self._waiting[self._member] else self._client
        return self._reset(stuck, self._client if stuck is self._member else self._member)

    def _forward(self, side: socket.socket, other: socket.socket, data: bytes) -> None:
        lines = (self._to_client if side is self._member else self._to_member).feed(data)
        if not lines:
            return
        self._waiting[other], self._took[other] = b"".join(lines), now()
        self._flush(other)
        if side is self._client:
            self._question.asked()
            return
        self._hear(lines)

    def _hear(self, lines: Sequence[bytes]) -> None:
        """What the member's lines tell the node itself."""
        for line in lines:
            self._last_word = protocol.word_of(line)
            self._question.answered(self._last_word)
            if self._last_word == protocol.LOAD:
                self._notes.told(line)

    def _end(self, side: socket.socket) -> None:
        """The first side to end decides what became of the connection."""
        if self._ended is None:
            if side is self._client:
                self._ended = AttemptStatus.CANCELLED
            else:
                ends = {protocol.BYE: AttemptStatus.OK, protocol.MOVE: AttemptStatus.CANCELLED}
                self._ended = ends.get(self._last_word, AttemptStatus.RESET)

    def _reset(self, side: socket.socket, other: socket.socket) -> AttemptStatus:
        self._end(side)
        sockets.reset(other)
        return AttemptStatus.RESET if self._ended is None else self._ended

    def _move(self, status: AttemptStatus) -> AttemptStatus:
        """MOVE stands between two lines: what the client has not taken of one goes out before it."""
        self._member.close()
        sockets.prepare(self._client)
        sockets.finish(self._client, self._waiting[self._client] + protocol.MOVE + b"\r\n")
        return status
