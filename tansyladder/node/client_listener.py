"""The clients' side: the listener, admission within the limits, serving, the drain of SIGTERM and standby."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Callable
from datetime import timedelta

from tansyladder.config.platform import EndpointList
from tansyladder.log import LogEvent, log
from tansyladder.net import protocol, sockets
from tansyladder.net.clock import MICROSECOND, now, seconds_left
from tansyladder.net.listener_handover import ConnectionState, ListenerHandover
from tansyladder.net.protocol import RESUME_TOKEN_FIELD, TENANT_FIELD
from tansyladder.node.connection_acceptor import PENDING_CLOSE_TIMEOUT, ConnectionAcceptor
from tansyladder.node.lifecycle import NodeState
from tansyladder.node.metrics import RequestOutcome
from tansyladder.node.policy_runner import PolicyRunner
from tansyladder.node.request_handler import RequestHandler
from tansyladder.policy.actions import Migrate, Reject

ADMIN_DESCRIPTORS = 18  # for the operators' address, which no client can have
RESERVED_DESCRIPTORS = 20  # for the listener, discovery, health checks, logs and the configuration
REJECTION_RETRY_AFTER = timedelta(milliseconds=200)
LATE_ARRIVAL_WINDOW = timedelta(milliseconds=450)  # after SIGTERM new connections come for up to 0.4 s
KILL_MARGIN = timedelta(milliseconds=700)  # SIGKILL comes no earlier than the longest deadline and this
EXIT_MARGIN = timedelta(milliseconds=400)
CLOSE_TIMEOUT = timedelta(milliseconds=300)  # of that margin, for a notified client to end its side
# After `standby` every client has left in 4 s, less a margin.
STANDBY_DRAIN_DURATION = timedelta(seconds=3.4)
LAST_MIGRATION_MARGIN = timedelta(milliseconds=500)  # from the last client's MOVE to the end of the drain
DRAIN_STEP_INTERVAL = timedelta(milliseconds=10)


class ClientListener:
    """The listener, and a thread for each connection that is served."""

    def __init__(self, runner: PolicyRunner, handover: ListenerHandover | None = None) -> None:
        """`takeover`: the way to the process before this one, and to the next; none: there is none."""
        self._runner = runner
        self._handover = runner.listener_handover = handover or ListenerHandover(runner.config.listen, None)
        self._lock = threading.Lock()
        self._open_ids: set[str] = set()  # the ids of the connections that are served
        self._is_rejecting_all = False  # whether who is heard now comes too late to be served
        sockets_ = runner.config.limits.sockets
        max_pending = max(8, min(128, sockets_ // 6))
        self._admin_descriptors = ADMIN_DESCRIPTORS if runner.config.operator else 0
        self._max_descriptors = sockets_ - RESERVED_DESCRIPTORS - max_pending - self._admin_descriptors
        # The port can be shared, for a new process that the old one does not answer.
        self._listener = self._handover.request_listener() or socket.create_server(
            runner.config.listen, backlog=1024, reuse_port=True
        )
        self._acceptor = ConnectionAcceptor(self._listener, max_pending, self)
        self._acceptor_thread = threading.Thread(target=self._acceptor.run, name="admission", daemon=True)

    @property
    def address(self) -> tuple[str, int]:
        host, port = self._listener.getsockname()[:2]
        return host, port

    @property
    def retry_after(self) -> timedelta:
        """When who is turned away at the door may come again."""
        settings = self._runner.config.settings
        longest = settings.max_retry_after_us * MICROSECOND
        return min(REJECTION_RETRY_AFTER, longest) if settings.can_send_retry_after else timedelta(0)

    @property
    def is_ready(self) -> bool:
        """What a front that asks PING is told."""
        return self._runner.lifecycle.is_ready and self._runner.may_decide()

    @property
    def active_count(self) -> int:
        """Connections taken and not ended yet."""
        return len(self._open_ids)

    def start(self) -> None:
        self._acceptor_thread.start()
        self._runner.lifecycle.mark_started()
        self._handover.serve(self._listener, self)

    def record_invalid_line(self) -> None:
        """A line that made no sense was answered."""
        self._runner.metrics.record_invalid_line()

    def record_rejection(self, heard: bytes) -> None:
        """Who said this found no descriptor."""
        try:
            cls = protocol.parse_opening(heard).class_name
        except protocol.LineError:
            self._runner.metrics.record_invalid_line()
        else:
            self._runner.metrics.record_outcome(cls, RequestOutcome.REJECTED)

    def admit(
        self, sock: socket.socket, opening: protocol.Opening, arrived: timedelta, take: Callable[[], None]
    ) -> bytes:
        """Serve a connection in a thread of its own, from `take` on; else the answer that turns it away."""
        try:
            answer = self._try_admit(sock, opening, arrived, take)
        except protocol.LineError as err:
            log(LogEvent.INVALID_LINE, where="client", why=err)
            answer = protocol.ERR + b"\r\n"
        if answer:
            self._runner.metrics.record_outcome(opening.class_name, RequestOutcome.of_answer(answer))
        return answer

    def _try_admit(
        self, sock: socket.socket, opening: protocol.Opening, arrived: timedelta, take: Callable[[], None]
    ) -> bytes:
        if opening.class_name not in self._runner.class_numbers:
            raise protocol.LineError(f"c: unknown class {opening.class_name[:40]}")
        if (
            self._runner.config.tenants
            and opening.field_values.get(TENANT_FIELD) not in self._runner.config.tenants
        ):
            raise protocol.LineError(f"t: unknown tenant {opening.field_values.get(TENANT_FIELD, '')[:40]}")
        if self._is_rejecting_all or not self._runner.may_decide(opening.connection_id):
            return protocol.format_reject(self.retry_after)
        resuming = self._runner.session_service
        if resuming is not None and RESUME_TOKEN_FIELD in opening.field_values:
            return resuming.resume(sock, opening, arrived, take)
        if not self._runner.lifecycle.accepts_requests:
            return protocol.format_reject(self.retry_after)
        established = len(self._runner.request_ids(True))
        # A resumable session keeps its mailbox's descriptor while it stands.
        established -= len(resuming.token_registry) if resuming is not None else 0
        with self._lock:
            if opening.connection_id in self._open_ids:
                raise protocol.LineError("id: open already")
            # Two descriptors each, and a mailbox for those that do not stand yet.
            full = (
                3 * (len(self._open_ids) + 1) - established
                > self._max_descriptors - self._handover.remote_descriptor_count
            )
            if not full:
                self._open_ids.add(opening.connection_id)
        if full:
            log(LogEvent.CLIENT_REJECTED, why="limit")
            return protocol.format_reject(self.retry_after)
        go = threading.Lock()  # the thread must not touch the socket before the admission has let it go
        with go:
            try:
                threading.Thread(
                    target=self._run_when_released, args=(go, sock, opening, arrived), daemon=True
                ).start()
            except RuntimeError as err:  # no thread to be had: the admission answers
                self._release_id(opening)
                log(LogEvent.CLIENT_REJECTED, why=err)
                return protocol.format_reject(self.retry_after)
            take()
        return b""

    def _run_when_released(
        self, go: threading.Lock, sock: socket.socket, opening: protocol.Opening, arrived: timedelta
    ) -> None:
        with go:
            pass
        self._serve_connection(sock, opening, arrived)

    def _release_id(self, opening: protocol.Opening) -> None:
        with self._lock:
            self._open_ids.discard(opening.connection_id)

    def _serve_connection(
        self,
        sock: socket.socket,
        opening: protocol.Opening,
        arrived: timedelta,
        handed: tuple[ConnectionState, socket.socket] | None = None,
    ) -> None:
        """One connection's thread; `handed`: what the process before gave with it."""
        handler = RequestHandler(self._runner, sock, opening, arrived, handed)
        try:
            sockets.configure_stream(sock)
            handler.run()
        except OSError as err:
            log(LogEvent.CLIENT_CONNECTION_FAILED, why=err)
            if not handler.is_answered:
                self._runner.metrics.record_outcome(opening.class_name, RequestOutcome.CLIENT_LEFT)
        except Exception as err:  # one connection's mistake must not cost the others anything
            log(LogEvent.INTERNAL_ERROR, why=repr(err))
            if not handler.is_answered:
                self._runner.metrics.record_outcome(opening.class_name, RequestOutcome.FAILED)
            with contextlib.suppress(OSError):
                sock.sendall(protocol.ERR + b"\r\n")
        finally:
            sock.close()
            self._release_id(opening)

    def stop_listening(self) -> None:
        """End the admission, and wait until it has answered who is there; then close the listener."""
        self._handover.unpublish()
        self._acceptor.stop()
        if self._acceptor_thread.ident is not None:
            self._acceptor_thread.join((CLOSE_TIMEOUT + PENDING_CLOSE_TIMEOUT).total_seconds())
        if not self._handover.is_listener_shared:
            with contextlib.suppress(OSError):
                self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    # --- what a process that takes our place, or whose place we took, wants

    def split_descriptors(self) -> tuple[int, int]:
        """Descriptors that this process keeps where another one comes, and what that leaves to it."""
        used = 3 * len(self._open_ids) - len(self._runner.request_ids(True))
        kept = RESERVED_DESCRIPTORS + self._admin_descriptors + self._acceptor.pending_count + used
        free = max(0, self._max_descriptors - used)
        return kept + free // 2, free - free // 2

    def known_endpoints(self) -> EndpointList:
        """The list as it is known."""
        return self._runner.endpoint_list()

    def adopt_connection(
        self, state: ConnectionState, client: socket.socket, upstream: socket.socket
    ) -> None:
        """Go on with a connection of the process before, in a thread of its own."""
        try:
            opening = protocol.parse_opening(state.opening.encode() + b"\r\n")
            sockets.configure_stream(upstream)
            with self._lock:
                self._open_ids.add(opening.connection_id)
            args = (client, opening, now(), (state, upstream))
            threading.Thread(target=self._serve_connection, args=args, daemon=True).start()
        except (protocol.LineError, RuntimeError) as err:  # no thread to be had
            log(LogEvent.CONNECTION_ADOPTION_FAILED, why=err)
            upstream.close()
            with contextlib.suppress(OSError):
                client.send(protocol.MOVE + b"\r\n", socket.MSG_DONTWAIT)
            client.close()

    def set_accepting(self, accepting: bool) -> None:
        """Another process takes the clients, or it is gone again; it matters only to a process that ends."""
        if self._runner.lifecycle.state is NodeState.DRAINING:
            self._acceptor.yield_queue(not accepting)

    def drain(self) -> None:
        """After SIGTERM: serve what still arrives, then move what stands, reject the rest in time."""
        runner = self._runner
        runner.lifecycle.begin_drain()
        self._acceptor.yield_queue(self._handover.has_successor)
        self._handover.begin_migration()
        longest = min(runner.config.longest_deadline, timedelta(seconds=3))
        end = runner.lifecycle.state_since + longest + KILL_MARGIN - EXIT_MARGIN
        notified = self._migrate_gradually(runner.lifecycle.state_since, end, until_empty=True)
        self._is_rejecting_all = True
        self._acceptor.stop()
        self._evict_remaining(notified, end + CLOSE_TIMEOUT)
        self.stop_listening()
        log(LogEvent.DRAINED, standing=len(runner.request_ids(True)), in_hand=len(runner.request_ids(False)))

    def run_standby_drains(self) -> None:
        """For a thread of its own: the same drain whenever the node goes to standby, without its end."""
        runner = self._runner
        while True:
            since = runner.lifecycle.wait_for_state(NodeState.STANDBY)
            moved = self._migrate_gradually(since, since + STANDBY_DRAIN_DURATION)
            if not runner.lifecycle.wait_for_change(since, now()):
                self._evict_remaining(moved, now())
                log(
                    LogEvent.STANDBY_ENTERED,
                    standing=len(runner.request_ids(True)),
                    in_hand=len(runner.request_ids(False)),
                )
            runner.lifecycle.wait_for_change(since)

    def _migrate_gradually(self, since: timedelta, end: timedelta, until_empty: bool = False) -> set[int]:
        """Move what stands, spread over the time until the end; whom it told. It ends early with the phase.

        All clients coming at once to the other nodes would fail together.
        """
        runner, moved = self._runner, set[int]()
        while (
            not runner.lifecycle.wait_for_change(
                since, max(since + LATE_ARRIVAL_WINDOW, now() + DRAIN_STEP_INTERVAL)
            )
            and now() < end
        ):
            established = [connection for connection in runner.request_ids(True) if connection not in moved]
            if until_empty and not self._open_ids and not self._acceptor.is_expecting_lines:
                break
            turns = max(1, (end - LAST_MIGRATION_MARGIN - now()) // DRAIN_STEP_INTERVAL)
            some = established[: -(-len(established) // turns)]
            moved.update(some)
            runner.dispatch([Migrate(connection) for connection in some])
        return moved

    def _evict_remaining(self, notified: set[int], until: timedelta) -> None:
        """What is in hand is turned away, what stands is moved, until all have left or a moment has come.

        Each is told once: a refusal that finds its connection standing by then is a move. One that was
        admitted a moment ago may still be about to register, so it is looked for again and again.
        """
        runner = self._runner
        while True:
            waiting = [connection for connection in runner.request_ids(False) if connection not in notified]
            established = [
                connection
                for connection in runner.request_ids(True)
                if connection not in notified and connection not in waiting
            ]
            notified.update(waiting, established)
            runner.dispatch(
                [
                    *(Reject(connection) for connection in waiting),
                    *(Migrate(connection) for connection in established),
                ]
            )
            if not self._open_ids or now() >= until:
                return
            _sleep_until(now() + DRAIN_STEP_INTERVAL)


def _sleep_until(until: timedelta) -> None:
    threading.Event().wait(seconds_left(until))
