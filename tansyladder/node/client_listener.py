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
from tansyladder.net.listener_handover import ConnectionState, ListenerHandover
from tansyladder.net.protocol import RESUME_TOKEN_FIELD, TENANT_FIELD
from tansyladder.node.lifecycle import NodeState
from tansyladder.node.metrics import Ending
from tansyladder.node.policy_runner import PolicyRunner
from tansyladder.node.request_handler import RequestHandler
from tansyladder.policy.actions import Migrate, Reject

# Whoever has sent no whole first line by then gets an ERR, and whoever is still there after that a close: in
# all under 3 s from the accept, however slowly the bytes drip and however busy the node is.
FIRST_LINE = timedelta(seconds=1.8)
GONE = timedelta(seconds=2.3)
PINGS = timedelta(seconds=60)  # between two PINGs of the front on one connection
MOST_PINGS = 20  # at once, and in a second: a front asks and waits for the answer
STOCK = timedelta(milliseconds=20)  # between two looks for whose time is up
# A connection this young has its line on the way: where too many come at once, the next ones wait in the
# listener's queue for so long, and only then is one silent.
YOUNG = timedelta(milliseconds=50)
BATCH = 16  # connections taken in before those that are there are heard
SINK = 1 << 16
OPERATORS = 18  # descriptors for their address, which no client can have
SPARE = 20  # descriptors for the listener, discovery, probes, logs and the configuration
COME_BACK = timedelta(milliseconds=200)
ARRIVALS = timedelta(milliseconds=450)  # after SIGTERM new connections come for up to 0.4 s
KILL_MARGIN = timedelta(milliseconds=700)  # SIGKILL comes no earlier than the longest deadline and this
EXIT_MARGIN = timedelta(milliseconds=400)
CLOSING = timedelta(milliseconds=300)  # of that margin, in which who was told the end may end its side
SEEN_OUT = timedelta(milliseconds=150)  # the same for who sent no valid OPEN
STANDBY = timedelta(seconds=3.4)  # in which everybody has left after `standby`: 4 s, less a margin
SETTLED = timedelta(milliseconds=500)  # before the end, the last client has been told to move
SHORT = timedelta(milliseconds=20)
PACE = timedelta(milliseconds=10)


class PendingConnection:
    """A connection that has not sent a valid OPEN."""

    __slots__ = (
        "buffer",
        "end_by",
        "gone_by",
        "heard",
        "pings",
        "pings_from",
        "read_away",
        "sock",
        "told",
    )

    def __init__(self, sock: socket.socket) -> None:
        # Half a line is as good as none; only a whole PING sets the moment on.
        self.sock, self.buffer, self.heard = sock, protocol.LineBuffer(), now()
        sockets.disable_send_delay(sock)
        self.end_by, self.gone_by = self.heard + FIRST_LINE, self.heard + GONE
        self.told = False  # whether it has its answer, and only its own end is waited for
        self.read_away = 0
        self.pings, self.pings_from = 0, timedelta(0)


class ConnectionAcceptor:
    """One thread takes connections in and hears first lines; it reads what is there and waits on nobody.

    Newcomers have a bound of their own and cost a descriptor each, no thread: hundreds that say nothing, or
    that are told of their errors, take nothing from the clients that are served.
    """

    def __init__(self, listener: socket.socket, most: int, server: ClientListener) -> None:
        self._listener, self._most, self._server = listener, most, server
        self._newcomers: dict[int, PendingConnection] = {}
        self._paused = self._held = self._ended = False
        self._wake = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._poll = select.poll()
        self._sink = bytearray(SINK)
        # Kept for the moment when no descriptor is left: a full table must not leave clients unanswered.
        self._reserve = os.open(os.devnull, os.O_RDONLY)
        listener.setblocking(False)
        self._poll.register(listener, select.POLLIN)
        self._poll.register(self._wake, select.POLLIN)

    @property
    def newcomers(self) -> int:
        return len(self._newcomers)

    @property
    def expecting(self) -> bool:
        """Whether somebody's first line may be on its way; a front that only asks PING rests."""
        untold = [n for n in list(self._newcomers.values()) if not n.told]
        return any(n.buffer.partial_line or not n.pings for n in untold)

    def hold(self, on: bool) -> None:
        """Leave the listener's queue to another process from now on, or take from it again."""
        self._held = on
        os.eventfd_write(self._wake, 1)

    def end(self) -> None:
        """Who is there is answered or told the end; nobody is taken in or heard after that."""
        self._ended = True
        os.eventfd_write(self._wake, 1)

    def run(self) -> None:
        """Until it is ended."""
        stock = now()
        while not self._ended:
            for fd, _ in self._poll.poll(STOCK / timedelta(milliseconds=1) if self._newcomers else None):
                newcomer = self._newcomers.get(fd)  # one that has been closed meanwhile is not there
                if newcomer is not None:
                    self._guarded(newcomer)
                elif fd == self._wake:
                    os.eventfd_read(self._wake)
                    self._pause(self._held)
                elif fd == self._listener.fileno() and not self._held:
                    self._take_in()
            if now() - stock >= STOCK:
                stock = now()
                for newcomer in list(self._newcomers.values()):
                    self._look(newcomer, stock)
                self._pause(self._held)
        self._see_out()

    def _see_out(self) -> None:
        """The end: what has come until now is answered, and nobody is cut off in the middle of a line.

        The sending sides are ended first, and what still comes is read to its end, within a bound: a close
        over unread bytes is a reset, and what was read after our end must not be served.
        """
        until = now() + SEEN_OUT
        while not self._held and now() < until and self._take_in():
            pass
        for newcomer in list(self._newcomers.values()):
            if not newcomer.told:
                self._guarded(newcomer)
            if not newcomer.told and self._newcomers.get(newcomer.sock.fileno()) is newcomer:
                self._tell(newcomer, b"")
        self._poll.unregister(self._wake)  # it may be readable still, and would spin the poll
        with contextlib.suppress(OSError, KeyError):  # the listener was shut down
            self._poll.unregister(self._listener)
        while self._newcomers and now() < until:
            for fd, _ in self._poll.poll(-(-seconds_left(until) * 1000 // 1)):
                if (leaving := self._newcomers.get(fd)) is not None:
                    self._guarded(leaving)
        for newcomer in list(self._newcomers.values()):
            self._close(newcomer)

    # --- taking in

    def _take_in(self) -> bool:
        """Take a few connections in; whether more may be there."""
        for _ in range(BATCH):
            if len(self._newcomers) >= self._most and not self._make_room():
                self._pause(True)
                return False
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                return False
            except OSError as err:
                if err.errno in (errno.EBADF, errno.EINVAL):
                    self._ended = True  # it was shut down
                    return False
                log(LogEvent.ACCEPT_FAILED, why=err)
                if err.errno in (errno.EMFILE, errno.ENFILE):
                    self._out_of_descriptors()
                return False
            newcomer = self._newcomers[sock.fileno()] = PendingConnection(sock)
            self._poll.register(sock, select.POLLIN)
            self._guarded(newcomer)  # most lines are there already
        return True

    def _pause(self, on: bool) -> None:
        """Leave who comes in the listener's queue, or look there again."""
        if on is not self._paused:
            self._paused = on
            with contextlib.suppress(OSError):  # it was shut down
                self._poll.modify(self._listener, 0 if on else select.POLLIN)

    def _make_room(self) -> bool:
        """The oldest one that has its answer goes, else the longest silent one; False where all are young.

        Whoever sent PING or half a line once and stays is no better: where such ones fill the table, each new
        client would be the one to go, or to wait.
        """
        oldest = min(self._newcomers.values(), key=lambda n: (not n.told, n.heard))
        if not oldest.told:
            if now() - oldest.heard < YOUNG:
                return False
            self._guarded(oldest)  # its line may be there unread
        if self._newcomers.get(oldest.sock.fileno()) is oldest:
            if not oldest.told:
                log(LogEvent.CLIENT_REJECTED, why="silent")
                # Its line may come in this instant: then this is its answer.
                self._tell(oldest, protocol.format_reject(self._server.come_back))
            self._close(oldest)
        return True

    def _out_of_descriptors(self) -> None:
        """A newcomer goes; where there is none, the reserved one takes a client in to be turned away."""
        if self._newcomers and self._make_room():
            return
        if self._reserve >= 0:
            os.close(self._reserve)
            self._reserve = -1  # its number may be another's at once: it must not be closed twice
        try:
            sock, _ = self._listener.accept()
            newcomer = PendingConnection(sock)
            log(LogEvent.CLIENT_REJECTED, why="descriptors")
            with contextlib.suppress(OSError):
                self._server.turned_away(sock.recv(protocol.MAX_LINE_BYTES, socket.MSG_DONTWAIT))
            self._tell(newcomer, protocol.format_reject(self._server.come_back))
            sock.close()
        except OSError:
            _sleep(now() + SHORT)  # nobody could be taken in: the next try must not spin
        finally:
            with contextlib.suppress(OSError):
                self._reserve = os.open(os.devnull, os.O_RDONLY)

    # --- hearing

    def _guarded(self, newcomer: PendingConnection) -> None:
        """Hear a newcomer; whatever it sent costs nobody else anything."""
        try:
            self._hear(newcomer)
        except BlockingIOError:
            pass
        except protocol.LineError as err:
            log(LogEvent.INVALID_LINE, where="client", why=err)
            self._server.unread()
            self._tell(newcomer, protocol.ERR + b"\r\n")
        except OSError:
            self._close(newcomer)
        except Exception as err:
            log(LogEvent.INTERNAL_ERROR, why=repr(err))
            self._tell(newcomer, protocol.ERR + b"\r\n")

    def _hear(self, newcomer: PendingConnection) -> None:
        sock = newcomer.sock
        if newcomer.told:
            # TCP drops what is read with MSG_TRUNC without a copy: a flood costs the interpreter little.
            size = sock.recv_into(self._sink, 0, socket.MSG_DONTWAIT | socket.MSG_TRUNC)
            newcomer.read_away += size
            if not size or newcomer.read_away > sockets.MAX_DRAIN_BYTES:
                self._close(newcomer)
            return
        data = sock.recv(2 * protocol.MAX_LINE_BYTES, socket.MSG_DONTWAIT)
        arrived = now()
        if not data:
            self._close(newcomer)  # half a line and a close is nobody's business
            return
        lines = newcomer.buffer.feed(data)
        for line in lines:
            if protocol.strip_line_end(line) == protocol.PING:
                self._pong(newcomer, arrived)
            elif len(lines) > 1 or newcomer.buffer.partial_line:
                raise protocol.LineError("more than one line before UP")
            else:
                opening = protocol.parse_opening(line)
                answer = self._server.admit(sock, opening, arrived, lambda: self._let_go(newcomer))
                if answer:
                    self._tell(newcomer, answer)

    def _pong(self, newcomer: PendingConnection, arrived: timedelta) -> None:
        if arrived - newcomer.pings_from >= timedelta(seconds=1):
            newcomer.pings, newcomer.pings_from = 0, arrived
        newcomer.pings += 1
        if newcomer.pings > MOST_PINGS:
            raise protocol.LineError("a flood of PINGs")
        if not self._server.ready:
            self._tell(newcomer, protocol.BUSY + b"\r\n")  # and the end: the front keeps no connection here
            return
        newcomer.sock.send(protocol.PONG + b"\r\n", socket.MSG_DONTWAIT)
        newcomer.heard, newcomer.end_by = arrived, arrived + PINGS
        newcomer.gone_by = (
            arrived + PINGS + sockets.DRAIN_TIMEOUT
        )  # a request may come in the instant of the end

    def _tell(self, newcomer: PendingConnection, answer: bytes) -> None:
        """The final answer, and the end of our side; a close at once might overtake the answer."""
        newcomer.told = True
        newcomer.gone_by = min(newcomer.gone_by, now() + sockets.DRAIN_TIMEOUT)
        try:
            if answer:
                newcomer.sock.send(answer, socket.MSG_DONTWAIT)
            newcomer.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._close(newcomer)

    def _look(self, newcomer: PendingConnection, moment: timedelta) -> None:
        """Whoever is out of time goes."""
        if moment >= newcomer.gone_by:
            self._close(newcomer)
        elif moment >= newcomer.end_by and not newcomer.told:
            log(LogEvent.INVALID_LINE, where="client", why="no first line")
            self._tell(newcomer, protocol.ERR + b"\r\n")

    def _let_go(self, newcomer: PendingConnection) -> None:
        self._poll.unregister(newcomer.sock)
        del self._newcomers[newcomer.sock.fileno()]

    def _close(self, newcomer: PendingConnection) -> None:
        if self._newcomers.get(newcomer.sock.fileno()) is newcomer:
            self._let_go(newcomer)
        newcomer.sock.close()


class ClientListener:
    """The listener, and a thread for each connection that is served."""

    def __init__(self, core: PolicyRunner, takeover: ListenerHandover | None = None) -> None:
        """`takeover`: the way to the process before this one, and to the next; none: there is none."""
        self._core = core
        self._takeover = core.listener_handover = takeover or ListenerHandover(core.config.listen, None)
        self._lock = threading.Lock()
        self._open: set[str] = set()  # the ids of the connections that are served
        self._closing = False  # whether who is heard now comes too late to be served
        sockets_ = core.config.limits.sockets
        newcomers = max(8, min(128, sockets_ // 6))
        self._operators = OPERATORS if core.config.operator else 0
        self._descriptors = sockets_ - SPARE - newcomers - self._operators
        # The port can be shared, for a new process that the old one does not answer.
        self._listener = self._takeover.request_listener() or socket.create_server(
            core.config.listen, backlog=1024, reuse_port=True
        )
        self._admission = ConnectionAcceptor(self._listener, newcomers, self)
        self._hearing = threading.Thread(target=self._admission.run, name="admission", daemon=True)

    @property
    def address(self) -> tuple[str, int]:
        host, port = self._listener.getsockname()[:2]
        return host, port

    @property
    def come_back(self) -> timedelta:
        """When who is turned away at the door may come again."""
        settings = self._core.config.settings
        most = settings.max_retry_after_us * MICROSECOND
        return min(COME_BACK, most) if settings.can_send_retry_after else timedelta(0)

    @property
    def ready(self) -> bool:
        """What a front that asks PING is told."""
        return self._core.lifecycle.ready and self._core.may_decide()

    @property
    def active(self) -> int:
        """Connections taken and not ended yet."""
        return len(self._open)

    def start(self) -> None:
        self._hearing.start()
        self._core.lifecycle.started()
        self._takeover.serve(self._listener, self)

    def unread(self) -> None:
        """A line that made no sense was answered."""
        self._core.metrics.unread()

    def turned_away(self, heard: bytes) -> None:
        """Who said this found no descriptor."""
        try:
            cls = protocol.parse_opening(heard).class_name
        except protocol.LineError:
            self._core.metrics.unread()
        else:
            self._core.metrics.answered(cls, Ending.SHED)

    def admit(
        self, sock: socket.socket, opening: protocol.Opening, arrived: timedelta, take: Callable[[], None]
    ) -> bytes:
        """Serve a connection in a thread of its own, from `take` on; else the answer that turns it away."""
        try:
            answer = self._admit(sock, opening, arrived, take)
        except protocol.LineError as err:
            log(LogEvent.INVALID_LINE, where="client", why=err)
            answer = protocol.ERR + b"\r\n"
        if answer:
            self._core.metrics.answered(opening.class_name, Ending.of(answer))
        return answer

    def _admit(
        self, sock: socket.socket, opening: protocol.Opening, arrived: timedelta, take: Callable[[], None]
    ) -> bytes:
        if opening.class_name not in self._core.class_numbers:
            raise protocol.LineError(f"c: unknown class {opening.class_name[:40]}")
        if (
            self._core.config.tenants
            and opening.field_values.get(TENANT_FIELD) not in self._core.config.tenants
        ):
            raise protocol.LineError(f"t: unknown tenant {opening.field_values.get(TENANT_FIELD, '')[:40]}")
        if self._closing or not self._core.may_decide(opening.connection_id):
            return protocol.format_reject(self.come_back)
        resuming = self._core.session_service
        if resuming is not None and RESUME_TOKEN_FIELD in opening.field_values:
            return resuming.resume(sock, opening, arrived, take)
        if not self._core.lifecycle.takes:
            return protocol.format_reject(self.come_back)
        standing = len(self._core.request_ids(True))
        # A resumable session keeps its mailbox's descriptor while it stands.
        standing -= len(resuming.token_registry) if resuming is not None else 0
        with self._lock:
            if opening.connection_id in self._open:
                raise protocol.LineError("id: open already")
            # Two descriptors each, and a mailbox for those that do not stand yet.
            full = (
                3 * (len(self._open) + 1) - standing
                > self._descriptors - self._takeover.remote_descriptor_count
            )
            if not full:
                self._open.add(opening.connection_id)
        if full:
            log(LogEvent.CLIENT_REJECTED, why="limit")
            return protocol.format_reject(self.come_back)
        go = threading.Lock()  # the thread must not touch the socket before the admission has let it go
        with go:
            try:
                threading.Thread(target=self._begin, args=(go, sock, opening, arrived), daemon=True).start()
            except RuntimeError as err:  # no thread to be had: the admission answers
                self._done(opening)
                log(LogEvent.CLIENT_REJECTED, why=err)
                return protocol.format_reject(self.come_back)
            take()
        return b""

    def _begin(
        self, go: threading.Lock, sock: socket.socket, opening: protocol.Opening, arrived: timedelta
    ) -> None:
        with go:
            pass
        self._serve(sock, opening, arrived)

    def _done(self, opening: protocol.Opening) -> None:
        with self._lock:
            self._open.discard(opening.connection_id)

    def _serve(
        self,
        sock: socket.socket,
        opening: protocol.Opening,
        arrived: timedelta,
        handed: tuple[ConnectionState, socket.socket] | None = None,
    ) -> None:
        """One connection's thread; `handed`: what the process before gave with it."""
        transaction = RequestHandler(self._core, sock, opening, arrived, handed)
        try:
            sockets.configure_stream(sock)
            transaction.run()
        except OSError as err:
            log(LogEvent.CLIENT_CONNECTION_FAILED, why=err)
            if not transaction.answered:
                self._core.metrics.answered(opening.class_name, Ending.LEFT)
        except Exception as err:  # one connection's mistake must not cost the others anything
            log(LogEvent.INTERNAL_ERROR, why=repr(err))
            if not transaction.answered:
                self._core.metrics.answered(opening.class_name, Ending.ERRORS)
            with contextlib.suppress(OSError):
                sock.sendall(protocol.ERR + b"\r\n")
        finally:
            sock.close()
            self._done(opening)

    def stop_listening(self) -> None:
        """End the admission, and wait until it has answered who is there; then close the listener."""
        self._takeover.unpublish()
        self._admission.end()
        if self._hearing.ident is not None:
            self._hearing.join((CLOSING + SEEN_OUT).total_seconds())
        if not self._takeover.is_listener_shared:
            with contextlib.suppress(OSError):
                self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    # --- what a process that takes our place, or whose place we took, wants

    def split_descriptors(self) -> tuple[int, int]:
        """Descriptors that this process keeps where another one comes, and what that leaves to it."""
        used = 3 * len(self._open) - len(self._core.request_ids(True))
        kept = SPARE + self._operators + self._admission.newcomers + used
        free = max(0, self._descriptors - used)
        return kept + free // 2, free - free // 2

    def known_endpoints(self) -> EndpointList:
        """The list as it is known."""
        return self._core.endpoint_list()

    def adopt_connection(
        self, state: ConnectionState, client: socket.socket, upstream: socket.socket
    ) -> None:
        """Go on with a connection of the process before, in a thread of its own."""
        try:
            opening = protocol.parse_opening(state.opening.encode() + b"\r\n")
            sockets.configure_stream(upstream)
            with self._lock:
                self._open.add(opening.connection_id)
            args = (client, opening, now(), (state, upstream))
            threading.Thread(target=self._serve, args=args, daemon=True).start()
        except (protocol.LineError, RuntimeError) as err:  # no thread to be had
            log(LogEvent.CONNECTION_ADOPTION_FAILED, why=err)
            upstream.close()
            with contextlib.suppress(OSError):
                client.send(protocol.MOVE + b"\r\n", socket.MSG_DONTWAIT)
            client.close()

    def set_accepting(self, accepting: bool) -> None:
        """Another process takes the clients, or it is gone again; it matters only to a process that ends."""
        if self._core.lifecycle.phase is NodeState.DRAINING:
            self._admission.hold(not accepting)

    def drain(self) -> None:
        """After SIGTERM: serve what still arrives, then move what stands, reject the rest in time."""
        core = self._core
        core.lifecycle.drain()
        self._admission.hold(self._takeover.has_successor)
        self._takeover.begin_migration()
        longest = min(core.config.longest_deadline, timedelta(seconds=3))
        end = core.lifecycle.since + longest + KILL_MARGIN - EXIT_MARGIN
        told = self._spread(core.lifecycle.since, end, until_empty=True)
        self._closing = True
        self._admission.end()
        self._turn_out(told, end + CLOSING)
        self.stop_listening()
        log(LogEvent.DRAINED, standing=len(core.request_ids(True)), in_hand=len(core.request_ids(False)))

    def watch_standby(self) -> None:
        """For a thread of its own: the same drain whenever the node goes to standby, without its end."""
        core = self._core
        while True:
            since = core.lifecycle.await_phase(NodeState.STANDBY)
            moved = self._spread(since, since + STANDBY)
            if not core.lifecycle.left(since, now()):
                self._turn_out(moved, now())
                log(
                    LogEvent.STANDBY_ENTERED,
                    standing=len(core.request_ids(True)),
                    in_hand=len(core.request_ids(False)),
                )
            core.lifecycle.left(since)

    def _spread(self, since: timedelta, end: timedelta, until_empty: bool = False) -> set[int]:
        """Move what stands, spread over the time until the end; whom it told. It ends early with the phase.

        All clients coming at once to the other nodes would fail together.
        """
        core, moved = self._core, set[int]()
        while not core.lifecycle.left(since, max(since + ARRIVALS, now() + PACE)) and now() < end:
            standing = [n for n in core.request_ids(True) if n not in moved]
            if until_empty and not self._open and not self._admission.expecting:
                break
            turns = max(1, (end - SETTLED - now()) // PACE)
            some = standing[: -(-len(standing) // turns)]
            moved.update(some)
            core.dispatch([Migrate(n) for n in some])
        return moved

    def _turn_out(self, told: set[int], until: timedelta) -> None:
        """What is in hand is turned away, what stands is moved, until all have left or a moment has come.

        Each is told once: a refusal that finds its connection standing by then is a move. One that was
        admitted a moment ago may still be about to register, so it is looked for again and again.
        """
        core = self._core
        while True:
            waiting = [n for n in core.request_ids(False) if n not in told]
            standing = [n for n in core.request_ids(True) if n not in told and n not in waiting]
            told.update(waiting, standing)
            core.dispatch([*(Reject(n) for n in waiting), *(Migrate(n) for n in standing)])
            if not self._open or now() >= until:
                return
            _sleep(now() + PACE)


def _sleep(until: timedelta) -> None:
    threading.Event().wait(seconds_left(until))
