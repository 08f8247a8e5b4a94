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
from tansyladder.node.attempt_loop import AttemptLoop, build_request
from tansyladder.node.metrics import RequestOutcome
from tansyladder.node.policy_runner import PolicyRunner
from tansyladder.policy.actions import Reject
from tansyladder.policy.events import AttemptStatus
from tansyladder.resumption import control_messages
from tansyladder.resumption.errors import ControlMessageError, PositionError
from tansyladder.resumption.stream import Stream, StreamOutput, StreamSignal
from tansyladder.resumption.token_registry import SessionEnd
from tansyladder.sessions.session_registry import SessionRegistry

MOVE_WITHIN = timedelta(milliseconds=900)  # a line of a client that stands is held back for a second at most
ACK_WITHIN = timedelta(seconds=4)
LOOK = timedelta(seconds=1)  # between two looks of a session adrift for the drain of the node
LAST_WORDS = timedelta(milliseconds=800)  # what one side ended, the other has ended within a second
MOST_MOVES = 3  # in a row, without a line of any member between them: a session that kills its hosts ends


class BufferedSocket:
    """One socket of the session, and what it has not taken yet."""

    __slots__ = ("buffer", "sock", "took", "waiting")

    def __init__(self, sock: socket.socket, buffer: protocol.LineBuffer | None = None) -> None:
        sock.settimeout(None)  # with a time-out Python waits before each call, whatever its flags say
        self.sock, self.buffer = sock, buffer or protocol.LineBuffer()
        self.waiting, self.took = b"", now()

    def say(self, data: bytes) -> None:
        """Write what it takes now and keep the rest. OSError: it is gone."""
        if not data and not self.waiting:
            return
        if not self.waiting:
            self.took = now()
        self.waiting += data
        with contextlib.suppress(BlockingIOError):
            sent = self.sock.send(self.waiting, socket.MSG_DONTWAIT)
            self.waiting = self.waiting[sent:]
            self.took = now()

    @property
    def stuck(self) -> bool:
        """Whether it has taken nothing for long."""
        return bool(self.waiting) and now() - self.took > sockets.SEND_TIMEOUT


class _UpstreamLost(Exception):
    """The member's flow can't go on; the session may, elsewhere."""

    def __init__(self, status: AttemptStatus, why: str) -> None:
        super().__init__(why)
        self.status, self.why = status, why


class _SessionEnded(Exception):
    """The session ends."""

    def __init__(
        self, why: SessionEnd, status: AttemptStatus = AttemptStatus.CANCELLED, last: bytes = b""
    ) -> None:
        super().__init__(why.value)
        self.why, self.status, self.last = why, status, last


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
        self._core, self._shared, self._box = core, shared, box
        self._cls, self._opening, self._stream = cls, opening, stream
        self._client: BufferedSocket | None = BufferedSocket(client) if client is not None else None
        self._host: BufferedSocket | None = None
        self._parked = False  # whether it is counted among those that wait for their clients
        self._member, self._receipt = "", b""
        self._missing = b""  # lines that the newest member has yet to get
        self._renew_at = self._expiry = now()
        self._ack_at: timedelta | None = None
        self._until: timedelta | None = None  # the member's last words to a client that left
        self._moves = 0
        self._question = ResponseTimeout(lambda _: None)

    def expires_at(self, moment: timedelta) -> None:
        """For a session of an earlier start: how long its client may still come back."""
        self._expiry = moment

    def run(self, standing: UpstreamConnection | None = None, number: int = 0) -> None:
        """Stand, move, be parked, come back, until one side ends it; all sockets are closed then.

        Without a flow it is a session of an earlier start, adrift until its client is there.
        """
        core, shared, session = self._core, self._shared, self._stream.session_id
        over = _SessionEnded(SessionEnd.ENDED)
        try:
            if standing is None:
                self._parked = shared.reserve_suspended()
                if not self._parked:
                    raise _SessionEnded(SessionEnd.NO_CAPACITY)
                standing, number = self._go_on(_UpstreamLost(AttemptStatus.RESET, "restart"))
                self._host = BufferedSocket(standing.sock, standing.buffer)
            else:
                self._receipt = standing.initial_lines[0]
                self._host = BufferedSocket(standing.sock, standing.buffer)
                shared.token_registry.add(session, self._box)
                self._tell_client(self._receipt + self._token())  # the final answer of the first request
            while True:
                try:
                    self._stand(standing, number)
                except _UpstreamLost as lost:
                    lost_at = now()
                    self._leave_host(standing, number, lost.status)
                    standing, number = self._go_on(lost)
                    self._host = BufferedSocket(standing.sock, standing.buffer)
                    log(
                        LogEvent.SESSION_MOVED,
                        member=standing.endpoint.id,
                        why=lost.why,
                        took=now() - lost_at,
                    )
        except _SessionEnded as end:
            over = end
        finally:
            if self._host is not None and standing is not None:
                self._leave_host(standing, number, over.status)
            # In this order: once the ledger has it ended, nobody else comes, and who came is answered.
            shared.end(session, over.why)
            while visitor := self._box.take_client():
                taken = over.why is SessionEnd.CLAIMED_BY_OTHER_NODE  # it may be taken back in a moment
                self._refuse(
                    visitor,
                    shared.retry_soon_answer if taken else control_messages.format_rejection(over.why.value),
                )
            core.unregister_request(number)
            self._box.close()
            self._stream.close()
            if self._parked:
                self._shared.release_suspended()
            if self._client is not None:
                sockets.configure_stream(self._client.sock)
                sockets.shutdown_and_drain(self._client.sock, self._client.waiting + over.last)

    # --- standing

    def _stand(self, standing: UpstreamConnection, number: int) -> None:
        """Pass lines until the flow is lost or the session over; ends with _Lost or _Over only."""
        core, stream, box = self._core, self._stream, self._box
        assert self._host is not None
        self._member = standing.endpoint.id
        self._notes = core.delay_reports(number, standing.attempt, standing.endpoint.number)
        self._question = ResponseTimeout(self._notes.record_delay)
        box.mark_established()
        if self._missing:
            self._question.line_sent()
            self._tell_host(self._missing)
        self._take_host_lines(standing.initial_lines[1:])
        while True:
            if box.is_superseded:
                raise _SessionEnded(SessionEnd.CLAIMED_BY_OTHER_NODE)
            while visitor := box.take_client():
                self._let_in(visitor)
            self._keep_up()
            ready = self._wait()
            if box.fileno() in ready:
                self._follow_orders(number)
            if self._client is not None and self._client.sock.fileno() in ready:
                self._serve_client(self._client)
            if self._host.sock.fileno() in ready:
                self._serve_host(self._host)
            if not stream.can_resume_client and self._client is None:
                raise _SessionEnded(
                    SessionEnd.BUFFER_OVERFLOW
                )  # what did not fit the buffers ends the chance to come back

    def _follow_orders(self, number: int) -> None:
        while (order := self._box.take()) is not None:
            if order.request_id != number:
                continue  # of a placement that is over
            raise _UpstreamLost(AttemptStatus.CANCELLED, "ordered")

    def _keep_up(self) -> None:
        """What is due by the clock: tokens, acknowledgments, and sides that say or take nothing."""
        moment, client, host = now(), self._client, self._host
        assert host is not None
        if client is None:
            if moment >= self._expiry:
                raise _SessionEnded(SessionEnd.EXPIRED)
            return
        if self._until is not None and moment >= self._until:
            raise _SessionEnded(SessionEnd.ENDED)
        if host.stuck:
            raise _UpstreamLost(AttemptStatus.TIMEOUT, "stuck")
        if client.stuck:
            self._park("stuck")
        elif not client.waiting and self._question.check_silent():
            raise _UpstreamLost(AttemptStatus.TIMEOUT, "silent")
        elif self._until is None:
            if self._ack_at is not None and moment >= self._ack_at:
                self._tell_client(self._stream.acknowledge_client())
                self._ack_at = moment + ACK_WITHIN if self._stream.has_unacknowledged_lines else None
            if moment >= self._renew_at:
                self._tell_client(self._token())

    def _token(self) -> bytes:
        """A new token, where one is of use; the next is due at half its life."""
        expires = self._shared.options.expires
        self._renew_at, self._expiry = now() + expires / 2, now() + expires
        if not self._stream.can_resume_client:
            return b""
        return self._shared.issue_token_line(self._stream.session_id, self._opening)

    def _wait(self) -> set[int]:
        """What can go on; a side whose other one has not taken all is not read, which holds up its sender."""
        client, host, poll = self._client, self._host, select.poll()
        assert host is not None
        poll.register(self._box, select.POLLIN)
        if client is not None:
            reads = 0 if host.waiting or self._until is not None else select.POLLIN
            if events := reads | (select.POLLOUT if client.waiting else 0):
                poll.register(client.sock, events)
        reads = 0 if client is not None and client.waiting else select.POLLIN
        if events := reads | (select.POLLOUT if host.waiting else 0):
            poll.register(host.sock, events)
        due = [self._expiry if client is None else self._renew_at]
        due += [t for t in (self._ack_at, self._until) if t is not None]
        if self._question.is_waiting or host.waiting or (client is not None and client.waiting):
            due.append(now() + OVERDUE_INTERVAL)
        return {fd for fd, _ in poll.poll(-(-seconds_left(min(due)) * 1000 // 1))}

    def _serve_client(self, client: BufferedSocket) -> None:
        assert self._host is not None
        try:
            client.say(b"")
            if self._host.waiting or self._until is not None:
                return
            data = client.sock.recv(sockets.READ_SIZE_BYTES, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError:
            return self._park("broke")
        if not data:
            return self._park("broke")
        out, counted = StreamOutput(), self._stream.from_client.end_position
        try:
            for line in client.buffer.feed(data):
                said = self._stream.receive_from_client(line)
                out.to_host += said.to_host
                out.to_client += said.to_client
                out.signal = said.signal
                if said.signal is StreamSignal.CLIENT_LEFT:
                    break
        except (protocol.LineError, ControlMessageError, PositionError) as err:
            log(LogEvent.INVALID_LINE, where="session", why=err)
            raise _SessionEnded(SessionEnd.CLIENT_REDIRECTED, last=protocol.MOVE + b"\r\n") from err
        if self._stream.from_client.end_position > counted:  # nobody answers an acknowledgment
            self._question.line_sent()
            self._ack_at = self._ack_at or now() + ACK_WITHIN
        self._tell_host(out.to_host)
        self._tell_client(out.to_client)
        if out.signal is StreamSignal.CLIENT_LEFT:
            self._until = now() + LAST_WORDS
            if not self._host.waiting:
                with contextlib.suppress(OSError):
                    self._host.sock.shutdown(socket.SHUT_WR)

    def _serve_host(self, host: BufferedSocket) -> None:
        try:
            host.say(b"")
            if self._client is not None and self._client.waiting:
                return
            data = host.sock.recv(sockets.READ_SIZE_BYTES, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError as err:
            raise self._host_ended("reset") from err
        if not data:
            raise self._host_ended("ended")
        try:
            lines = host.buffer.feed(data)
        except protocol.LineError as err:
            log(LogEvent.INVALID_RESPONSE, member=self._member, why=err)
            raise _UpstreamLost(AttemptStatus.ERROR, "bad_line") from err
        self._take_host_lines(tuple(lines))

    def _host_ended(self, why: str) -> Exception:
        """Its flow ended without BYE: the session is lost here, unless its client left or can't go on."""
        if self._until is not None:
            return _SessionEnded(SessionEnd.ENDED)
        return _UpstreamLost(AttemptStatus.RESET, why)

    def _take_host_lines(self, lines: tuple[bytes, ...]) -> None:
        """Count what the member said and pass it on; MOVE and BYE decide what comes next."""
        passed, out = b"", StreamOutput()
        for line in lines:
            try:
                out = self._stream.receive_from_host(line)
            except (ControlMessageError, PositionError) as err:
                log(LogEvent.INVALID_RESPONSE, member=self._member, why=err)
                raise _UpstreamLost(AttemptStatus.ERROR, "bad_word") from err
            passed += out.to_client
            if out.to_client:
                self._moves = 0
                word = protocol.first_word(line)
                self._question.line_received(word)
                if word == protocol.LOAD:
                    self._notes.record_load_line(line)
            if out.signal is not StreamSignal.NONE:
                break
        self._tell_client(passed)
        self._tell_client(self._stream.report_lost_resumption())
        if out.signal is StreamSignal.HOST_REDIRECTED:
            raise _UpstreamLost(AttemptStatus.CANCELLED, "sent_away")
        if out.signal is StreamSignal.HOST_FINISHED:
            if self._client is None and self._stream.can_resume_client:
                raise _UpstreamLost(AttemptStatus.OK, "served")  # its last lines wait for the client
            raise _SessionEnded(SessionEnd.ENDED, AttemptStatus.OK)

    def _tell_host(self, data: bytes) -> None:
        assert self._host is not None
        try:
            self._host.say(data)
        except OSError as err:
            raise self._host_ended("reset") from err

    def _tell_client(self, data: bytes) -> None:
        if self._client is not None and data:
            try:
                self._client.say(data)
            except OSError:
                self._park("broke")

    # --- without a client

    def _park(self, why: str) -> None:
        """The client's connection is gone: keep the session for a while, unless nobody could come back."""
        assert self._client is not None
        if self._until is not None:
            raise _SessionEnded(SessionEnd.ENDED)
        sockets.reset(self._client.sock)
        self._client, self._ack_at = None, None
        if not self._stream.can_resume_client:
            raise _SessionEnded(SessionEnd.BUFFER_OVERFLOW)
        self._parked = self._shared.reserve_suspended()
        if not self._parked:
            raise _SessionEnded(SessionEnd.NO_CAPACITY)
        log(LogEvent.SESSION_SUSPENDED, why=why)

    def _let_in(self, visitor: ResumingClient) -> None:
        """A client came back: fence off its old connection, then tell it where both sides are."""
        try:
            at, *lines = self._stream.resume_client(visitor.received_line_count)
        except PositionError as err:
            self._shared.token_registry.cancel_resume(self._stream.session_id)
            self._refuse(visitor, control_messages.format_rejection(err.reason))
            return
        if refusal := self._shared.redeem(self._stream.session_id, self._opening, visitor):
            self._shared.token_registry.cancel_resume(self._stream.session_id)
            self._refuse(visitor, refusal)
            return
        if self._client is not None:
            sockets.reset(self._client.sock)  # half dead or not: it gets no further line
        if self._parked:
            self._parked = False
            self._shared.release_suspended()
        sockets.configure_stream(visitor.sock)
        self._client = BufferedSocket(visitor.sock)
        self._core.metrics.record_outcome(self._opening.class_name, RequestOutcome.OK)
        log(LogEvent.SESSION_RESUMED, position=visitor.received_line_count)
        self._tell_client(self._receipt + at + self._token() + b"".join(lines))
        if self._client is not None:  # else it was gone: the token is in doubt, not spent
            self._shared.confirm_opened(self._stream.session_id)

    def _await_return(self) -> ResumingClient:
        """The next client that comes back to a session adrift; _Over once nobody can."""
        while True:
            visitor = self._box.take_client()
            if visitor is not None:
                self._stream.adopt_client_position(visitor.received_line_count)
                try:
                    self._stream.from_host.lines_after(visitor.received_line_count)
                    return visitor
                except PositionError as err:
                    self._shared.token_registry.cancel_resume(self._stream.session_id)
                    self._refuse(visitor, control_messages.format_rejection(err.reason))
                    continue
            if self._box.is_superseded:
                raise _SessionEnded(SessionEnd.CLAIMED_BY_OTHER_NODE)
            if self._core.lifecycle.is_draining:
                raise _SessionEnded(SessionEnd.CLIENT_REDIRECTED)
            if now() >= self._expiry:
                raise _SessionEnded(SessionEnd.EXPIRED)
            self._box.take()
            until = min(self._expiry, now() + LOOK)
            sockets.wait_readable(until, self._box.fileno())

    # --- another member

    def _leave_host(self, standing: UpstreamConnection, number: int, status: AttemptStatus) -> None:
        """The old flow is closed before the module hears of its end, and before any other is opened."""
        assert self._host is not None
        self._host.sock.close()
        self._host = None
        self._box.mark_lost()
        self._core.handle_events(standing.attempt_ended(number, status))
        self._core.unregister_request(number)

    def _go_on(self, lost: _UpstreamLost) -> tuple[UpstreamConnection, int]:
        """Place the session anew, once there is a client to place it for; _Over where that can't be."""
        served = lost.status is AttemptStatus.OK
        while True:
            if self._client is not None and (served or not self._stream.can_migrate):
                raise _SessionEnded(SessionEnd.CLIENT_REDIRECTED, last=protocol.MOVE + b"\r\n")
            if self._client is None and not served and not self._stream.can_migrate:
                raise _SessionEnded(SessionEnd.CLIENT_REDIRECTED)
            self._moves += 1
            if self._moves > MOST_MOVES:
                raise _SessionEnded(SessionEnd.CLIENT_REDIRECTED, last=protocol.MOVE + b"\r\n")
            if self._core.lifecycle.is_draining:
                raise _SessionEnded(SessionEnd.CLIENT_REDIRECTED, last=self._send_off())
            visitor = None if self._client is not None else self._await_return()
            if visitor is not None and served:
                self._let_in(visitor)
                raise _SessionEnded(SessionEnd.ENDED)
            found = self._place(visitor.deadline if visitor else now() + MOVE_WITHIN)
            if isinstance(found, tuple):
                if visitor is not None:
                    self._receipt = found[0].initial_lines[0]
                    self._let_in(visitor)
                return found
            if visitor is None:
                log(LogEvent.SESSION_REJECTED, why=lost.why)
                raise _SessionEnded(SessionEnd.CLIENT_REDIRECTED, last=self._send_off())
            self._shared.token_registry.cancel_resume(self._stream.session_id)
            self._moves = 0
            self._refuse(visitor, protocol.format_reject(found))

    def _send_off(self) -> bytes:
        """The last word to a client for which this node can do no more; none where a peer goes on with it.

        MOVE is for who begins anew. A connection that ends without it has its client come with its token.
        """
        elsewhere = self._shared.resumes_on_any_node and self._stream.can_resume_client
        return b"" if elsewhere else protocol.MOVE + b"\r\n"

    def _place(self, deadline: timedelta) -> tuple[UpstreamConnection, int] | timedelta:
        """A new flow with the session's positions, and its number; else when to come back."""
        core, box, opening, stream = self._core, self._box, self._opening, self._stream

        def accept(answer: ConnectResult) -> bool:
            try:
                self._missing = stream.complete_placement(answer.following_lines[0])
            except PositionError as err:
                log(
                    LogEvent.REPLAY_MISMATCH,
                    receipt=answer.up_line.decode(errors="replace").strip()[:80],
                    why=err.reason,
                )
                return False
            return True

        first_line = self._shared.first_line_builder(opening, stream)
        number = core.register_request(box)
        request = build_request(core, number, self._cls, opening, deadline, True)
        found = AttemptLoop(core, box, number, opening.class_name, deadline, first_line, None, 2, accept).run(
            request
        )
        if isinstance(found, UpstreamConnection):
            lines = (found.initial_lines[0], *found.initial_lines[2:])  # without its word of positions
            return replace(found, initial_lines=lines), number
        core.unregister_request(number)
        return found.retry_after_us * MICROSECOND if isinstance(found, Reject) else timedelta(0)

    def _refuse(self, visitor: ResumingClient, answer: bytes) -> None:
        self._core.metrics.record_outcome(self._opening.class_name, RequestOutcome.of_answer(answer))
        sockets.configure_stream(visitor.sock)
        sockets.shutdown_and_drain(visitor.sock, answer)
