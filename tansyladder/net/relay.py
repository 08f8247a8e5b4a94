"""The relay: whole lines both ways between a client and its pool member, until one of them ends."""

from __future__ import annotations

import contextlib
import select
import socket
from collections.abc import Sequence
from datetime import timedelta

from tansyladder.log import LogEvent, log
from tansyladder.net import protocol, sockets
from tansyladder.net.action_queue import ActionQueue
from tansyladder.net.clock import milliseconds_left, now
from tansyladder.net.delay_reports import DelayReports
from tansyladder.net.handover_messages import BytesByDirection, ConnectionState
from tansyladder.net.listener_handover import ListenerHandover
from tansyladder.net.response_timeout import OVERDUE_INTERVAL, ResponseTimeout
from tansyladder.policy.events import AttemptStatus

IDLE = timedelta(seconds=30)
AFTER_END = timedelta(milliseconds=800)  # what one side ended, the other has ended within a second


class Relay:
    """Passes the lines of one standing connection; its thread is the only one to read or write."""

    def __init__(
        self,
        client: socket.socket,
        upstream: socket.socket,
        actions: ActionQueue,
        opening: protocol.Opening,
        endpoint_id: str,
        upstream_buffer: protocol.LineBuffer,
        delay_reports: DelayReports,
        handover: ListenerHandover,
    ) -> None:
        self._client, self._upstream, self._actions = client, upstream, actions
        self._opening, self._endpoint_id, self._handover = opening, endpoint_id, handover
        self._to_client, self._to_upstream = upstream_buffer, protocol.LineBuffer()
        self._open_sides = {client, upstream}  # the sides that have not ended
        self._pending = {client: b"", upstream: b""}  # whole lines that a side has not taken yet
        self._last_write = {client: now(), upstream: now()}  # when it last took any
        self._response_timeout, self._delay_reports = (
            ResponseTimeout(delay_reports.record_delay),
            delay_reports,
        )
        self._last_upstream_word = b""
        self._outcome: AttemptStatus | None = None  # what the first end of a side makes of the connection

    def wake(self) -> None:
        """Wake the relay from another thread; a close would not, a shutdown does."""
        with contextlib.suppress(OSError):
            self._upstream.shutdown(socket.SHUT_RD)

    def run(self, initial_lines: tuple[bytes, ...] = ()) -> AttemptStatus:
        """Pass on lines until the connection is over; both sockets are closed then.

        `first`: what the member said with its UP; none where the connection stood before.
        """
        try:
            if initial_lines:
                self._record_upstream_lines(initial_lines)  # UP and BYE may come in one read
                with contextlib.suppress(OSError):  # a client that left is met again in the first read
                    self._client.sendall(b"".join(initial_lines))
            return self._relay_until_end()
        except protocol.LineError as err:
            log(LogEvent.INVALID_LINE, where="relay", why=err)
            return self._end_with_move(AttemptStatus.CANCELLED)
        finally:
            self._actions.close()  # no nudge after the descriptor may be another's
            self._upstream.close()
            self._client.close()

    def resume(self, state: ConnectionState) -> AttemptStatus:
        """What another process passed on until now; both sockets are closed at the end."""
        self._last_upstream_word = state.last_upstream_word.encode()
        self._to_client.partial_line, self._to_upstream.partial_line = state.partial_lines
        self._pending[self._client], self._pending[self._upstream] = state.pending_lines
        self._response_timeout.restore(state.waiting_since_us)
        return self.run()

    def _hand_over(self) -> bool:
        """Give the connection to the process that takes our place; False where it stays here."""
        self._actions.use_callback(lambda: None)  # a nudge would end it for the other process too
        if self._actions.peek() is not None:
            return False
        handed = ConnectionState(
            self._opening.line,
            self._endpoint_id,
            self._last_upstream_word.decode("utf-8", "replace"),
            self._response_timeout.waiting_since_us,
            BytesByDirection(self._to_client.partial_line, self._to_upstream.partial_line),
            BytesByDirection(self._pending[self._client], self._pending[self._upstream]),
        )
        if self._handover.hand_over(handed, self._client, self._upstream):
            return True
        self._actions.use_callback(self.wake)
        return False

    def _relay_until_end(self) -> AttemptStatus:
        for side in (self._client, self._upstream):
            side.settimeout(None)  # with a time-out Python waits before each call, whatever its flags say
        until_end: timedelta | None = None
        while self._open_sides:
            order = self._actions.take()
            if order is not None and self._outcome is None:
                return self._end_with_move(AttemptStatus.CANCELLED)
            if until_end is not None and now() >= until_end:
                break
            if self._response_timeout.check_silent() and self._outcome is None:
                log(LogEvent.ENDPOINT_SILENT, member=self._endpoint_id)
                return self._end_with_move(AttemptStatus.TIMEOUT)
            if self._is_stalled():
                return self._reset_both()
            ready = self._wait(
                until_end or now() + (OVERDUE_INTERVAL if self._response_timeout.is_waiting else IDLE)
            )
            if self._handover.fileno() in ready and self._outcome is None and self._hand_over():
                return AttemptStatus.CANCELLED
            for side in (self._upstream, self._client):
                other = self._client if side is self._upstream else self._upstream
                try:
                    if self._pending[side] and side.fileno() in ready:
                        self._flush(side)
                except OSError:
                    return self._reset(side, other)
                # What its other side has not taken yet holds a sender up, and nobody else.
                if side not in self._open_sides or self._pending[other] or side.fileno() not in ready:
                    continue
                try:
                    data = side.recv(sockets.READ_SIZE_BYTES, socket.MSG_DONTWAIT)
                except BlockingIOError:
                    continue
                except OSError:
                    return self._reset(side, other)
                if side is self._upstream and not data and self._actions.peek() is not None:
                    break  # it is the nudge, not the member's end
                try:
                    if data:
                        self._forward(side, other, data)
                        continue
                    # Half a connection may go on for a moment: the end is passed on in kind.
                    self._open_sides.discard(side)
                    self._record_end(side)
                    buffer = self._to_client if side is self._upstream else self._to_upstream
                    self._pending[other] += buffer.partial_line
                    self._flush(other)
                except OSError:
                    return self._reset(other, side)
                until_end = until_end or now() + AFTER_END
        # Never `or`: the status of success is 0, and a sound member would be blamed with a reset.
        return AttemptStatus.CANCELLED if self._outcome is None else self._outcome

    def _wait(self, until: timedelta) -> set[int]:
        """Which sides can go on: to be read where the other takes what they say, to be written to else."""
        poll = select.poll()
        if self._outcome is None:
            poll.register(self._handover, select.POLLIN)
        for side in (self._upstream, self._client):
            other = self._client if side is self._upstream else self._upstream
            events = select.POLLIN if side in self._open_sides and not self._pending[other] else 0
            events |= select.POLLOUT if self._pending[side] else 0
            if events:
                poll.register(side, events)
        return {fd for fd, _ in poll.poll(milliseconds_left(until))}

    def _flush(self, side: socket.socket) -> None:
        """Write what a side takes now; once all is out, pass the other side's end on."""
        if self._pending[side]:
            with contextlib.suppress(BlockingIOError):
                sent = side.send(self._pending[side], socket.MSG_DONTWAIT)
                self._pending[side] = self._pending[side][sent:]
                self._last_write[side] = now()
        other = self._client if side is self._upstream else self._upstream
        if not self._pending[side] and other not in self._open_sides:
            side.shutdown(socket.SHUT_WR)

    def _is_stalled(self) -> bool:
        """Whether a side has taken nothing for long."""
        late = now() - sockets.SEND_TIMEOUT
        return any(waiting and self._last_write[side] < late for side, waiting in self._pending.items())

    def _reset_both(self) -> AttemptStatus:
        log(LogEvent.ENDPOINT_STALLED, member=self._endpoint_id)
        stuck = self._upstream if self._pending[self._upstream] else self._client
        return self._reset(stuck, self._client if stuck is self._upstream else self._upstream)

    def _forward(self, side: socket.socket, other: socket.socket, data: bytes) -> None:
        lines = (self._to_client if side is self._upstream else self._to_upstream).feed(data)
        if not lines:
            return
        self._pending[other], self._last_write[other] = b"".join(lines), now()
        self._flush(other)
        if side is self._client:
            self._response_timeout.line_sent()
            return
        self._record_upstream_lines(lines)

    def _record_upstream_lines(self, lines: Sequence[bytes]) -> None:
        """What the member's lines tell the node itself."""
        for line in lines:
            self._last_upstream_word = protocol.first_word(line)
            self._response_timeout.line_received(self._last_upstream_word)
            if self._last_upstream_word == protocol.LOAD:
                self._delay_reports.record_load_line(line)

    def _record_end(self, side: socket.socket) -> None:
        """The first side to end decides what became of the connection."""
        if self._outcome is None:
            if side is self._client:
                self._outcome = AttemptStatus.CANCELLED
            else:
                ends = {protocol.BYE: AttemptStatus.OK, protocol.MOVE: AttemptStatus.CANCELLED}
                self._outcome = ends.get(self._last_upstream_word, AttemptStatus.RESET)

    def _reset(self, side: socket.socket, other: socket.socket) -> AttemptStatus:
        self._record_end(side)
        sockets.reset(other)
        return AttemptStatus.RESET if self._outcome is None else self._outcome

    def _end_with_move(self, status: AttemptStatus) -> AttemptStatus:
        """MOVE stands between two lines: what the client has not taken of one goes out before it."""
        self._upstream.close()
        sockets.configure_stream(self._client)
        sockets.shutdown_and_drain(self._client, self._pending[self._client] + protocol.MOVE + b"\r\n")
        return status
