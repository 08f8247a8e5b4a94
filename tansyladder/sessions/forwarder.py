"""Forwarding of lines between a session's client and one stream host."""

from __future__ import annotations

import select
import socket
from datetime import timedelta
from typing import NoReturn

from tansyladder.log import LogEvent, log
from tansyladder.log_events import LineSource
from tansyladder.net import protocol, sockets
from tansyladder.net.action_queue import ActionQueue
from tansyladder.net.buffered_socket import BufferedSocket
from tansyladder.net.clock import now
from tansyladder.net.response_timeout import OVERDUE_INTERVAL
from tansyladder.node.context import NodeContext
from tansyladder.policy.events import AttemptStatus
from tansyladder.resumption.errors import ControlMessageError, PositionError
from tansyladder.resumption.stream import Stream, StreamOutput, StreamSignal
from tansyladder.resumption.token_registry import SessionEnd
from tansyladder.sessions.client_connection import ClientConnection
from tansyladder.sessions.errors import (
    SessionEndedError,
    SuspendReason,
    UpstreamLossReason,
    UpstreamLostError,
)
from tansyladder.sessions.host_connection import HostConnection
from tansyladder.sessions.upstream_placement import PlacedUpstream

MOVE_LINE = protocol.MOVE + b"\r\n"  # to a client that is to open a new session


class Forwarder:
    """Forwards the lines of a session at one stream host, with or without a connected client.

    Owned by the session's thread. While a side has unsent bytes the other side is not read, which applies
    backpressure to its sender.
    """

    def __init__(
        self,
        context: NodeContext,
        queue: ActionQueue,
        stream: Stream,
        client: ClientConnection,
        upstream: PlacedUpstream,
    ) -> None:
        """Prepare to forward at the stream host `upstream`; `run` forwards."""
        self._queue = queue
        self._stream = stream
        self._client = client
        self._upstream = upstream
        self._host = HostConnection(context, upstream)
        self._response_timeout = self._host.response_timeout

    @property
    def has_host_sent(self) -> bool:
        """Whether the host sent a line to the client."""
        return self._host.has_sent_lines

    def run(self) -> NoReturn:
        """Forward until UpstreamLostError or SessionEndedError is raised."""
        try:
            self._start()
            while True:
                self._resume_clients()
                self._check_deadlines()
                self._handle_ready(self._wait_ready())
        except UpstreamLostError as lost:
            # The client has left: a connection that ended or broke is the end of the session.
            if lost.status is AttemptStatus.RESET and self._client.closing_deadline is not None:
                raise SessionEndedError(SessionEnd.ENDED) from lost
            raise

    def _start(self) -> None:
        """Send the stream host the lines that it lacks, and forward those that it sent with its answer."""
        self._queue.mark_established()
        if self._upstream.replay:
            self._response_timeout.line_sent()
            self._host.send(self._upstream.replay)
        self._forward_host_lines(self._upstream.connection.initial_lines[1:])

    def _resume_clients(self) -> None:
        """Connect clients that have reconnected; SessionEndedError: another node owns the session."""
        if self._queue.is_superseded:
            raise SessionEndedError(SessionEnd.CLAIMED_BY_OTHER_NODE)
        while resuming_client := self._queue.take_client():
            self._client.resume(resuming_client)

    def _handle_ready(self, ready: set[int]) -> None:
        """Handle what the queue's and the sockets' descriptors are ready for."""
        client = self._client
        if self._queue.fileno() in ready:
            self._apply_policy_actions()
        if client.socket is not None and client.socket.sock.fileno() in ready:
            self._read_client(client.socket)
        if self._host.fileno() in ready:
            self._read_host()
        if client.socket is None and not self._stream.can_resume_client:
            raise SessionEndedError(SessionEnd.BUFFER_OVERFLOW)

    def _apply_policy_actions(self) -> None:
        """Take the policy's actions; for an established connection it is always to migrate the session."""
        while (action := self._queue.take()) is not None:
            if action.request_id == self._upstream.request_id:  # else of an earlier placement
                raise UpstreamLostError(AttemptStatus.CANCELLED, UpstreamLossReason.MIGRATED_BY_POLICY)

    def _check_deadlines(self) -> None:
        """Send the tokens and acknowledgements that are due, and check the deadlines of both sides."""
        moment = now()
        client = self._client
        if client.socket is None:
            if moment >= client.expires_at:
                raise SessionEndedError(SessionEnd.EXPIRED)
            return
        if client.closing_deadline is not None and moment >= client.closing_deadline:
            raise SessionEndedError(SessionEnd.ENDED)
        if self._host.socket.is_stalled:
            raise UpstreamLostError(AttemptStatus.TIMEOUT, UpstreamLossReason.STALLED)
        self._check_connected(client.socket, moment)

    def _check_connected(self, connected: BufferedSocket, moment: timedelta) -> None:
        """Suspend a client that is stalled; UpstreamLostError: the stream host does not answer it."""
        client = self._client
        if connected.is_stalled:
            client.suspend(SuspendReason.STALLED)
        elif not connected.unsent and self._response_timeout.check_silent():
            raise UpstreamLostError(AttemptStatus.TIMEOUT, UpstreamLossReason.RESPONSE_TIMEOUT)
        elif client.closing_deadline is None:
            client.send_due_lines(moment)

    def _wait_ready(self) -> set[int]:
        """Wait until a descriptor is ready or a deadline has passed; return the ready descriptors."""
        client = self._client
        host = self._host
        poll = select.poll()
        poll.register(self._queue, select.POLLIN)
        has_unsent = host.has_unsent
        may_read_host = True
        if client.socket is not None:
            has_unsent = has_unsent or bool(client.socket.unsent)
            may_read_host = not client.socket.unsent
            may_read_client = not host.has_unsent and client.closing_deadline is None
            _register(poll, client.socket, may_read=may_read_client)
        _register(poll, host.socket, may_read=may_read_host)
        deadline = client.next_deadline()
        if self._response_timeout.is_waiting or has_unsent:
            deadline = min(deadline, now() + OVERDUE_INTERVAL)
        return sockets.poll_until(poll, deadline)

    # --- from the client

    def _read_client(self, connected: BufferedSocket) -> None:
        """Send the client its unsent bytes, read it once and forward its lines."""
        data = self._receive_from_client(connected)
        if data is None:
            return
        if not data:
            self._client.suspend(SuspendReason.CONNECTION_LOST)
            return
        previous_position = self._stream.from_client.end_position
        output = _receive_client_lines(self._stream, connected, data)
        if self._stream.from_client.end_position > previous_position:  # an acknowledgement gets no answer
            self._response_timeout.line_sent()
            self._client.lines_forwarded()
        self._host.send(output.to_host)
        self._client.send(output.to_client)
        if output.signal is StreamSignal.CLIENT_LEFT:
            self._client.start_closing()
            if not self._host.has_unsent:
                self._host.end_sending()

    def _receive_from_client(self, connected: BufferedSocket) -> bytes | None:
        """Return the next received bytes, nothing if the connection broke, or None if none are to be read."""
        try:
            connected.send()
            if self._host.has_unsent or self._client.closing_deadline is not None:
                return None
            return connected.sock.recv(sockets.READ_SIZE_BYTES, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    # --- from the stream host

    def _read_host(self) -> None:
        """Send the stream host its unsent bytes, read it once and forward its lines."""
        self._host.send()
        connected = self._client.socket
        if connected is not None and connected.unsent:
            return
        lines = self._host.receive_lines()
        if lines is not None:
            self._forward_host_lines(lines)

    def _forward_host_lines(self, lines: tuple[bytes, ...]) -> None:
        """Count the stream host's lines and forward them; after MOVE or BYE raise what follows from it."""
        to_client = b""
        signal = StreamSignal.NONE
        for line in lines:
            output = self._receive_host_line(line)
            if output.to_client:
                to_client += output.to_client
                self._host.record_response(line)
            if output.signal is not StreamSignal.NONE:
                signal = output.signal
                break
        self._client.send(to_client)
        self._client.send(self._stream.report_lost_resumption())
        self._check_signal(signal)

    def _receive_host_line(self, line: bytes) -> StreamOutput:
        try:
            return self._stream.receive_from_host(line)
        except (ControlMessageError, PositionError) as error:
            log(LogEvent.INVALID_RESPONSE, endpoint=self._host.endpoint.id, error=error)
            raise UpstreamLostError(
                AttemptStatus.ERROR, UpstreamLossReason.INVALID_CONTROL_MESSAGE
            ) from error

    def _check_signal(self, signal: StreamSignal) -> None:
        """Raise UpstreamLostError or SessionEndedError for a signal that ends the host's connection."""
        if signal is StreamSignal.HOST_REDIRECTED:
            raise UpstreamLostError(AttemptStatus.CANCELLED, UpstreamLossReason.MOVED_BY_ENDPOINT)
        if signal is StreamSignal.HOST_FINISHED:
            if self._client.socket is None and self._stream.can_resume_client:  # its last lines are buffered
                raise UpstreamLostError(AttemptStatus.OK, UpstreamLossReason.FINISHED)
            raise SessionEndedError(SessionEnd.ENDED, AttemptStatus.OK)


def _register(poll: select.poll, side: BufferedSocket, *, may_read: bool) -> None:
    """Register what to wait for at one side, if anything."""
    events = select.POLLIN if may_read else 0
    if side.unsent:
        events |= select.POLLOUT
    if events:
        poll.register(side.sock, events)


def _receive_client_lines(stream: Stream, connected: BufferedSocket, data: bytes) -> StreamOutput:
    """Return what to do for the lines in a client's data. SessionEndedError: one of them is invalid."""
    output = StreamOutput()
    try:
        for line in connected.line_buffer.feed(data):
            line_output = stream.receive_from_client(line)
            output.to_host += line_output.to_host
            output.to_client += line_output.to_client
            if line_output.signal is not StreamSignal.NONE:
                output.signal = line_output.signal
                break
    except (protocol.LineError, ControlMessageError, PositionError) as error:
        log(LogEvent.INVALID_LINE, source=LineSource.SESSION, error=error)
        raise SessionEndedError(SessionEnd.CLIENT_REDIRECTED, last_line=MOVE_LINE) from error
    return output
