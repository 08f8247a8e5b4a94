"""Connections before their first valid request line: their deadlines, their lines and their end."""

from __future__ import annotations

import select
import socket
from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from tansyladder.log import LogEvent, log
from tansyladder.log_events import ClientRejectionReason, LineSource
from tansyladder.net import protocol, sockets
from tansyladder.net.clock import now

# A client without a complete first line is answered ERR at the first deadline and closed at the second: under
# 3 s after the accept, however slowly its bytes come and however busy the node is.
FIRST_LINE_TIMEOUT = timedelta(seconds=1.8)
PENDING_LIFETIME = timedelta(seconds=2.3)
PING_IDLE_TIMEOUT = timedelta(seconds=60)  # between two PINGs of the front end on one connection
MAX_PINGS_PER_SECOND = 20  # a front end asks and waits for the answer; more is a flood
PING_WINDOW = timedelta(seconds=1)  # that MAX_PINGS_PER_SECOND is counted in
# A connection this young has its line on the way: where too many come at once, the next ones wait in the
# listener's queue for this long, and only then one of the table counts as silent.
MIN_SILENCE = timedelta(milliseconds=50)
DISCARD_BUFFER_BYTES = 1 << 16  # read at once of what an answered client still sends


class RequestAdmitter(Protocol):
    """What decides on first lines; every call comes from the acceptor's thread."""

    @property
    def is_ready(self) -> bool:
        """Whether a PING is answered PONG."""

    @property
    def retry_after(self) -> timedelta:
        """When a rejected client may come again."""

    def admit(
        self,
        sock: socket.socket,
        opening: protocol.Opening,
        arrived: timedelta,
        release: Callable[[], None],
    ) -> bytes:
        """Take the connection after a call of `release`, or return the answer that rejects it."""

    def record_invalid_line(self) -> None:
        """Count a first line that could not be parsed."""

    def record_rejection(self, line: bytes) -> None:
        """Count a request that was rejected before it was parsed."""


class PendingConnection:
    """A connection that has not sent a valid OPEN; owned by the acceptor's thread."""

    __slots__ = (
        "buffer",
        "close_deadline",
        "discarded_bytes",
        "first_line_deadline",
        "is_answered",
        "last_line_at",
        "ping_count",
        "ping_window_start",
        "sock",
    )

    def __init__(self, sock: socket.socket) -> None:
        sockets.disable_send_delay(sock)
        self.sock = sock
        self.buffer = protocol.LineBuffer()
        # Only a complete PING moves the deadlines on: half a line does not.
        self.last_line_at = now()
        self.first_line_deadline = self.last_line_at + FIRST_LINE_TIMEOUT
        self.close_deadline = self.last_line_at + PENDING_LIFETIME
        self.is_answered = False  # it has its final answer, and only its own end is waited for
        self.discarded_bytes = 0
        self.ping_count = 0
        self.ping_window_start = timedelta(0)

    @property
    def is_expecting_line(self) -> bool:
        """Whether its first line may be on its way; a front end that only sends PING has none."""
        return not self.is_answered and bool(self.buffer.partial_line or not self.ping_count)

    def count_ping(self, arrived: timedelta) -> None:
        """Count a PING; raises LineError where there are too many in a second."""
        if arrived - self.ping_window_start >= PING_WINDOW:
            self.ping_count = 0
            self.ping_window_start = arrived
        self.ping_count += 1
        if self.ping_count > MAX_PINGS_PER_SECOND:
            raise protocol.LineError("a flood of PINGs")

    def extend_deadlines(self, arrived: timedelta) -> None:
        """A PING was answered: the next line may take its time."""
        self.last_line_at = arrived
        self.first_line_deadline = arrived + PING_IDLE_TIMEOUT
        # A request may come in the instant in which the idle connection is ended.
        self.close_deadline = self.first_line_deadline + sockets.DRAIN_TIMEOUT


class PendingConnections:
    """The table of pending connections; owned by the acceptor's thread, which never blocks on one of them.

    Other threads may only read `count` and `is_expecting_lines`.
    """

    def __init__(self, poll: select.poll, admitter: RequestAdmitter) -> None:
        """`poll`: what the acceptor waits on; connections are registered there while they are pending."""
        self._poll = poll
        self._admitter = admitter
        self._by_descriptor: dict[int, PendingConnection] = {}
        self._discard_buffer = bytearray(DISCARD_BUFFER_BYTES)

    @property
    def count(self) -> int:
        """How many connections are pending."""
        return len(self._by_descriptor)

    @property
    def is_expecting_lines(self) -> bool:
        """Whether some connection's first line may be on its way."""
        return any(connection.is_expecting_line for connection in self.all())

    def all(self) -> list[PendingConnection]:
        """The pending connections at this moment."""
        return list(self._by_descriptor.values())

    def get(self, descriptor: int) -> PendingConnection | None:
        """The connection with a descriptor; None where it has been closed meanwhile."""
        return self._by_descriptor.get(descriptor)

    def add(self, sock: socket.socket) -> None:
        """Take an accepted connection in, and read what has come with it."""
        connection = self._by_descriptor[sock.fileno()] = PendingConnection(sock)
        self._poll.register(sock, select.POLLIN)
        self.handle_readable(connection)  # most lines are there already

    def handle_readable(self, connection: PendingConnection) -> None:
        """Read from a connection; whatever it sent affects no other one."""
        try:
            self._read(connection)
        except BlockingIOError:
            pass
        except protocol.LineError as err:
            log(LogEvent.INVALID_LINE, source=LineSource.CLIENT, error=err)
            self._admitter.record_invalid_line()
            self.answer_and_shutdown(connection, protocol.ERR + b"\r\n")
        except OSError:
            self.close(connection)
        except Exception as err:  # noqa: BLE001 - a fault in one client's request must not end the acceptor
            log(LogEvent.INTERNAL_ERROR, error=repr(err))
            self.answer_and_shutdown(connection, protocol.ERR + b"\r\n")

    def check_deadlines(self, connection: PendingConnection, moment: timedelta) -> None:
        """Answer a connection whose first line is overdue; close one whose time is up."""
        if moment >= connection.close_deadline:
            self.close(connection)
        elif moment >= connection.first_line_deadline and not connection.is_answered:
            log(LogEvent.INVALID_LINE, source=LineSource.CLIENT, error="no first line")
            self.answer_and_shutdown(connection, protocol.ERR + b"\r\n")

    def evict_one(self) -> bool:
        """Close the oldest answered connection, else the longest silent one; False where all are young.

        A client that sent PING or half a line once and stays is no better than a silent one: where such
        clients fill the table, each new client would be the one to go, or to wait.
        """
        oldest = min(
            self._by_descriptor.values(),
            key=lambda connection: (not connection.is_answered, connection.last_line_at),
        )
        if not oldest.is_answered:
            if now() - oldest.last_line_at < MIN_SILENCE:
                return False
            self.handle_readable(oldest)  # its line may be there unread
        if self._is_pending(oldest):
            if not oldest.is_answered:
                log(LogEvent.CLIENT_REJECTED, reason=ClientRejectionReason.PENDING_EVICTED)
                # Its line may come in this instant: then this is its answer.
                self.answer_and_shutdown(oldest, protocol.format_reject(self._admitter.retry_after))
            self.close(oldest)
        return True

    def answer_and_shutdown(self, connection: PendingConnection, answer: bytes) -> None:
        """Send the final answer and end our side; a close at once might overtake the answer."""
        connection.is_answered = True
        connection.close_deadline = min(connection.close_deadline, now() + sockets.DRAIN_TIMEOUT)
        try:
            if answer:
                connection.sock.send(answer, socket.MSG_DONTWAIT)
            connection.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close(connection)

    def shutdown_unanswered(self) -> None:
        """Read what has come until now, and end our side of the connections that have no answer."""
        for connection in self.all():
            if not connection.is_answered:
                self.handle_readable(connection)
            if not connection.is_answered and self._is_pending(connection):
                self.answer_and_shutdown(connection, b"")

    def close(self, connection: PendingConnection) -> None:
        """Close a connection, whether it is still in the table or not."""
        if self._is_pending(connection):
            self._release(connection)
        connection.sock.close()

    def close_all(self) -> None:
        """Close every connection."""
        for connection in self.all():
            self.close(connection)

    def _is_pending(self, connection: PendingConnection) -> bool:
        return self._by_descriptor.get(connection.sock.fileno()) is connection

    def _release(self, connection: PendingConnection) -> None:
        self._poll.unregister(connection.sock)
        del self._by_descriptor[connection.sock.fileno()]

    def _read(self, connection: PendingConnection) -> None:
        if connection.is_answered:
            self._discard(connection)
            return
        data = connection.sock.recv(2 * protocol.MAX_LINE_BYTES, socket.MSG_DONTWAIT)
        arrived = now()
        if not data:
            self.close(connection)  # an incomplete line and a close asks for nothing
            return
        lines = connection.buffer.feed(data)
        for line in lines:
            if protocol.strip_line_end(line) == protocol.PING:
                self._answer_ping(connection, arrived)
            elif len(lines) > 1 or connection.buffer.partial_line:
                raise protocol.LineError("more than one line before UP")
            else:
                self._admit(connection, protocol.parse_opening(line), arrived)

    def _discard(self, connection: PendingConnection) -> None:
        """Read away what an answered client still sends, within a bound."""
        # TCP drops what is read with MSG_TRUNC without a copy: a flood costs the interpreter little.
        flags = socket.MSG_DONTWAIT | socket.MSG_TRUNC
        size = connection.sock.recv_into(self._discard_buffer, 0, flags)
        connection.discarded_bytes += size
        if not size or connection.discarded_bytes > sockets.MAX_DRAIN_BYTES:
            self.close(connection)

    def _admit(self, connection: PendingConnection, opening: protocol.Opening, arrived: timedelta) -> None:
        answer = self._admitter.admit(connection.sock, opening, arrived, lambda: self._release(connection))
        if answer:
            self.answer_and_shutdown(connection, answer)

    def _answer_ping(self, connection: PendingConnection, arrived: timedelta) -> None:
        connection.count_ping(arrived)
        if not self._admitter.is_ready:
            # The connection ends as well: the front end keeps none to a node in standby.
            self.answer_and_shutdown(connection, protocol.BUSY + b"\r\n")
            return
        connection.sock.send(protocol.PONG + b"\r\n", socket.MSG_DONTWAIT)
        connection.extend_deadlines(arrived)
