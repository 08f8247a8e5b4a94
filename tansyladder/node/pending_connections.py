"""Connections that have not sent a valid first line yet: their deadlines, their lines and their end."""

from __future__ import annotations

import select
import socket
from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from typing import Protocol

from tansyladder.log import LogEvent, log
from tansyladder.log_events import ClientRejectionReason, LineSource
from tansyladder.net import protocol, sockets
from tansyladder.net.clock import now

# A client without a complete first line is answered ERR after FIRST_LINE_TIMEOUT and closed after
# PENDING_LIFETIME: within 3 s after the accept, however slowly its bytes arrive and however busy the node is.
FIRST_LINE_TIMEOUT = timedelta(seconds=1.8)
PENDING_LIFETIME = timedelta(seconds=2.3)
PING_IDLE_TIMEOUT = timedelta(seconds=60)  # between two PINGs of the front end on one connection
MAX_PINGS_PER_SECOND = 20  # a front end waits for each answer; more PINGs are a flood
PING_WINDOW = timedelta(seconds=1)  # over which MAX_PINGS_PER_SECOND applies
# A connection can be evicted once it has been silent for this long; before, its first line may still arrive.
# While the table is full of younger connections, new ones wait in the listener's queue.
MIN_SILENCE = timedelta(milliseconds=50)
DISCARD_BUFFER_BYTES = 1 << 16  # read at once from an answered client that still sends


class RequestAdmitter(Protocol):
    """Decides on first lines. All of its members are used on the acceptor's thread."""

    @property
    def is_ready(self) -> bool:
        """Whether a PING is answered with PONG."""

    @property
    def retry_after(self) -> timedelta:
        """How long a rejected client has to wait before a retry."""

    def admit(
        self,
        sock: socket.socket,
        opening: protocol.Opening,
        arrived_at: timedelta,
        release_socket: Callable[[], None],
    ) -> bytes:
        """Call `release_socket` and take the connection over, or return the rejecting answer."""

    def record_invalid_line(self) -> None:
        """Count a first line that could not be parsed."""

    def record_rejection(self, line: bytes) -> None:
        """Count a request that was rejected before it was parsed."""

    def record_departure(self, opening: protocol.Opening) -> None:
        """Count a request whose client had disconnected before it could be admitted."""


class PendingState(Enum):
    """What a pending connection is waiting for; a state is entered only from those listed before it."""

    AWAITING_LINE = "awaiting line"  # its first line, or a front end's next PING
    ANSWERED = "answered"  # its final answer was sent; only the client's end is awaited
    REMOVED = "removed"  # no longer in the table: closed, or served by a thread of its own


class PendingConnection:
    """A connection that has not sent a valid OPEN. Owned by the acceptor's thread."""

    __slots__ = (
        "buffer",
        "close_deadline",
        "discarded_bytes",
        "first_line_deadline",
        "last_line_at",
        "ping_count",
        "ping_window_start",
        "sock",
        "state",
    )

    def __init__(self, sock: socket.socket) -> None:
        sockets.disable_send_delay(sock)
        self.sock = sock
        self.state = PendingState.AWAITING_LINE
        self.buffer = protocol.LineBuffer()
        # Only a complete PING extends the deadlines; a part of a line does not.
        self.last_line_at = now()
        self.first_line_deadline = self.last_line_at + FIRST_LINE_TIMEOUT
        self.close_deadline = self.last_line_at + PENDING_LIFETIME
        self.discarded_bytes = 0
        self.ping_count = 0
        self.ping_window_start = timedelta(0)

    @property
    def is_awaiting_line(self) -> bool:
        """Whether it is in the table and has no final answer yet."""
        return self.state is PendingState.AWAITING_LINE

    @property
    def may_receive_first_line(self) -> bool:
        """Whether its first line may still arrive; after a PING, only if a part of the line has arrived."""
        return self.is_awaiting_line and bool(self.buffer.partial_line or not self.ping_count)

    def count_ping(self, arrived_at: timedelta) -> None:
        """Count a PING.

        Raises:
            LineError: There were more than `MAX_PINGS_PER_SECOND`.
        """
        if arrived_at - self.ping_window_start >= PING_WINDOW:
            self.ping_count = 0
            self.ping_window_start = arrived_at
        self.ping_count += 1
        if self.ping_count > MAX_PINGS_PER_SECOND:
            raise protocol.LineError(f"more than {MAX_PINGS_PER_SECOND} PINGs within a second")

    def extend_deadlines(self, arrived_at: timedelta) -> None:
        """Extend the deadlines to the front end's next line, after an answered PING."""
        self.last_line_at = arrived_at
        self.first_line_deadline = arrived_at + PING_IDLE_TIMEOUT
        # The close comes later than ERR, because a close with an unread request would send a reset.
        self.close_deadline = self.first_line_deadline + sockets.DRAIN_TIMEOUT


def send_final_answer(sock: socket.socket, answer: bytes) -> None:
    """Send an answer without blocking, then shut down the sending side; an empty answer is not sent.

    Raises:
        OSError: The connection is broken, or its send buffer is full.
    """
    if answer:
        sock.send(answer, socket.MSG_DONTWAIT)
    sock.shutdown(socket.SHUT_WR)


def _eviction_sort_key(connection: PendingConnection) -> tuple[bool, timedelta]:
    """Return the sort key of evictions: answered connections first, then by the time of the last line."""
    return connection.is_awaiting_line, connection.last_line_at


class PendingConnections:
    """The table of pending connections. Owned by the acceptor's thread, which never blocks on one of them.

    Other threads may only read `count` and `may_receive_first_line`.
    """

    def __init__(self, poll: select.poll, admitter: RequestAdmitter) -> None:
        """`poll`: the acceptor's; connections are registered with it while they are pending."""
        self._poll = poll
        self._admitter = admitter
        self._by_descriptor: dict[int, PendingConnection] = {}
        self._discard_buffer = bytearray(DISCARD_BUFFER_BYTES)

    @property
    def count(self) -> int:
        """The number of pending connections."""
        return len(self._by_descriptor)

    @property
    def may_receive_first_line(self) -> bool:
        """Whether a first line may still arrive on a pending connection."""
        return any(connection.may_receive_first_line for connection in self.all())

    def all(self) -> list[PendingConnection]:
        """Return a list of the pending connections, which later changes do not affect."""
        return list(self._by_descriptor.values())

    def get(self, descriptor: int) -> PendingConnection | None:
        """Return the connection with a descriptor; None if it is no longer pending."""
        return self._by_descriptor.get(descriptor)

    def add(self, sock: socket.socket) -> None:
        """Add an accepted connection, and read what has already arrived on it."""
        connection = self._by_descriptor[sock.fileno()] = PendingConnection(sock)
        self._poll.register(sock, select.POLLIN)
        self.handle_readable(connection)  # most first lines have already arrived

    def handle_readable(self, connection: PendingConnection) -> None:
        """Read from a connection; an error on it affects no other connection."""
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
        except Exception as err:  # noqa: BLE001 - an error in one client's request must not end the acceptor
            log(LogEvent.INTERNAL_ERROR, error=repr(err))
            self.answer_and_shutdown(connection, protocol.ERR + b"\r\n")

    def check_all_deadlines(self, moment: timedelta) -> None:
        """Check the deadlines of every connection."""
        for connection in self.all():
            self.check_deadlines(connection, moment)

    def check_deadlines(self, connection: PendingConnection, moment: timedelta) -> None:
        """Answer ERR on a connection whose first line is overdue; close one whose lifetime has ended."""
        if moment >= connection.close_deadline:
            self.close(connection)
        elif moment >= connection.first_line_deadline and connection.is_awaiting_line:
            log(LogEvent.INVALID_LINE, source=LineSource.CLIENT, error="no complete line before the deadline")
            self.answer_and_shutdown(connection, protocol.ERR + b"\r\n")

    def evict_one(self) -> bool:
        """Make room in the table; return False if all connections are too young to be evicted.

        An answered connection is evicted first, then the one whose last line is the oldest. A client that
        sent one PING or a part of a line and then nothing counts as silent too: if such clients filled the
        table, each new client would otherwise be evicted, or would have to wait.
        """
        oldest = min(self._by_descriptor.values(), key=_eviction_sort_key)
        if oldest.is_awaiting_line:
            if now() - oldest.last_line_at < MIN_SILENCE:
                return False
            self.handle_readable(oldest)  # its first line may have arrived without being read
        if oldest.is_awaiting_line:
            log(LogEvent.CLIENT_REJECTED, reason=ClientRejectionReason.PENDING_EVICTED)
            # A first line that arrives at this moment gets the same answer.
            self.answer_and_shutdown(oldest, protocol.format_reject(self._admitter.retry_after))
        if oldest.state is not PendingState.REMOVED:  # it may have been admitted meanwhile
            self.close(oldest)
        return True

    def answer_and_shutdown(self, connection: PendingConnection, answer: bytes) -> None:
        """Send the final answer and shut down the sending side; closing at once might lose the answer."""
        if connection.is_awaiting_line:
            connection.state = PendingState.ANSWERED
        connection.close_deadline = min(connection.close_deadline, now() + sockets.DRAIN_TIMEOUT)
        try:
            send_final_answer(connection.sock, answer)
        except OSError:
            self.close(connection)

    def shutdown_unanswered(self) -> None:
        """Read what has arrived so far, and shut down the sending side of connections without an answer."""
        for connection in self.all():
            if connection.is_awaiting_line:
                self.handle_readable(connection)
            if connection.is_awaiting_line:
                self.answer_and_shutdown(connection, b"")

    def close(self, connection: PendingConnection) -> None:
        """Close a connection, whether it is still in the table or not."""
        if connection.state is not PendingState.REMOVED:
            self._release(connection)
        connection.sock.close()

    def close_all(self) -> None:
        """Close every connection."""
        for connection in self.all():
            self.close(connection)

    def _release(self, connection: PendingConnection) -> None:
        """Remove a connection from the table without closing it."""
        connection.state = PendingState.REMOVED
        self._poll.unregister(connection.sock)
        del self._by_descriptor[connection.sock.fileno()]

    def _read(self, connection: PendingConnection) -> None:
        """Read what has arrived on a connection, and handle the complete lines of it."""
        if connection.state is PendingState.ANSWERED:
            self._discard(connection)
            return
        data = connection.sock.recv(2 * protocol.MAX_LINE_BYTES, socket.MSG_DONTWAIT)
        arrived_at = now()
        if not data:
            self.close(connection)  # the client has disconnected; an incomplete line is no request
            return
        lines = connection.buffer.feed(data)
        for line in lines:
            if protocol.strip_line_end(line) == protocol.PING:
                self._answer_ping(connection, arrived_at)
            elif len(lines) > 1 or connection.buffer.partial_line:
                raise protocol.LineError("more than one line was sent before UP")
            else:
                self._admit(connection, protocol.parse_opening(line), arrived_at)

    def _discard(self, connection: PendingConnection) -> None:
        """Discard what an answered client still sends; close a connection that sends too much."""
        # With MSG_TRUNC, TCP drops the data without a copy: a flood costs little.
        flags = socket.MSG_DONTWAIT | socket.MSG_TRUNC
        size = connection.sock.recv_into(self._discard_buffer, 0, flags)
        connection.discarded_bytes += size
        if not size or connection.discarded_bytes > sockets.MAX_DRAIN_BYTES:
            self.close(connection)

    def _admit(self, connection: PendingConnection, opening: protocol.Opening, arrived_at: timedelta) -> None:
        """Have a request served or rejected, unless its client has disconnected already.

        Such a request is not worth a thread: one client that connects and leaves at full speed would
        otherwise keep all others waiting in the listener's queue.
        """
        if sockets.is_disconnected(connection.sock):
            self._admitter.record_departure(opening)
            self.close(connection)
            return
        answer = self._admitter.admit(connection.sock, opening, arrived_at, lambda: self._release(connection))
        if answer:
            self.answer_and_shutdown(connection, answer)

    def _answer_ping(self, connection: PendingConnection, arrived_at: timedelta) -> None:
        connection.count_ping(arrived_at)
        if not self._admitter.is_ready:
            # The connection ends as well, because a front end keeps none to a node in standby.
            self.answer_and_shutdown(connection, protocol.BUSY + b"\r\n")
            return
        connection.sock.send(protocol.PONG + b"\r\n", socket.MSG_DONTWAIT)
        connection.extend_deadlines(arrived_at)
