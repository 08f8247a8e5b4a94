"""Accepts connections, reads their first lines and hands valid requests to the listener; one thread."""

from __future__ import annotations

import contextlib
import errno
import os
import select
import socket
import threading
from datetime import timedelta
from typing import TYPE_CHECKING

from tansyladder.log import LogEvent, log
from tansyladder.net import protocol, sockets
from tansyladder.net.clock import now, seconds_left

if TYPE_CHECKING:
    from tansyladder.node.client_listener import ClientListener

# A client without a complete first line is answered ERR at the first deadline and closed at the second: under
# 3 s after the accept, however slowly its bytes come and however busy the node is.
FIRST_LINE_TIMEOUT = timedelta(seconds=1.8)
PENDING_LIFETIME = timedelta(seconds=2.3)
PING_IDLE_TIMEOUT = timedelta(seconds=60)  # between two PINGs of the front end on one connection
MAX_PINGS_PER_SECOND = 20  # a front end asks and waits for the answer; more is a flood
EXPIRY_CHECK_INTERVAL = timedelta(milliseconds=20)  # between two checks of the deadlines
# A connection this young has its line on the way: where too many come at once, the next ones wait in the
# listener's queue for this long, and only then one of the table counts as silent.
MIN_SILENCE = timedelta(milliseconds=50)
ACCEPT_BATCH_SIZE = 16  # connections accepted before those that are there are read
DISCARD_BUFFER_BYTES = 1 << 16
PENDING_CLOSE_TIMEOUT = timedelta(milliseconds=150)  # the same for a client that sent no valid OPEN
ACCEPT_RETRY_DELAY = timedelta(milliseconds=20)  # after an accept that failed for want of descriptors


class PendingConnection:
    """A connection that has not sent a valid OPEN."""

    __slots__ = (
        "buffer",
        "first_line_deadline",
        "close_deadline",
        "last_line_at",
        "ping_count",
        "ping_window_start",
        "discarded_bytes",
        "sock",
        "is_answered",
    )

    def __init__(self, sock: socket.socket) -> None:
        # Half a line is as good as none; only a whole PING sets the moment on.
        self.sock, self.buffer, self.last_line_at = sock, protocol.LineBuffer(), now()
        sockets.disable_send_delay(sock)
        self.first_line_deadline, self.close_deadline = (
            self.last_line_at + FIRST_LINE_TIMEOUT,
            self.last_line_at + PENDING_LIFETIME,
        )
        self.is_answered = False  # whether it has its answer, and only its own end is waited for
        self.discarded_bytes = 0
        self.ping_count, self.ping_window_start = 0, timedelta(0)


class ConnectionAcceptor:
    """One thread takes connections in and hears first lines; it reads what is there and waits on nobody.

    Newcomers have a bound of their own and cost a descriptor each, no thread: hundreds that say nothing, or
    that are told of their errors, take nothing from the clients that are served.
    """

    def __init__(self, listener: socket.socket, max_pending: int, owner: ClientListener) -> None:
        self._listener, self._max_pending, self._owner = listener, max_pending, owner
        self._pending: dict[int, PendingConnection] = {}
        self._is_paused = self._is_yielded = self._is_stopping = False
        self._wakeup = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._poll = select.poll()
        self._discard_buffer = bytearray(DISCARD_BUFFER_BYTES)
        # Kept for the moment when no descriptor is left: a full table must not leave clients unanswered.
        self._reserve_descriptor = os.open(os.devnull, os.O_RDONLY)
        listener.setblocking(False)
        self._poll.register(listener, select.POLLIN)
        self._poll.register(self._wakeup, select.POLLIN)

    @property
    def pending_count(self) -> int:
        return len(self._pending)

    @property
    def is_expecting_lines(self) -> bool:
        """Whether somebody's first line may be on its way; a front that only asks PING rests."""
        untold = [connection for connection in list(self._pending.values()) if not connection.is_answered]
        return any(connection.buffer.partial_line or not connection.ping_count for connection in untold)

    def yield_queue(self, on: bool) -> None:
        """Leave the listener's queue to another process from now on, or take from it again."""
        self._is_yielded = on
        os.eventfd_write(self._wakeup, 1)

    def stop(self) -> None:
        """Who is there is answered or told the end; nobody is taken in or heard after that."""
        self._is_stopping = True
        os.eventfd_write(self._wakeup, 1)

    def run(self) -> None:
        """Until it is ended."""
        last_check = now()
        while not self._is_stopping:
            for fd, _ in self._poll.poll(
                EXPIRY_CHECK_INTERVAL / timedelta(milliseconds=1) if self._pending else None
            ):
                connection = self._pending.get(fd)  # one that has been closed meanwhile is not there
                if connection is not None:
                    self._handle_readable(connection)
                elif fd == self._wakeup:
                    os.eventfd_read(self._wakeup)
                    self._set_paused(self._is_yielded)
                elif fd == self._listener.fileno() and not self._is_yielded:
                    self._accept_batch()
            if now() - last_check >= EXPIRY_CHECK_INTERVAL:
                last_check = now()
                for connection in list(self._pending.values()):
                    self._check_deadlines(connection, last_check)
                self._set_paused(self._is_yielded)
        self._close_pending()

    def _close_pending(self) -> None:
        """The end: what has come until now is answered, and nobody is cut off in the middle of a line.

        The sending sides are ended first, and what still comes is read to its end, within a bound: a close
        over unread bytes is a reset, and what was read after our end must not be served.
        """
        until = now() + PENDING_CLOSE_TIMEOUT
        while not self._is_yielded and now() < until and self._accept_batch():
            pass
        for connection in list(self._pending.values()):
            if not connection.is_answered:
                self._handle_readable(connection)
            if not connection.is_answered and self._pending.get(connection.sock.fileno()) is connection:
                self._answer_and_shutdown(connection, b"")
        self._poll.unregister(self._wakeup)  # it may be readable still, and would spin the poll
        with contextlib.suppress(OSError, KeyError):  # the listener was shut down
            self._poll.unregister(self._listener)
        while self._pending and now() < until:
            for fd, _ in self._poll.poll(-(-seconds_left(until) * 1000 // 1)):
                if (closing := self._pending.get(fd)) is not None:
                    self._handle_readable(closing)
        for connection in list(self._pending.values()):
            self._close(connection)

    # --- taking in

    def _accept_batch(self) -> bool:
        """Take a few connections in; whether more may be there."""
        for _ in range(ACCEPT_BATCH_SIZE):
            if len(self._pending) >= self._max_pending and not self._evict_one():
                self._set_paused(True)
                return False
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                return False
            except OSError as err:
                if err.errno in (errno.EBADF, errno.EINVAL):
                    self._is_stopping = True  # it was shut down
                    return False
                log(LogEvent.ACCEPT_FAILED, why=err)
                if err.errno in (errno.EMFILE, errno.ENFILE):
                    self._handle_descriptor_exhaustion()
                return False
            connection = self._pending[sock.fileno()] = PendingConnection(sock)
            self._poll.register(sock, select.POLLIN)
            self._handle_readable(connection)  # most lines are there already
        return True

    def _set_paused(self, on: bool) -> None:
        """Leave who comes in the listener's queue, or look there again."""
        if on is not self._is_paused:
            self._is_paused = on
            with contextlib.suppress(OSError):  # it was shut down
                self._poll.modify(self._listener, 0 if on else select.POLLIN)

    def _evict_one(self) -> bool:
        """The oldest one that has its answer goes, else the longest silent one; False where all are young.

        Whoever sent PING or half a line once and stays is no better: where such ones fill the table, each new
        client would be the one to go, or to wait.
        """
        oldest = min(
            self._pending.values(),
            key=lambda pending: (not pending.is_answered, pending.last_line_at),
        )
        if not oldest.is_answered:
            if now() - oldest.last_line_at < MIN_SILENCE:
                return False
            self._handle_readable(oldest)  # its line may be there unread
        if self._pending.get(oldest.sock.fileno()) is oldest:
            if not oldest.is_answered:
                log(LogEvent.CLIENT_REJECTED, why="silent")
                # Its line may come in this instant: then this is its answer.
                self._answer_and_shutdown(oldest, protocol.format_reject(self._owner.retry_after))
            self._close(oldest)
        return True

    def _handle_descriptor_exhaustion(self) -> None:
        """A newcomer goes; where there is none, the reserved one takes a client in to be turned away."""
        if self._pending and self._evict_one():
            return
        if self._reserve_descriptor >= 0:
            os.close(self._reserve_descriptor)
            self._reserve_descriptor = -1  # its number may be another's at once: it must not be closed twice
        try:
            sock, _ = self._listener.accept()
            connection = PendingConnection(sock)
            log(LogEvent.CLIENT_REJECTED, why="descriptors")
            with contextlib.suppress(OSError):
                self._owner.record_rejection(sock.recv(protocol.MAX_LINE_BYTES, socket.MSG_DONTWAIT))
            self._answer_and_shutdown(connection, protocol.format_reject(self._owner.retry_after))
            sock.close()
        except OSError:
            _sleep_until(now() + ACCEPT_RETRY_DELAY)  # nobody could be taken in: the next try must not spin
        finally:
            with contextlib.suppress(OSError):
                self._reserve_descriptor = os.open(os.devnull, os.O_RDONLY)

    # --- hearing

    def _handle_readable(self, connection: PendingConnection) -> None:
        """Hear a newcomer; whatever it sent costs nobody else anything."""
        try:
            self._read(connection)
        except BlockingIOError:
            pass
        except protocol.LineError as err:
            log(LogEvent.INVALID_LINE, where="client", why=err)
            self._owner.record_invalid_line()
            self._answer_and_shutdown(connection, protocol.ERR + b"\r\n")
        except OSError:
            self._close(connection)
        except Exception as err:
            log(LogEvent.INTERNAL_ERROR, why=repr(err))
            self._answer_and_shutdown(connection, protocol.ERR + b"\r\n")

    def _read(self, connection: PendingConnection) -> None:
        sock = connection.sock
        if connection.is_answered:
            # TCP drops what is read with MSG_TRUNC without a copy: a flood costs the interpreter little.
            size = sock.recv_into(self._discard_buffer, 0, socket.MSG_DONTWAIT | socket.MSG_TRUNC)
            connection.discarded_bytes += size
            if not size or connection.discarded_bytes > sockets.MAX_DRAIN_BYTES:
                self._close(connection)
            return
        data = sock.recv(2 * protocol.MAX_LINE_BYTES, socket.MSG_DONTWAIT)
        arrived = now()
        if not data:
            self._close(connection)  # half a line and a close is nobody's business
            return
        lines = connection.buffer.feed(data)
        for line in lines:
            if protocol.strip_line_end(line) == protocol.PING:
                self._answer_ping(connection, arrived)
            elif len(lines) > 1 or connection.buffer.partial_line:
                raise protocol.LineError("more than one line before UP")
            else:
                opening = protocol.parse_opening(line)
                answer = self._owner.admit(sock, opening, arrived, lambda: self._release(connection))
                if answer:
                    self._answer_and_shutdown(connection, answer)

    def _answer_ping(self, connection: PendingConnection, arrived: timedelta) -> None:
        if arrived - connection.ping_window_start >= timedelta(seconds=1):
            connection.ping_count, connection.ping_window_start = 0, arrived
        connection.ping_count += 1
        if connection.ping_count > MAX_PINGS_PER_SECOND:
            raise protocol.LineError("a flood of PINGs")
        if not self._owner.is_ready:
            self._answer_and_shutdown(
                connection, protocol.BUSY + b"\r\n"
            )  # and the end: the front keeps no connection here
            return
        connection.sock.send(protocol.PONG + b"\r\n", socket.MSG_DONTWAIT)
        connection.last_line_at, connection.first_line_deadline = arrived, arrived + PING_IDLE_TIMEOUT
        connection.close_deadline = (
            arrived + PING_IDLE_TIMEOUT + sockets.DRAIN_TIMEOUT
        )  # a request may come in the instant of the end

    def _answer_and_shutdown(self, connection: PendingConnection, answer: bytes) -> None:
        """The final answer, and the end of our side; a close at once might overtake the answer."""
        connection.is_answered = True
        connection.close_deadline = min(connection.close_deadline, now() + sockets.DRAIN_TIMEOUT)
        try:
            if answer:
                connection.sock.send(answer, socket.MSG_DONTWAIT)
            connection.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._close(connection)

    def _check_deadlines(self, connection: PendingConnection, moment: timedelta) -> None:
        """Whoever is out of time goes."""
        if moment >= connection.close_deadline:
            self._close(connection)
        elif moment >= connection.first_line_deadline and not connection.is_answered:
            log(LogEvent.INVALID_LINE, where="client", why="no first line")
            self._answer_and_shutdown(connection, protocol.ERR + b"\r\n")

    def _release(self, connection: PendingConnection) -> None:
        self._poll.unregister(connection.sock)
        del self._pending[connection.sock.fileno()]

    def _close(self, connection: PendingConnection) -> None:
        if self._pending.get(connection.sock.fileno()) is connection:
            self._release(connection)
        connection.sock.close()


def _sleep_until(until: timedelta) -> None:
    threading.Event().wait(seconds_left(until))
