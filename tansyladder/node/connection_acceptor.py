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
from tansyladder.node.acceptor_state import AcceptorEvent, AcceptorLifecycle
from tansyladder.node.pending_connections import PendingConnections, RequestAdmitter, send_final_answer

EXPIRY_CHECK_INTERVAL = timedelta(milliseconds=20)  # between two checks of the pending connections' deadlines
EXPIRY_CHECK_INTERVAL_MS = EXPIRY_CHECK_INTERVAL / timedelta(milliseconds=1)
ACCEPT_BATCH_SIZE = 16  # connections accepted in a row before pending ones are read again
PENDING_CLOSE_TIMEOUT = timedelta(milliseconds=150)  # at the end, for clients to end their sides
ACCEPT_RETRY_DELAY = timedelta(milliseconds=20)  # after an accept that found no descriptor
CLOSED_LISTENER_ERRORS = (errno.EBADF, errno.EINVAL)  # of an accept, once the listener was shut down
DESCRIPTOR_LIMIT_ERRORS = (errno.EMFILE, errno.ENFILE)
NO_DESCRIPTOR = -1
# What the poll watches the listener for.
NEW_CONNECTIONS = select.POLLIN
NOTHING = 0


class ConnectionAcceptor:
    """Accepts connections and holds them until their first line is valid.

    Pending connections have a limit of their own and cost one descriptor each and no thread: hundreds of
    clients that send nothing, or are being answered an error, take nothing from the clients that are served.

    `run` owns everything on its own thread. Other threads may call `yield_queue`, `reclaim_queue`, `stop` and
    the properties: each changes the lifecycle, which has a lock, and wakes the poll.
    """

    def __init__(self, listener: socket.socket, max_pending: int, admitter: RequestAdmitter) -> None:
        """`max_pending`: how many connections may be without a valid first line at once."""
        self._listener = listener
        self._max_pending = max_pending
        self._admitter = admitter
        self._lifecycle = AcceptorLifecycle()
        # Independent of the lifecycle, and written by the acceptor's thread alone: the poll also leaves the
        # listener out while the table of pending connections is full.
        self._listener_events = NEW_CONNECTIONS
        self._wakeup = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._poll = select.poll()
        self._pending = PendingConnections(self._poll, admitter)
        # Closed when no descriptor is left, so that a client can still be accepted and rejected.
        self._reserve_descriptor = os.open(os.devnull, os.O_RDONLY)
        listener.settimeout(0)  # it does not block
        self._poll.register(listener, self._listener_events)
        self._poll.register(self._wakeup, select.POLLIN)

    @property
    def pending_count(self) -> int:
        """How many connections have not sent a valid first line. Thread-safe."""
        return self._pending.count

    @property
    def is_expecting_lines(self) -> bool:
        """Whether some connection's first line may be on its way. Thread-safe."""
        return self._pending.is_expecting_lines

    def yield_queue(self) -> None:
        """Leave the listener's queue to another process. Thread-safe."""
        self._apply(AcceptorEvent.QUEUE_YIELDED)

    def reclaim_queue(self) -> None:
        """Accept from the listener's queue again. Thread-safe."""
        self._apply(AcceptorEvent.QUEUE_RECLAIMED)

    def stop(self) -> None:
        """End `run`: pending clients are answered or closed, no other is accepted. Thread-safe."""
        self._apply(AcceptorEvent.STOPPED)

    def run(self) -> None:
        """Accept and read until `stop` is called or the listener is shut down."""
        last_check = now()
        while not self._lifecycle.state.is_stopping:
            for descriptor, _ in self._poll.poll(EXPIRY_CHECK_INTERVAL_MS if self._pending.count else None):
                self._handle_ready(descriptor)
            if now() - last_check >= EXPIRY_CHECK_INTERVAL:
                last_check = now()
                self._pending.check_all_deadlines(last_check)
                self._watch_own_queue()  # again, where the table was full
        self._finish()

    def _apply(self, event: AcceptorEvent) -> None:
        """Change the state and wake the acceptor's thread."""
        self._lifecycle.apply(event)
        os.eventfd_write(self._wakeup, 1)

    def _handle_ready(self, descriptor: int) -> None:
        connection = self._pending.get(descriptor)
        if connection is not None:
            self._pending.handle_readable(connection)
        elif descriptor == self._wakeup:
            os.eventfd_read(self._wakeup)
            self._watch_own_queue()
        elif descriptor == self._listener.fileno() and not self._lifecycle.state.is_yielded:
            self._accept_batch()

    def _finish(self) -> None:
        """Answer what has arrived until now, and cut no client off in the middle of a line.

        Our sending sides are ended first, and what still arrives is read to its end, within a limit: closing
        over unread bytes would send a reset. What is read after our end must not be served.
        """
        deadline = now() + PENDING_CLOSE_TIMEOUT
        while not self._lifecycle.state.is_yielded and now() < deadline and self._accept_batch():
            pass
        self._pending.shutdown_unanswered()
        self._poll.unregister(self._wakeup)  # it may be readable still, and would spin the poll
        with contextlib.suppress(OSError, KeyError):  # the listener was shut down
            self._poll.unregister(self._listener)
        self._discard_until(deadline)
        self._pending.close_all()

    def _discard_until(self, deadline: timedelta) -> None:
        """Read what answered clients still send, until all have ended their sides or the deadline."""
        while self._pending.count and now() < deadline:
            for descriptor in sockets.poll_until(self._poll, deadline):
                if (connection := self._pending.get(descriptor)) is not None:
                    self._pending.handle_readable(connection)

    def _accept_batch(self) -> bool:
        """Accept a batch of connections; return whether more may be in the queue."""
        for _ in range(ACCEPT_BATCH_SIZE):
            if self._pending.count >= self._max_pending and not self._pending.evict_one():
                self._watch_listener(NOTHING)
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

    def _watch_own_queue(self) -> None:
        """Have the poll watch the listener, unless another process accepts from its queue."""
        self._watch_listener(NOTHING if self._lifecycle.state.is_yielded else NEW_CONNECTIONS)

    def _watch_listener(self, events: int) -> None:
        """Have the poll watch the listener for these events; NOTHING leaves new connections in its queue."""
        if events != self._listener_events:
            self._listener_events = events
            with contextlib.suppress(OSError):  # the listener was shut down
                self._poll.modify(self._listener, events)

    def _handle_accept_error(self, err: OSError) -> None:
        if err.errno in CLOSED_LISTENER_ERRORS:
            self._lifecycle.apply(AcceptorEvent.STOPPED)
            return
        log(LogEvent.ACCEPT_FAILED, error=err)
        if err.errno in DESCRIPTOR_LIMIT_ERRORS:
            self._handle_descriptor_exhaustion()

    def _handle_descriptor_exhaustion(self) -> None:
        """Close a pending connection; where there is none, reject a client with the reserve descriptor."""
        if self._pending.count and self._pending.evict_one():
            return
        if self._reserve_descriptor != NO_DESCRIPTOR:
            os.close(self._reserve_descriptor)
            self._reserve_descriptor = NO_DESCRIPTOR  # the number may be reused: it must not be closed twice
        try:
            self._reject_next()
        except OSError:
            # No client could be accepted: the next attempt must not spin.
            threading.Event().wait(ACCEPT_RETRY_DELAY.total_seconds())
        finally:
            with contextlib.suppress(OSError):
                self._reserve_descriptor = os.open(os.devnull, os.O_RDONLY)

    def _reject_next(self) -> None:
        """Accept one connection, reject it and close it at once."""
        sock, _ = self._listener.accept()
        with sock:
            sockets.disable_send_delay(sock)
            log(LogEvent.CLIENT_REJECTED, reason=ClientRejectionReason.DESCRIPTOR_LIMIT)
            with contextlib.suppress(OSError):
                self._admitter.record_rejection(sock.recv(protocol.MAX_LINE_BYTES, socket.MSG_DONTWAIT))
            with contextlib.suppress(OSError):
                send_final_answer(sock, protocol.format_reject(self._admitter.retry_after))
