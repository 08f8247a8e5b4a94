"""The relay: whole lines both ways between a client and its pool member, until one of them ends."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable
from datetime import timedelta

from tansyladder.interface import Status
from tansyladder.log import log
from tansyladder.net import protocol, sockets
from tansyladder.net.clock import now
from tansyladder.net.core import Mailbox

SILENT = timedelta(seconds=4.5)  # of a line unanswered; with 2 s between lines, under 7 s in all
OVERDUE = timedelta(milliseconds=250)  # an unanswered line counts as a delay, and again after each such
IDLE = timedelta(seconds=30)
AFTER_END = timedelta(milliseconds=800)  # what one side ended, the other has ended within a second


class Relay:
    """Passes the lines of one standing connection; its thread is the only one to read or write."""

    def __init__(
        self,
        client: socket.socket,
        member: socket.socket,
        box: Mailbox,
        name: str,
        buffer: protocol.LineBuffer,
        heard: Callable[[timedelta], None],
    ) -> None:
        self._client, self._member, self._box, self._heard = client, member, box, heard
        self._name = name
        self._to_client, self._to_member = buffer, protocol.LineBuffer()
        self._asked: timedelta | None = None  # when the oldest line went out that nothing has come back for
        self._told = timedelta(0)  # when the oldest of them was last counted as overdue
        self._last_word = b""
        self._ended: Status | None = None  # what the first end of a side makes of the connection

    def nudge(self) -> None:
        """Wake the relay from another thread; a close would not, a shutdown does."""
        with contextlib.suppress(OSError):
            self._member.shutdown(socket.SHUT_RD)

    def run(self, first: tuple[bytes, ...]) -> Status:
        """Pass on lines until the connection is over; both sockets are closed then."""
        try:
            self._last_word = protocol.word_of(first[-1])  # UP and BYE may come in one read
            with contextlib.suppress(OSError):  # a client that left is met again in the first read
                self._client.sendall(b"".join(first))
            return self._pass()
        except protocol.LineError as err:
            log("bad_line", where="relay", why=err)
            return self._move(Status.CANCELLED)
        finally:
            self._box.close()  # no nudge after the descriptor may be another's
            self._member.close()
            self._client.close()

    def _pass(self) -> Status:
        until_end: timedelta | None = None
        open_sides = {self._client, self._member}
        while open_sides:
            order = self._box.take()
            if order is not None and self._ended is None:
                return self._move(Status.CANCELLED)
            if until_end is not None and now() >= until_end:
                break
            if self._overdue() and self._ended is None:
                log("silent_flow", member=self._name)
                return self._move(Status.TIMEOUT)
            wait = until_end or now() + (OVERDUE if self._asked else IDLE)
            ready = sockets.wait_readable(wait, *(s.fileno() for s in open_sides))
            for side in [s for s in (self._member, self._client) if s in open_sides and s.fileno() in ready]:
                other = self._client if side is self._member else self._member
                try:
                    data = side.recv(sockets.CHUNK)
                    if side is self._member and not data and self._box.first() is not None:
                        break  # it is the nudge, not the member's end
                except OSError:
                    return self._reset(side, other)
                if data:
                    with contextlib.suppress(OSError):
                        self._forward(side, other, data)
                        continue
                    return self._reset(other, side)
                # Half a connection may go on for a moment: the end is passed on in kind.
                open_sides.discard(side)
                self._end(side)
                rest = (self._to_client if side is self._member else self._to_member).rest
                with contextlib.suppress(OSError):
                    if rest:
                        other.sendall(rest)
                    other.shutdown(socket.SHUT_WR)
                until_end = until_end or now() + AFTER_END
        # Never `or`: the status of success is 0, and a sound member would be blamed with a reset.
        return Status.CANCELLED if self._ended is None else self._ended

    def _forward(self, side: socket.socket, other: socket.socket, data: bytes) -> None:
        lines = (self._to_client if side is self._member else self._to_member).feed(data)
        if not lines:
            return
        other.sendall(b"".join(lines))
        if side is self._client:
            self._asked = self._asked or now()
            return
        for line in lines:
            self._last_word = protocol.word_of(line)
            if self._asked is not None and self._last_word not in (b"LOAD", protocol.BYE, protocol.MOVE):
                # Whatever else waits is taken as answered: one lost reply must not make all later ones late.
                asked, self._asked = self._asked, None
                self._heard(now() - asked)

    def _overdue(self) -> bool:
        """Count a line that waits as a delay; True once the flow counts as silent."""
        if self._asked is None:
            return False
        age = now() - self._asked
        if age >= OVERDUE and now() - self._told >= OVERDUE:
            self._told = now()
            self._heard(age)
        return age >= SILENT

    def _end(self, side: socket.socket) -> None:
        """The first side to end decides what became of the connection."""
        if self._ended is None:
            if side is self._client:
                self._ended = Status.CANCELLED
            else:
                ends = {protocol.BYE: Status.OK, protocol.MOVE: Status.CANCELLED}
                self._ended = ends.get(self._last_word, Status.RESET)

    def _reset(self, side: socket.socket, other: socket.socket) -> Status:
        self._end(side)
        sockets.reset(other)
        return Status.RESET if self._ended is None else self._ended

    def _move(self, status: Status) -> Status:
        """Only whole lines have gone out, so MOVE stands between two of them."""
        self._member.close()
        sockets.finish(self._client, protocol.MOVE + b"\r\n")
        return status
