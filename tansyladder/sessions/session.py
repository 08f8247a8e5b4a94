"""One resumable session's life: it stands, moves to another member, waits for its client, and ends.

The session's thread alone reads and writes its sockets. It always holds one of: a client and a flow (it
stands), a flow alone (parked), neither (adrift: its member was lost while nobody was there). A client that
comes back is handed over through the mailbox; the old connection is closed before the new one gets a line.
"""

from __future__ import annotations

import contextlib
import select
import socket
from dataclasses import replace
from datetime import timedelta

from tansyladder.log import LogEvent, log
from tansyladder.net import protocol, sockets
from tansyladder.net.action_queue import ActionQueue, ResumingClient
from tansyladder.net.clock import MICROSECOND, now, seconds_left
from tansyladder.net.protocol import Opening
from tansyladder.net.response_timeout import OVERDUE_INTERVAL, ResponseTimeout
from tansyladder.net.upstream import ConnectResult, UpstreamConnection
from tansyladder.node.attempt_loop import AttemptLoop, request_of
from tansyladder.node.metrics import Ending
from tansyladder.node.policy_runner import PolicyRunner
from tansyladder.policy.actions import Reject
from tansyladder.policy.events import AttemptStatus
from tansyladder.resumption import control_messages
from tansyladder.resumption.errors import ControlMessageError, PositionError
from tansyladder.resumption.stream import Stream, StreamOutput, StreamSignal
from tansyladder.resumption.token_registry import SessionEnd
from tansyladder.sessions.session_registry import SessionRegistry

MIGRATION_TIMEOUT = timedelta(milliseconds=900)  # no line of a client is held back for over a second
ACKNOWLEDGEMENT_INTERVAL = timedelta(seconds=4)
DRAIN_CHECK_INTERVAL = timedelta(seconds=1)  # between two looks of a session adrift for the drain of the node
CLOSING_TIMEOUT = timedelta(milliseconds=800)  # what one side ended, the other has ended within a second
MAX_MIGRATIONS_WITHOUT_PROGRESS = 3  # a session that kills its hosts ends


class BufferedSocket:
    """One socket of the session, and what it has not taken yet."""

    __slots__ = ("line_buffer", "sock", "last_progress", "unsent")

    def __init__(self, sock: socket.socket, buffer: protocol.LineBuffer | None = None) -> None:
        sock.settimeout(None)  # with a time-out Python waits before each call, whatever its flags say
        self.sock, self.line_buffer = sock, buffer or protocol.LineBuffer()
        self.unsent, self.last_progress = b"", now()

    def send(self, data: bytes) -> None:
        """Write what it takes now and keep the rest. OSError: it is gone."""
        if not data and not self.unsent:
            return
        if not self.unsent:
            self.last_progress = now()
        self.unsent += data
        with contextlib.suppress(BlockingIOError):
            sent = self.sock.send(self.unsent, socket.MSG_DONTWAIT)
            self.unsent = self.unsent[sent:]
            self.last_progress = now()

    @property
    def is_stalled(self) -> bool:
        """Whether it has taken nothing for long."""
        return bool(self.unsent) and now() - self.last_progress > sockets.SEND_TIMEOUT


class UpstreamLostError(Exception):
    """The member's flow can't go on; the session may, elsewhere."""

    def __init__(self, status: AttemptStatus, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason


class SessionEndedError(Exception):
    """The session ends."""

    def __init__(
        self, session_end: SessionEnd, status: AttemptStatus = AttemptStatus.CANCELLED, last_line: bytes = b""
    ) -> None:
        super().__init__(session_end.value)
        self.session_end, self.status, self.last_line = session_end, status, last_line


class Session:
    """A transaction whose client offered to resume, from the first UP to its end."""

    def __init__(
        self,
        core: PolicyRunner,
        shared: SessionRegistry,
        box: ActionQueue,
        client: socket.socket | None,
        cls: int,
        opening: Opening,
        stream: Stream,
    ) -> None:
        self._core, self._registry, self._queue = core, shared, box
        self._service_class, self._opening, self._stream = cls, opening, stream
        self._client: BufferedSocket | None = BufferedSocket(client) if client is not None else None
        self._host: BufferedSocket | None = None
        self._holds_suspended_slot = False  # whether it is counted among those that wait for their clients
        self._endpoint_id, self._up_line = "", b""
        self._replay = b""  # lines that the newest member has yet to get
        self._renew_at = self._expires_at = now()
        self._acknowledge_at: timedelta | None = None
        self._closing_deadline: timedelta | None = None  # the member's last words to a client that left
        self._migration_count = 0
        self._response_timeout = ResponseTimeout(lambda _: None)

    def set_expiry(self, moment: timedelta) -> None:
        """For a session of an earlier start: how long its client may still come back."""
        self._expires_at = moment

    def run(self, standing: UpstreamConnection | None = None, number: int = 0) -> None:
        """Stand, move, be parked, come back, until one side ends it; all sockets are closed then.

        Without a flow it is a session of an earlier start, adrift until its client is there.
        """
        core, shared, session = self._core, self._registry, self._stream.session_id
        over = SessionEndedError(SessionEnd.ENDED)
        try:
            if standing is None:
                self._holds_suspended_slot = shared.reserve_suspended()
                if not self._holds_suspended_slot:
                    raise SessionEndedError(SessionEnd.NO_CAPACITY)
                standing, number = self._next_upstream(UpstreamLostError(AttemptStatus.RESET, "restart"))
                self._host = BufferedSocket(standing.sock, standing.buffer)
            else:
                self._up_line = standing.initial_lines[0]
                self._host = BufferedSocket(standing.sock, standing.buffer)
                shared.token_registry.add(session, self._queue)
                self._send_to_client(self._up_line + self._issue_token())  # the final answer
            while True:
                try:
                    self._forward(standing, number)
                except UpstreamLostError as lost:
                    lost_at = now()
                    self._leave_upstream(standing, number, lost.status)
                    standing, number = self._next_upstream(lost)
                    self._host = BufferedSocket(standing.sock, standing.buffer)
                    log(
                        LogEvent.SESSION_MOVED,
                        member=standing.endpoint.id,
                        why=lost.reason,
                        took=now() - lost_at,
                    )
        except SessionEndedError as end:
            over = end
        finally:
            if self._host is not None and standing is not None:
                self._leave_upstream(standing, number, over.status)
            # In this order: once the ledger has it ended, nobody else comes, and who came is answered.
            shared.end(session, over.session_end)
            while visitor := self._queue.take_client():
                taken = (
                    over.session_end is SessionEnd.CLAIMED_BY_OTHER_NODE
                )  # it may be taken back in a moment
                self._reject(
                    visitor,
                    shared.retry_soon_answer
                    if taken
                    else control_messages.format_rejection(over.session_end.value),
                )
            core.unregister_request(number)
            self._queue.close()
            self._stream.close()
            if self._holds_suspended_slot:
                self._registry.release_suspended()
            if self._client is not None:
                sockets.configure_stream(self._client.sock)
                sockets.shutdown_and_drain(self._client.sock, self._client.unsent + over.last_line)

    # --- standing

    def _forward(self, standing: UpstreamConnection, number: int) -> None:
        """Pass lines until the flow is lost or the session over; ends with _Lost or _Over only."""
        core, stream, box = self._core, self._stream, self._queue
        assert self._host is not None
        self._endpoint_id = standing.endpoint.id
        self._reports = core.delay_reports(number, standing.attempt, standing.endpoint.number)
        self._response_timeout = ResponseTimeout(self._reports.record_delay)
        box.mark_established()
        if self._replay:
            self._response_timeout.line_sent()
            self._send_to_host(self._replay)
        self._forward_host_lines(standing.initial_lines[1:])
        while True:
            if box.is_superseded:
                raise SessionEndedError(SessionEnd.CLAIMED_BY_OTHER_NODE)
            while visitor := box.take_client():
                self._resume_client(visitor)
            self._check_timers()
            ready = self._wait_ready()
            if box.fileno() in ready:
                self._apply_actions(number)
            if self._client is not None and self._client.sock.fileno() in ready:
                self._read_client(self._client)
            if self._host.sock.fileno() in ready:
                self._read_host(self._host)
            if not stream.can_resume_client and self._client is None:
                raise SessionEndedError(
                    SessionEnd.BUFFER_OVERFLOW
                )  # what did not fit the buffers ends the chance to come back

    def _apply_actions(self, number: int) -> None:
        while (order := self._queue.take()) is not None:
            if order.request_id != number:
                continue  # of a placement that is over
            raise UpstreamLostError(AttemptStatus.CANCELLED, "ordered")

    def _check_timers(self) -> None:
        """What is due by the clock: tokens, acknowledgments, and sides that say or take nothing."""
        moment, client, host = now(), self._client, self._host
        assert host is not None
        if client is None:
            if moment >= self._expires_at:
                raise SessionEndedError(SessionEnd.EXPIRED)
            return
        if self._closing_deadline is not None and moment >= self._closing_deadline:
            raise SessionEndedError(SessionEnd.ENDED)
        if host.is_stalled:
            raise UpstreamLostError(AttemptStatus.TIMEOUT, "stuck")
        if client.is_stalled:
            self._suspend("stuck")
        elif not client.unsent and self._response_timeout.check_silent():
            raise UpstreamLostError(AttemptStatus.TIMEOUT, "silent")
        elif self._closing_deadline is None:
            if self._acknowledge_at is not None and moment >= self._acknowledge_at:
                self._send_to_client(self._stream.acknowledge_client())
                self._acknowledge_at = (
                    moment + ACKNOWLEDGEMENT_INTERVAL if self._stream.has_unacknowledged_lines else None
                )
            if moment >= self._renew_at:
                self._send_to_client(self._issue_token())

    def _issue_token(self) -> bytes:
        """A new token, where one is of use; the next is due at half its life."""
        expires = self._registry.options.expires
        self._renew_at, self._expires_at = now() + expires / 2, now() + expires
        if not self._stream.can_resume_client:
            return b""
        return self._registry.issue_token_line(self._stream.session_id, self._opening)

    def _wait_ready(self) -> set[int]:
        """What can go on; a side whose other one has not taken all is not read, which holds up its sender."""
        client, host, poll = self._client, self._host, select.poll()
        assert host is not None
        poll.register(self._queue, select.POLLIN)
        if client is not None:
            reads = 0 if host.unsent or self._closing_deadline is not None else select.POLLIN
            if events := reads | (select.POLLOUT if client.unsent else 0):
                poll.register(client.sock, events)
        reads = 0 if client is not None and client.unsent else select.POLLIN
        if events := reads | (select.POLLOUT if host.unsent else 0):
            poll.register(host.sock, events)
        due = [self._expires_at if client is None else self._renew_at]
        due += [t for t in (self._acknowledge_at, self._closing_deadline) if t is not None]
        if self._response_timeout.is_waiting or host.unsent or (client is not None and client.unsent):
            due.append(now() + OVERDUE_INTERVAL)
        return {fd for fd, _ in poll.poll(-(-seconds_left(min(due)) * 1000 // 1))}

    def _read_client(self, client: BufferedSocket) -> None:
        assert self._host is not None
        try:
            client.send(b"")
            if self._host.unsent or self._closing_deadline is not None:
                return
            data = client.sock.recv(sockets.READ_SIZE_BYTES, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError:
            return self._suspend("broke")
        if not data:
            return self._suspend("broke")
        out, counted = StreamOutput(), self._stream.from_client.end_position
        try:
            for line in client.line_buffer.feed(data):
                said = self._stream.receive_from_client(line)
                out.to_host += said.to_host
                out.to_client += said.to_client
                out.signal = said.signal
                if said.signal is StreamSignal.CLIENT_LEFT:
                    break
        except (protocol.LineError, ControlMessageError, PositionError) as err:
            log(LogEvent.INVALID_LINE, where="session", why=err)
            raise SessionEndedError(SessionEnd.CLIENT_REDIRECTED, last_line=protocol.MOVE + b"\r\n") from err
        if self._stream.from_client.end_position > counted:  # nobody answers an acknowledgment
            self._response_timeout.line_sent()
            self._acknowledge_at = self._acknowledge_at or now() + ACKNOWLEDGEMENT_INTERVAL
        self._send_to_host(out.to_host)
        self._send_to_client(out.to_client)
        if out.signal is StreamSignal.CLIENT_LEFT:
            self._closing_deadline = now() + CLOSING_TIMEOUT
            if not self._host.unsent:
                with contextlib.suppress(OSError):
                    self._host.sock.shutdown(socket.SHUT_WR)

    def _read_host(self, host: BufferedSocket) -> None:
        try:
            host.send(b"")
            if self._client is not None and self._client.unsent:
                return
            data = host.sock.recv(sockets.READ_SIZE_BYTES, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError as err:
            raise self._host_closed("reset") from err
        if not data:
            raise self._host_closed("ended")
        try:
            lines = host.line_buffer.feed(data)
        except protocol.LineError as err:
            log(LogEvent.INVALID_RESPONSE, member=self._endpoint_id, why=err)
            raise UpstreamLostError(AttemptStatus.ERROR, "bad_line") from err
        self._forward_host_lines(tuple(lines))

    def _host_closed(self, why: str) -> Exception:
        """Its flow ended without BYE: the session is lost here, unless its client left or can't go on."""
        if self._closing_deadline is not None:
            return SessionEndedError(SessionEnd.ENDED)
        return UpstreamLostError(AttemptStatus.RESET, why)

    def _forward_host_lines(self, lines: tuple[bytes, ...]) -> None:
        """Count what the member said and pass it on; MOVE and BYE decide what comes next."""
        passed, out = b"", StreamOutput()
        for line in lines:
            try:
                out = self._stream.receive_from_host(line)
            except (ControlMessageError, PositionError) as err:
                log(LogEvent.INVALID_RESPONSE, member=self._endpoint_id, why=err)
                raise UpstreamLostError(AttemptStatus.ERROR, "bad_word") from err
            passed += out.to_client
            if out.to_client:
                self._migration_count = 0
                word = protocol.first_word(line)
                self._response_timeout.line_received(word)
                if word == protocol.LOAD:
                    self._reports.record_load_line(line)
            if out.signal is not StreamSignal.NONE:
                break
        self._send_to_client(passed)
        self._send_to_client(self._stream.report_lost_resumption())
        if out.signal is StreamSignal.HOST_REDIRECTED:
            raise UpstreamLostError(AttemptStatus.CANCELLED, "sent_away")
        if out.signal is StreamSignal.HOST_FINISHED:
            if self._client is None and self._stream.can_resume_client:
                raise UpstreamLostError(AttemptStatus.OK, "served")  # its last lines wait for the client
            raise SessionEndedError(SessionEnd.ENDED, AttemptStatus.OK)

    def _send_to_host(self, data: bytes) -> None:
        assert self._host is not None
        try:
            self._host.send(data)
        except OSError as err:
            raise self._host_closed("reset") from err

    def _send_to_client(self, data: bytes) -> None:
        if self._client is not None and data:
            try:
                self._client.send(data)
            except OSError:
                self._suspend("broke")

    # --- without a client

    def _suspend(self, why: str) -> None:
        """The client's connection is gone: keep the session for a while, unless nobody could come back."""
        assert self._client is not None
        if self._closing_deadline is not None:
            raise SessionEndedError(SessionEnd.ENDED)
        sockets.reset(self._client.sock)
        self._client, self._acknowledge_at = None, None
        if not self._stream.can_resume_client:
            raise SessionEndedError(SessionEnd.BUFFER_OVERFLOW)
        self._holds_suspended_slot = self._registry.reserve_suspended()
        if not self._holds_suspended_slot:
            raise SessionEndedError(SessionEnd.NO_CAPACITY)
        log(LogEvent.SESSION_SUSPENDED, why=why)

    def _resume_client(self, visitor: ResumingClient) -> None:
        """A client came back: fence off its old connection, then tell it where both sides are."""
        try:
            at, *lines = self._stream.resume_client(visitor.received_line_count)
        except PositionError as err:
            self._registry.token_registry.cancel_resume(self._stream.session_id)
            self._reject(visitor, control_messages.format_rejection(err.reason))
            return
        if refusal := self._registry.redeem(self._stream.session_id, self._opening, visitor):
            self._registry.token_registry.cancel_resume(self._stream.session_id)
            self._reject(visitor, refusal)
            return
        if self._client is not None:
            sockets.reset(self._client.sock)  # half dead or not: it gets no further line
        if self._holds_suspended_slot:
            self._holds_suspended_slot = False
            self._registry.release_suspended()
        sockets.configure_stream(visitor.sock)
        self._client = BufferedSocket(visitor.sock)
        self._core.metrics.answered(self._opening.class_name, Ending.OK)
        log(LogEvent.SESSION_RESUMED, position=visitor.received_line_count)
        self._send_to_client(self._up_line + at + self._issue_token() + b"".join(lines))
        if self._client is not None:  # else it was gone: the token is in doubt, not spent
            self._registry.confirm_opened(self._stream.session_id)

    def _await_client(self) -> ResumingClient:
        """The next client that comes back to a session adrift; _Over once nobody can."""
        while True:
            visitor = self._queue.take_client()
            if visitor is not None:
                self._stream.adopt_client_position(visitor.received_line_count)
                try:
                    self._stream.from_host.lines_after(visitor.received_line_count)
                    return visitor
                except PositionError as err:
                    self._registry.token_registry.cancel_resume(self._stream.session_id)
                    self._reject(visitor, control_messages.format_rejection(err.reason))
                    continue
            if self._queue.is_superseded:
                raise SessionEndedError(SessionEnd.CLAIMED_BY_OTHER_NODE)
            if self._core.lifecycle.leaving:
                raise SessionEndedError(SessionEnd.CLIENT_REDIRECTED)
            if now() >= self._expires_at:
                raise SessionEndedError(SessionEnd.EXPIRED)
            self._queue.take()
            until = min(self._expires_at, now() + DRAIN_CHECK_INTERVAL)
            sockets.wait_readable(until, self._queue.fileno())

    # --- another member

    def _leave_upstream(self, standing: UpstreamConnection, number: int, status: AttemptStatus) -> None:
        """The old flow is closed before the module hears of its end, and before any other is opened."""
        assert self._host is not None
        self._host.sock.close()
        self._host = None
        self._queue.mark_lost()
        self._core.handle_events(standing.attempt_ended(number, status))
        self._core.unregister_request(number)

    def _next_upstream(self, lost: UpstreamLostError) -> tuple[UpstreamConnection, int]:
        """Place the session anew, once there is a client to place it for; _Over where that can't be."""
        served = lost.status is AttemptStatus.OK
        while True:
            if self._client is not None and (served or not self._stream.can_migrate):
                raise SessionEndedError(SessionEnd.CLIENT_REDIRECTED, last_line=protocol.MOVE + b"\r\n")
            if self._client is None and not served and not self._stream.can_migrate:
                raise SessionEndedError(SessionEnd.CLIENT_REDIRECTED)
            self._migration_count += 1
            if self._migration_count > MAX_MIGRATIONS_WITHOUT_PROGRESS:
                raise SessionEndedError(SessionEnd.CLIENT_REDIRECTED, last_line=protocol.MOVE + b"\r\n")
            if self._core.lifecycle.leaving:
                raise SessionEndedError(SessionEnd.CLIENT_REDIRECTED, last_line=self._final_line())
            visitor = None if self._client is not None else self._await_client()
            if visitor is not None and served:
                self._resume_client(visitor)
                raise SessionEndedError(SessionEnd.ENDED)
            found = self._place_upstream(visitor.deadline if visitor else now() + MIGRATION_TIMEOUT)
            if isinstance(found, tuple):
                if visitor is not None:
                    self._up_line = found[0].initial_lines[0]
                    self._resume_client(visitor)
                return found
            if visitor is None:
                log(LogEvent.SESSION_REJECTED, why=lost.reason)
                raise SessionEndedError(SessionEnd.CLIENT_REDIRECTED, last_line=self._final_line())
            self._registry.token_registry.cancel_resume(self._stream.session_id)
            self._migration_count = 0
            self._reject(visitor, protocol.format_reject(found))

    def _final_line(self) -> bytes:
        """The last word to a client for which this node can do no more; none where a peer goes on with it.

        MOVE is for who begins anew. A connection that ends without it has its client come with its token.
        """
        elsewhere = self._registry.resumes_on_any_node and self._stream.can_resume_client
        return b"" if elsewhere else protocol.MOVE + b"\r\n"

    def _place_upstream(self, deadline: timedelta) -> tuple[UpstreamConnection, int] | timedelta:
        """A new flow with the session's positions, and its number; else when to come back."""
        core, box, opening, stream = self._core, self._queue, self._opening, self._stream

        def accept(answer: ConnectResult) -> bool:
            try:
                self._replay = stream.complete_placement(answer.following_lines[0])
            except PositionError as err:
                log(
                    LogEvent.REPLAY_MISMATCH,
                    receipt=answer.up_line.decode(errors="replace").strip()[:80],
                    why=err.reason,
                )
                return False
            return True

        first_line = self._registry.first_line_builder(opening, stream)
        number = core.register_request(box)
        request = request_of(core, number, self._service_class, opening, deadline, True)
        found = AttemptLoop(core, box, number, opening.class_name, deadline, first_line, None, 2, accept).run(
            request
        )
        if isinstance(found, UpstreamConnection):
            lines = (found.initial_lines[0], *found.initial_lines[2:])  # without its word of positions
            return replace(found, initial_lines=lines), number
        core.unregister_request(number)
        return found.retry_after_us * MICROSECOND if isinstance(found, Reject) else timedelta(0)

    def _reject(self, visitor: ResumingClient, answer: bytes) -> None:
        self._core.metrics.answered(self._opening.class_name, Ending.of(answer))
        sockets.configure_stream(visitor.sock)
        sockets.shutdown_and_drain(visitor.sock, answer)
