"""Accepts connections and waits for their first lines, on one thread that never blocks on a client."""

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
PENDING_CLOSE_TIMEOUT = timedelta(milliseconds=150)  # at shutdown, for clients to disconnect
ACCEPT_RETRY_DELAY = timedelta(milliseconds=20)  # after an accept failed for lack of descriptors
CLOSED_LISTENER_ERRORS = (errno.EBADF, errno.EINVAL)  # raised by accept after the listener was shut down
DESCRIPTOR_LIMIT_ERRORS = (errno.EMFILE, errno.ENFILE)
NO_DESCRIPTOR = -1
# The events for which the poll watches the listener.
NEW_CONNECTIONS = select.POLLIN
NO_EVENTS = 0


class ConnectionAcceptor:
    """Accepts connections and holds them until their first line is valid.

    Pending connections have their own limit, and each uses one descriptor and no thread: hundreds of clients
    that send nothing, or that are being sent an error, take no resources from the clients that are served.

    The thread of `run` owns all state. Other threads may read the properties, and may call `yield_queue`,
    `reclaim_queue` and `stop`, which change the lifecycle under its lock and wake the poll.
    """

    def __init__(self, listener: socket.socket, max_pending: int, admitter: RequestAdmitter) -> None:
        """`max_pending`: how many connections may wait for a valid first line at the same time."""
        self._listener = listener
        self._max_pending = max_pending
        self._admitter = admitter
        self._lifecycle = AcceptorLifecycle()
        # Not derived from the lifecycle alone: the poll also ignores the listener while the table of pending
        # connections is full. Only the acceptor's thread writes it.
        self._listener_events = NEW_CONNECTIONS
        self._wakeup = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._poll = select.poll()
        self._pending = PendingConnections(self._poll, admitter)
        # Closed when no other descriptor is left, so that a client can still be accepted and rejected.
        self._reserve_descriptor = os.open(os.devnull, os.O_RDONLY)
        listener.settimeout(0)  # non-blocking
        self._poll.register(listener, self._listener_events)
        self._poll.register(self._wakeup, select.POLLIN)

    @property
    def pending_count(self) -> int:
        """The number of connections that have not sent a valid first line. Thread-safe."""
        return self._pending.count

    @property
    def may_receive_first_line(self) -> bool:
        """Whether a first line may still arrive on a pending connection. Thread-safe."""
        return self._pending.may_receive_first_line

    def yield_queue(self) -> None:
        """Leave the listener's queue to another process. Thread-safe."""
        self._apply(AcceptorEvent.QUEUE_YIELDED)

    def reclaim_queue(self) -> None:
        """Accept from the listener's queue again. Thread-safe."""
        self._apply(AcceptorEvent.QUEUE_RECLAIMED)

    def stop(self) -> None:
        """Make `run` answer or close the clients that have arrived, and return. Thread-safe."""
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
                self._update_listener_watch()  # resumes accepting after the table was full
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
            self._update_listener_watch()
        elif descriptor == self._listener.fileno() and not self._lifecycle.state.is_yielded:
            self._accept_batch()

    def _finish(self) -> None:
        """Answer what has arrived so far, then close the pending connections, without a reset if possible.

        Closing a socket with unread input sends a reset. The sending sides are therefore shut down first, and
        what arrives after that is discarded until the deadline; it must not be served.
        """
        deadline = now() + PENDING_CLOSE_TIMEOUT
        while not self._lifecycle.state.is_yielded and now() < deadline and self._accept_batch():
            pass
        self._pending.shutdown_unanswered()
        self._poll.unregister(self._wakeup)  # it may still be readable, and the poll would spin
        with contextlib.suppress(OSError, KeyError):  # the listener was shut down
            self._poll.unregister(self._listener)
        self._discard_until(deadline)
        self._pending.close_all()

    def _discard_until(self, deadline: timedelta) -> None:
        """Read what answered clients still send, until all have disconnected or the deadline has passed."""
        while self._pending.count and now() < deadline:
            for descriptor in sockets.poll_until(self._poll, deadline):
                if (connection := self._pending.get(descriptor)) is not None:
                    self._pending.handle_readable(connection)

    def _accept_batch(self) -> bool:
        """Accept a batch of connections; return whether more may be in the queue."""
        for _ in range(ACCEPT_BATCH_SIZE):
            if self._pending.count >= self._max_pending and not self._pending.evict_one():
                self._set_listener_events(NO_EVENTS)
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

    def _update_listener_watch(self) -> None:
        """Make the poll watch the listener, unless another process accepts from its queue."""
        self._set_listener_events(NO_EVENTS if self._lifecycle.state.is_yielded else NEW_CONNECTIONS)

    def _set_listener_events(self, events: int) -> None:
        """Make the poll watch the listener for events; NO_EVENTS leaves new connections in its queue."""
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
        """Close a pending connection; if there is none, use the reserve descriptor to reject a client."""
        if self._pending.count and self._pending.evict_one():
            return
        if self._reserve_descriptor != NO_DESCRIPTOR:
            os.close(self._reserve_descriptor)
            self._reserve_descriptor = NO_DESCRIPTOR  # it must not be closed twice: the number may be reused
        try:
            self._reject_next()
        except OSError:
            # No client could be accepted; without a pause the accept loop would spin.
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
