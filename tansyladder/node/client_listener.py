"""The clients' side: the listener, admission within the limits, serving, the drain of SIGTERM and standby."""

from __future__ import annotations

import contextlib
import errno
import os
import select
import socket
import threading
from collections.abc import Callable
from datetime import timedelta

from tansyladder.config.platform import EndpointList
from tansyladder.log import LogEvent, log
from tansyladder.net import protocol, sockets
from tansyladder.net.clock import MICROSECOND, now, seconds_left
from tansyladder.net.handover_messages import ConnectionState, DescriptorSplit
from tansyladder.net.listener_handover import ListenerHandover
from tansyladder.net.protocol import RESUME_TOKEN_FIELD, TENANT_FIELD
from tansyladder.node.lifecycle import NodeState
from tansyladder.node.metrics import RequestOutcome
from tansyladder.node.policy_runner import PolicyRunner
from tansyladder.node.request_handler import RequestHandler
from tansyladder.policy.actions import Migrate, Reject

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
ADMIN_DESCRIPTORS = 18  # for the operators' address, which no client can have
RESERVED_DESCRIPTORS = 20  # for the listener, discovery, health checks, logs and the configuration
REJECTION_RETRY_AFTER = timedelta(milliseconds=200)
LATE_ARRIVAL_WINDOW = timedelta(milliseconds=450)  # after SIGTERM new connections come for up to 0.4 s
KILL_MARGIN = timedelta(milliseconds=700)  # SIGKILL comes no earlier than the longest deadline and this
EXIT_MARGIN = timedelta(milliseconds=400)
CLOSE_TIMEOUT = timedelta(milliseconds=300)  # of that margin, for a notified client to end its side
PENDING_CLOSE_TIMEOUT = timedelta(milliseconds=150)  # the same for a client that sent no valid OPEN
# After `standby` every client has left in 4 s, less a margin.
STANDBY_DRAIN_DURATION = timedelta(seconds=3.4)
LAST_MIGRATION_MARGIN = timedelta(milliseconds=500)  # from the last client's MOVE to the end of the drain
ACCEPT_RETRY_DELAY = timedelta(milliseconds=20)  # after an accept that failed for want of descriptors
DRAIN_STEP_INTERVAL = timedelta(milliseconds=10)


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

    def split_descriptors(self) -> DescriptorSplit:
        """Descriptors that this process keeps where another one comes, and what that leaves to it."""
        used = 3 * len(self._open_ids) - len(self._runner.request_ids(True))
        kept = RESERVED_DESCRIPTORS + self._admin_descriptors + self._acceptor.pending_count + used
        free = max(0, self._max_descriptors - used)
        return DescriptorSplit(kept + free // 2, free - free // 2)

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
