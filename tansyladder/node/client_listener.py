"""The listener for clients: admits requests within the node's limits, and drains the node at shutdown."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING

from tansyladder.config.platform import Address
from tansyladder.log import LogEvent, log
from tansyladder.log_events import ClientRejectionReason, LineSource
from tansyladder.net import protocol, sockets
from tansyladder.net.listener_handover import ListenerHandover
from tansyladder.net.protocol import RESUME_TOKEN_FIELD, Opening
from tansyladder.node.admission_control import AdmissionControl
from tansyladder.node.connection_acceptor import PENDING_CLOSE_TIMEOUT, ConnectionAcceptor
from tansyladder.node.connection_drainer import ConnectionDrainer
from tansyladder.node.connection_threads import ConnectionThreads
from tansyladder.node.context import ConnectionServices, NodeContext
from tansyladder.node.decision_gate import DecisionGate
from tansyladder.node.handover_owner import HandoverOwner
from tansyladder.node.metrics import RequestOutcome

if TYPE_CHECKING:  # imported for annotations only, which makes a start faster
    from tansyladder.node.extension_points import SessionService

LISTEN_BACKLOG = 1024
CLOSE_TIMEOUT = timedelta(milliseconds=300)  # at shutdown, for notified clients to disconnect


class ClientListener:
    """Accepts and admits clients on the acceptor's thread, then has each served on a thread of its own.

    It has no lock: the state that its threads share is in `AdmissionControl`, the acceptor and the policy
    runner. The main thread calls `start`, `drain` and `stop_listening`; the acceptor's thread calls `admit`
    and the `record_` methods.
    """

    def __init__(
        self,
        context: NodeContext,
        handover: ListenerHandover,
        session_service: SessionService | None,
        decision_gate: DecisionGate,
    ) -> None:
        """Take over the predecessor's listener, or open one.

        Args:
            context: The context of the node.
            handover: Between the predecessor, this process and its successor.
            session_service: None if sessions can't be resumed.
            decision_gate: Tells whether this node may decide requests.

        Raises:
            OSError: The node can't listen on the address.
        """
        self._policy = context.policy
        self._lifecycle = context.lifecycle
        self._metrics = context.metrics
        self._handover = handover
        self._session_service = session_service
        self._decision_gate = decision_gate
        self._admission = AdmissionControl(context, handover, session_service)
        services = ConnectionServices(context, handover, session_service)
        self._threads = ConnectionThreads(services, self._admission)
        self._is_rejecting_all = False  # True once requests arrive too late to be served before the exit
        # The port can be shared, so that a new process can listen if the old one does not answer it.
        self._listener = self._handover.request_listener() or socket.create_server(
            context.configuration.config.listen, backlog=LISTEN_BACKLOG, reuse_port=True
        )
        sockets.limit_send_buffer(self._listener)
        self._acceptor = ConnectionAcceptor(self._listener, self._admission.max_pending, self)
        self.handover_owner = HandoverOwner(context, self._admission, self._acceptor, self._threads)
        if (folder := self._handover.request_id_folder) is not None:
            self.handover_owner.share_request_ids(folder)
        self._acceptor_thread = threading.Thread(target=self._acceptor.run, name="admission", daemon=True)
        self.drainer = ConnectionDrainer(context, lambda: self.active_count)

    @property
    def address(self) -> Address:
        """Host and port that clients connect to."""
        return Address(*self._listener.getsockname()[:2])

    @property
    def retry_after(self) -> timedelta:
        """How long a rejected client has to wait before a retry; zero if no Retry-After is sent."""
        return self._admission.retry_after

    @property
    def is_ready(self) -> bool:
        """Whether a front end's PING is answered with PONG."""
        return self._lifecycle.is_ready and self._decision_gate.may_decide()

    @property
    def active_count(self) -> int:
        """The number of connections that are served. Thread-safe."""
        return self._admission.active_count

    @property
    def pending_count(self) -> int:
        """The number of connections that have not sent a valid first line yet. Thread-safe."""
        return self._acceptor.pending_count

    def start(self) -> None:
        """Accept clients, and take over from the predecessor if there is one."""
        self._acceptor_thread.start()
        self._lifecycle.mark_started()
        self._handover.serve(self._listener, self.handover_owner)

    # --- admission, on the acceptor's thread

    def record_invalid_line(self) -> None:
        """Count a first line that could not be parsed."""
        self._metrics.record_invalid_line()

    def record_rejection(self, line: bytes) -> None:
        """Count a request that was rejected because no descriptor was left."""
        try:
            class_name = protocol.parse_opening(line).class_name
        except protocol.LineError:
            self._metrics.record_invalid_line()
        else:
            self._metrics.record_outcome(class_name, RequestOutcome.REJECTED)

    def record_departure(self, opening: Opening) -> None:
        """Count a request whose client had disconnected before it could be admitted."""
        self._metrics.record_outcome(opening.class_name, RequestOutcome.CLIENT_LEFT)

    def admit(
        self, sock: socket.socket, opening: Opening, arrived_at: timedelta, release_socket: Callable[[], None]
    ) -> bytes:
        """Call `release_socket` and have the connection served, or return the rejecting answer."""
        try:
            answer = self._try_admit(sock, opening, arrived_at, release_socket)
        except protocol.LineError as err:
            log(LogEvent.INVALID_LINE, source=LineSource.CLIENT, error=err)
            answer = protocol.ERR + b"\r\n"
        if answer:
            self._metrics.record_outcome(opening.class_name, RequestOutcome.of_answer(answer))
        return answer

    def _try_admit(
        self, sock: socket.socket, opening: Opening, arrived_at: timedelta, release_socket: Callable[[], None]
    ) -> bytes:
        """Check the first line, the node's state and its limits; serve the client or return a rejection."""
        self._admission.check_fields(opening)
        if self._is_rejecting_all or not self._decision_gate.may_decide(opening.connection_id):
            return protocol.format_reject(self.retry_after)
        if self._session_service is not None and RESUME_TOKEN_FIELD in opening.field_values:
            return self._session_service.resume(sock, opening, arrived_at, release_socket)
        if not self._lifecycle.accepts_requests:
            return protocol.format_reject(self.retry_after)
        if not self._admission.reserve(opening):
            log(LogEvent.CLIENT_REJECTED, reason=ClientRejectionReason.CONNECTION_LIMIT)
            return protocol.format_reject(self.retry_after)
        try:
            self._threads.serve(sock, opening, arrived_at, release_socket)
        except RuntimeError as err:  # the system can't start another thread
            self._admission.release(opening, is_executed=False)
            log(LogEvent.CLIENT_REJECTED, reason=ClientRejectionReason.THREAD_LIMIT, error=err)
            return protocol.format_reject(self.retry_after)
        return b""

    # --- shutdown

    def drain(self) -> None:
        """Shut down gracefully: serve late requests, migrate connections, and end the rest in time."""
        # Clients that connect once the new state is visible belong to the successor, so the queue is yielded
        # before the state changes. The successor is checked again afterwards, as `on_successor_lost` ignores
        # one that ends in between.
        self._yield_or_reclaim_queue()
        self._lifecycle.begin_drain()
        self._yield_or_reclaim_queue()
        self._handover.begin_migration()
        end = self.drainer.shutdown_deadline()
        notified = self.drainer.migrate_gradually(self._lifecycle.state_since, end, self._is_idle)
        self._is_rejecting_all = True
        self._acceptor.stop()
        self.drainer.evict_remaining(notified, end + CLOSE_TIMEOUT)
        self.stop_listening()
        remaining = self.drainer.remaining()
        self._policy.flush_counts()
        log(LogEvent.DRAINED, established=remaining.established, pending=remaining.waiting)

    def _yield_or_reclaim_queue(self) -> None:
        """Leave the listener's queue to a successor if there is one, else accept from it."""
        if self._handover.has_successor:
            self._acceptor.yield_queue()
        else:
            self._acceptor.reclaim_queue()

    def stop_listening(self) -> None:
        """Stop the acceptor, wait until it has answered its clients, then close the listener."""
        self._handover.unpublish()
        self._acceptor.stop()
        if self._acceptor_thread.ident is not None:
            self._acceptor_thread.join((CLOSE_TIMEOUT + PENDING_CLOSE_TIMEOUT).total_seconds())
        if not self._handover.is_listener_shared:
            with contextlib.suppress(OSError):
                self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _is_idle(self) -> bool:
        """Whether no connection is served and no request is expected."""
        return not self.active_count and not self._acceptor.may_receive_first_line
