"""Accepts clients' connections and waits for their first lines; one thread, which blocks on no client."""

from __future__ import annotations

import contextlib
import errno
import os
import select
import socket
import threading
from datetime import timedelta

from tansyladder.log import LogEvent, log
from tansyladder.log_events import ClientRejectionReason
from tansyladder.net import protocol, sockets
from tansyladder.net.clock import now
from tansyladder.node.pending_connections import PendingConnection, PendingConnections, RequestAdmitter

EXPIRY_CHECK_INTERVAL = timedelta(milliseconds=20)  # between two checks of the deadlines
EXPIRY_CHECK_INTERVAL_MS = EXPIRY_CHECK_INTERVAL / timedelta(milliseconds=1)
ACCEPT_BATCH_SIZE = 16  # connections accepted before those that are there are read
PENDING_CLOSE_TIMEOUT = timedelta(milliseconds=150)  # at the end, for clients to end their sides
ACCEPT_RETRY_DELAY = timedelta(milliseconds=20)  # after an accept that failed for want of descriptors
CLOSED_LISTENER_ERRORS = (errno.EBADF, errno.EINVAL)  # of an accept, once the listener was shut down
DESCRIPTOR_LIMIT_ERRORS = (errno.EMFILE, errno.ENFILE)


class ConnectionAcceptor:
    """Accepts connections and holds them until their first line is valid.

    Pending connections have a bound of their own and cost a descriptor each, no thread: hundreds that send
    nothing, or that are told of their errors, take nothing from the clients that are served.

    `run` owns everything on its own thread. Other threads may call `yield_queue`, `stop` and the properties:
    each sets one boolean that nothing else writes, and wakes the poll.
    """

    def __init__(self, listener: socket.socket, max_pending: int, admitter: RequestAdmitter) -> None:
        """`max_pending`: how many connections may be without a valid first line at once."""
        self._listener = listener
        self._max_pending = max_pending
        self._admitter = admitter
        self._is_yielded = False  # another process accepts from the listener's queue
        self._is_stopping = False
        self._is_paused = False  # the poll leaves the listener out
        self._wakeup = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._poll = select.poll()
        self._pending = PendingConnections(self._poll, admitter)
        # Kept for the moment when no descriptor is left: a full table must not leave clients unanswered.
        self._reserve_descriptor = os.open(os.devnull, os.O_RDONLY)
        listener.setblocking(False)
        self._poll.register(listener, select.POLLIN)
        self._poll.register(self._wakeup, select.POLLIN)

    @property
    def pending_count(self) -> int:
        """How many connections have not sent a valid first line. Thread-safe."""
        return self._pending.count

    @property
    def is_expecting_lines(self) -> bool:
        """Whether some connection's first line may be on its way. Thread-safe."""
        return self._pending.is_expecting_lines

    def yield_queue(self, is_yielded: bool) -> None:
        """Leave the listener's queue to another process, or accept from it again. Thread-safe."""
        self._is_yielded = is_yielded
        os.eventfd_write(self._wakeup, 1)

    def stop(self) -> None:
        """End `run`: pending clients are answered or closed, no other is accepted. Thread-safe."""
        self._is_stopping = True
        os.eventfd_write(self._wakeup, 1)

    def run(self) -> None:
        """Accept and read until `stop` is called or the listener is shut down."""
        last_check = now()
        while not self._is_stopping:
            for descriptor, _ in self._poll.poll(EXPIRY_CHECK_INTERVAL_MS if self._pending.count else None):
                self._handle_ready(descriptor)
            if now() - last_check >= EXPIRY_CHECK_INTERVAL:
                last_check = now()
                for connection in self._pending.all():
                    self._pending.check_deadlines(connection, last_check)
                self._set_paused(self._is_yielded)  # ends a pause that the limit of pending ones caused
        self._finish()

    def _handle_ready(self, descriptor: int) -> None:
        connection = self._pending.get(descriptor)
        if connection is not None:
            self._pending.handle_readable(connection)
        elif descriptor == self._wakeup:
            os.eventfd_read(self._wakeup)
            self._set_paused(self._is_yielded)
        elif descriptor == self._listener.fileno() and not self._is_yielded:
            self._accept_batch()

    def _finish(self) -> None:
        """Answer what has come until now, and cut nobody off in the middle of a line.

        Our sending sides are ended first, and what still comes is read to its end, within a bound: a close
        over unread bytes is a reset, and what was read after our end must not be served.
        """
        until = now() + PENDING_CLOSE_TIMEOUT
        while not self._is_yielded and now() < until and self._accept_batch():
            pass
        self._pending.shutdown_unanswered()
        self._poll.unregister(self._wakeup)  # it may be readable still, and would spin the poll
        with contextlib.suppress(OSError, KeyError):  # the listener was shut down
            self._poll.unregister(self._listener)
        while self._pending.count and now() < until:
            for descriptor in sockets.poll_until(self._poll, until):
                if (closing := self._pending.get(descriptor)) is not None:
                    self._pending.handle_readable(closing)
        self._pending.close_all()

    def _accept_batch(self) -> bool:
        """Accept a few connections; whether more may be there."""
        for _ in range(ACCEPT_BATCH_SIZE):
            if self._pending.count >= self._max_pending and not self._pending.evict_one():
                self._set_paused(True)
                return False
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                return False
            except OSError as err:
                self._handle_accept_error(err)
                return False
            self._pending.add(sock)
        return True

    def _set_paused(self, is_paused: bool) -> None:
        """Leave new connections in the listener's queue, or accept them again."""
        if is_paused is not self._is_paused:
            self._is_paused = is_paused
            with contextlib.suppress(OSError):  # the listener was shut down
                self._poll.modify(self._listener, 0 if is_paused else select.POLLIN)

    def _handle_accept_error(self, err: OSError) -> None:
        if err.errno in CLOSED_LISTENER_ERRORS:
            self._is_stopping = True
            return
        log(LogEvent.ACCEPT_FAILED, error=err)
        if err.errno in DESCRIPTOR_LIMIT_ERRORS:
            self._handle_descriptor_exhaustion()

    def _handle_descriptor_exhaustion(self) -> None:
        """Close a pending connection; where there is none, reject a client with the reserve descriptor."""
        if self._pending.count and self._pending.evict_one():
            return
        if self._reserve_descriptor >= 0:
            os.close(self._reserve_descriptor)
            self._reserve_descriptor = -1  # its number may be another's at once: it must not be closed twice
        try:
            self._reject_next()
        except OSError:
            # Nobody could be accepted: the next attempt must not spin.
            threading.Event().wait(ACCEPT_RETRY_DELAY.total_seconds())
        finally:
            with contextlib.suppress(OSError):
                self._reserve_descriptor = os.open(os.devnull, os.O_RDONLY)

    def _reject_next(self) -> None:
        """Accept one connection and reject it at once."""
        sock, _ = self._listener.accept()
        connection = PendingConnection(sock)
        log(LogEvent.CLIENT_REJECTED, reason=ClientRejectionReason.DESCRIPTOR_LIMIT)
        with contextlib.suppress(OSError):
            self._admitter.record_rejection(sock.recv(protocol.MAX_LINE_BYTES, socket.MSG_DONTWAIT))
        answer = protocol.format_reject(self._admitter.retry_after)
        self._pending.answer_and_shutdown(connection, answer)
        sock.close()
