"""Admits clients' requests within the node's limits and serves each connection on a thread of its own."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Callable
from datetime import timedelta
from typing import TYPE_CHECKING

from tansyladder.config.platform import Address, EndpointList
from tansyladder.log import LogEvent, log
from tansyladder.net import protocol, sockets
from tansyladder.net.handover_messages import ConnectionState, DescriptorSplit
from tansyladder.net.listener_handover import ListenerHandover
from tansyladder.net.protocol import RESUME_TOKEN_FIELD, Opening
from tansyladder.node.admission_control import AdmissionControl
from tansyladder.node.connection_acceptor import PENDING_CLOSE_TIMEOUT, ConnectionAcceptor
from tansyladder.node.connection_drainer import ConnectionDrainer
from tansyladder.node.connection_handler import ConnectionHandler
from tansyladder.node.context import ConnectionServices, NodeContext
from tansyladder.node.decision_gate import DecisionGate
from tansyladder.node.existing_connections import AdoptedConnectionHandler, RestoredConnectionHandler
from tansyladder.node.lifecycle import NodeState
from tansyladder.node.metrics import RequestOutcome
from tansyladder.node.request_handler import RequestHandler

if TYPE_CHECKING:  # no type of it is made here, and a start is shorter without it
    from tansyladder.node.extension_points import SessionService

LISTEN_BACKLOG = 1024
CLOSE_TIMEOUT = timedelta(milliseconds=300)  # at the end, for a notified client to end its side


class ClientListener:
    """The clients' listener: admission on the acceptor's thread, then a thread for each connection.

    It has no lock: what its threads share is in `AdmissionControl`, the acceptor and the policy runner.
    `start`, `drain` and `stop_listening` belong to the main thread; the methods of a `ConnectionOwner` to the
    handover's thread; `admit` and the `record_` methods to the acceptor's.
    """

    def __init__(
        self,
        context: NodeContext,
        handover: ListenerHandover,
        session_service: SessionService | None,
        decision_gate: DecisionGate,
    ) -> None:
        """Take over the listener of the process before, or open one.

        Args:
            context: Of the node.
            handover: Between the process before, this one and the next.
            session_service: Where sessions can be resumed.
            decision_gate: Whether requests may be decided here.

        Raises:
            OSError: The address can't be listened on.
        """
        self._services = ConnectionServices(context, handover, session_service)
        self._policy = context.policy
        self._lifecycle = context.lifecycle
        self._metrics = context.metrics
        self._handover = handover
        self._session_service = session_service
        self._decision_gate = decision_gate
        self._admission = AdmissionControl(context, handover, session_service)
        self._is_rejecting_all = False  # what is read from now on comes too late to be served
        # The port can be shared, for a new process that the old one does not answer.
        self._listener = self._handover.request_listener() or socket.create_server(
            context.configuration.config.listen, backlog=LISTEN_BACKLOG, reuse_port=True
        )
        self._acceptor = ConnectionAcceptor(self._listener, self._admission.max_pending, self)
        self._acceptor_thread = threading.Thread(target=self._acceptor.run, name="admission", daemon=True)
        self.drainer = ConnectionDrainer(context, lambda: self.active_count)

    @property
    def address(self) -> Address:
        """Host and port that clients connect to."""
        return Address(*self._listener.getsockname()[:2])

    @property
    def retry_after(self) -> timedelta:
        """When a client rejected here may come again; zero where the platform sends no such time."""
        return self._admission.retry_after

    @property
    def is_ready(self) -> bool:
        """Whether a front end's PING is answered PONG."""
        return self._lifecycle.is_ready and self._decision_gate.may_decide()

    @property
    def active_count(self) -> int:
        """Connections that are served at the moment. Thread-safe."""
        return self._admission.active_count

    def start(self) -> None:
        """Accept clients, and take over from the process before where there is one."""
        self._acceptor_thread.start()
        self._lifecycle.mark_started()
        self._handover.serve(self._listener, self)

    # --- admission, on the acceptor's thread

    def record_invalid_line(self) -> None:
        """Count a first line that could not be parsed."""
        self._metrics.record_invalid_line()

    def record_rejection(self, line: bytes) -> None:
        """Count a request that found no descriptor."""
        try:
            class_name = protocol.parse_opening(line).class_name
        except protocol.LineError:
            self._metrics.record_invalid_line()
        else:
            self._metrics.record_outcome(class_name, RequestOutcome.REJECTED)

    def admit(
        self, sock: socket.socket, opening: Opening, arrived: timedelta, release: Callable[[], None]
    ) -> bytes:
        """Serve a connection on a thread of its own, after a call of `release`; else the rejecting answer."""
        try:
            answer = self._try_admit(sock, opening, arrived, release)
        except protocol.LineError as err:
            log(LogEvent.INVALID_LINE, where="client", why=err)
            answer = protocol.ERR + b"\r\n"
        if answer:
            self._metrics.record_outcome(opening.class_name, RequestOutcome.of_answer(answer))
        return answer

    def _try_admit(
        self, sock: socket.socket, opening: Opening, arrived: timedelta, release: Callable[[], None]
    ) -> bytes:
        """Check the first line, the node's state and its limits in this order; the answer of a rejection."""
        self._admission.check_fields(opening)
        if self._is_rejecting_all or not self._decision_gate.may_decide(opening.connection_id):
            return protocol.format_reject(self.retry_after)
        if self._session_service is not None and RESUME_TOKEN_FIELD in opening.field_values:
            return self._session_service.resume(sock, opening, arrived, release)
        if not self._lifecycle.accepts_requests:
            return protocol.format_reject(self.retry_after)
        if not self._admission.reserve(opening.connection_id):
            log(LogEvent.CLIENT_REJECTED, why="limit")
            return protocol.format_reject(self.retry_after)
        try:
            self._start_serving(sock, opening, arrived, release)
        except RuntimeError as err:  # the system has no thread left
            self._admission.release(opening.connection_id)
            log(LogEvent.CLIENT_REJECTED, why=err)
            return protocol.format_reject(self.retry_after)
        return b""

    def _start_serving(
        self, sock: socket.socket, opening: Opening, arrived: timedelta, release: Callable[[], None]
    ) -> None:
        """Start a connection's thread, which does not use the socket before `release` has returned."""
        released = threading.Lock()
        args = (released, sock, opening, arrived)
        with released:
            threading.Thread(
                target=self._serve_when_released, args=args, name="connection", daemon=True
            ).start()
            release()

    # --- a connection's thread

    def _serve_when_released(
        self, released: threading.Lock, sock: socket.socket, opening: Opening, arrived: timedelta
    ) -> None:
        with released:
            pass
        self._serve(self._build_handler(sock, opening, arrived), opening.connection_id)

    def _build_handler(self, sock: socket.socket, opening: Opening, arrived: timedelta) -> ConnectionHandler:
        """Return the handler of an admitted connection: a new request, or one from before the run."""
        deadline = arrived + opening.wait
        if opening.endpoint_id is None:
            return RequestHandler(self._services, sock, opening, deadline)
        return RestoredConnectionHandler(self._services, sock, opening, deadline, opening.endpoint_id)

    def _serve(self, handler: ConnectionHandler, connection_id: str) -> None:
        """Serve a connection to its end, and count it no longer as served then."""
        try:
            handler.run()
        finally:
            self._admission.release(connection_id)

    # --- the handover between processes, as a ConnectionOwner

    def split_descriptors(self) -> DescriptorSplit:
        """Descriptors that this process keeps where another one comes, and what that leaves to it."""
        return self._admission.split_descriptors(self._acceptor.pending_count)

    def known_endpoints(self) -> EndpointList:
        """The endpoint list as this process knows it."""
        return self._policy.endpoint_list()

    def adopt_connection(
        self, state: ConnectionState, client: socket.socket, upstream: socket.socket
    ) -> None:
        """Go on with a connection of the process before, on a thread of its own."""
        try:
            opening = protocol.parse_opening(state.opening.encode() + b"\r\n")
            sockets.configure_stream(upstream)
            self._admission.add(opening.connection_id)
            handler = AdoptedConnectionHandler(self._services, client, opening, upstream, state)
            args = (handler, opening.connection_id)
            threading.Thread(target=self._serve, args=args, name="connection", daemon=True).start()
        except (protocol.LineError, RuntimeError) as err:  # RuntimeError: the system has no thread left
            log(LogEvent.CONNECTION_ADOPTION_FAILED, why=err)
            upstream.close()
            with contextlib.suppress(OSError):
                client.send(protocol.MOVE + b"\r\n", socket.MSG_DONTWAIT)
            client.close()

    def set_accepting(self, accepting: bool) -> None:
        """The next process accepts the clients, or is gone again; it matters only to a draining process."""
        if self._lifecycle.state is NodeState.DRAINING:
            if accepting:
                self._acceptor.reclaim_queue()
            else:
                self._acceptor.yield_queue()

    # --- the end

    def drain(self) -> None:
        """After SIGTERM: serve what still arrives, migrate what is established, reject the rest in time."""
        # Before the state changes, as clients that come once it is seen are the successor's; and again after
        # it, as a successor's end in between is passed over by `set_accepting`.
        self._share_queue()
        self._lifecycle.begin_drain()
        self._share_queue()
        self._handover.begin_migration()
        end = self.drainer.shutdown_deadline()
        notified = self.drainer.migrate_gradually(self._lifecycle.state_since, end, self._is_idle)
        self._is_rejecting_all = True
        self._acceptor.stop()
        self.drainer.evict_remaining(notified, end + CLOSE_TIMEOUT)
        self.stop_listening()
        left = self.drainer.remaining()
        log(LogEvent.DRAINED, standing=left.established, in_hand=left.waiting)

    def _share_queue(self) -> None:
        """Leave the listener's queue to a successor where there is one."""
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
        return not self.active_count and not self._acceptor.is_expecting_lines
