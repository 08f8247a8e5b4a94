"""Forwards lines between a session's client and one stream host."""

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

MOVE_LINE = protocol.MOVE + b"\r\n"  # redirects a client, which then opens a new session


class Forwarder:
    """Forwards the lines of a session at one stream host, with or without a connected client.

    Owned by the session's thread. While there are unsent bytes for one side, the other side is not read,
    which applies backpressure to it. Methods raise UpstreamLostError if the session may continue at
    another stream host, and SessionEndedError if it ends.
    """

    def __init__(
        self,
        context: NodeContext,
        queue: ActionQueue,
        stream: Stream,
        client: ClientConnection,
        upstream: PlacedUpstream,
    ) -> None:
        """Prepare to forward between `client` and the stream host `upstream`; call `run` to start."""
        self._queue = queue
        self._stream = stream
        self._client = client
        self._upstream = upstream
        self._host = HostConnection(context, upstream)
        self._response_timeout = self._host.response_timeout

    @property
    def has_host_sent_lines(self) -> bool:
        """Whether the host has sent a line for the client."""
        return self._host.has_sent_lines

    def run(self) -> NoReturn:
        """Forward lines until the stream host is lost or the session ends, and raise the error for that."""
        try:
            self._start()
            while True:
                self._resume_clients()
                self._check_deadlines()
                self._handle_ready(self._wait_ready())
        except UpstreamLostError as error:
            # If the client has left, the session ends with the host's connection.
            if error.status is AttemptStatus.RESET and self._client.closing_deadline is not None:
                raise SessionEndedError(SessionEnd.ENDED) from error
            raise

    def _start(self) -> None:
        """Replay the lines that the stream host lacks, and forward the lines that followed its UP."""
        self._queue.mark_established()
        if self._upstream.replay:
            self._response_timeout.line_sent()
            self._host.send(self._upstream.replay)
        self._forward_host_lines(self._upstream.connection.up_lines[1:])

    def _resume_clients(self) -> None:
        """Connect clients that have reconnected; end the session if another node has claimed it."""
        if self._queue.is_superseded:
            raise SessionEndedError(SessionEnd.CLAIMED_BY_OTHER_NODE)
        while resuming_client := self._queue.take_client():
            self._client.resume(resuming_client)

    def _handle_ready(self, ready: set[int]) -> None:
        """Process the ready queue and sockets; end a disconnected session that can't be resumed any more."""
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
        """Raise UpstreamLostError if the policy migrates the session, its only action once connected."""
        while (action := self._queue.take()) is not None:
            if action.request_id == self._upstream.request_id:  # other actions belong to an earlier placement
                raise UpstreamLostError(AttemptStatus.CANCELLED, UpstreamLossReason.MIGRATED_BY_POLICY)

    def _check_deadlines(self) -> None:
        """Raise an error if the client's time is over or the host is stalled or silent; send due lines."""
        current_time = now()
        client = self._client
        if client.socket is None:
            if current_time >= client.expires_at:
                raise SessionEndedError(SessionEnd.EXPIRED)
            return
        if client.closing_deadline is not None and current_time >= client.closing_deadline:
            raise SessionEndedError(SessionEnd.ENDED)
        if self._host.socket.is_stalled:
            raise UpstreamLostError(AttemptStatus.TIMEOUT, UpstreamLossReason.STALLED)
        self._check_connected_client(client.socket, current_time)

    def _check_connected_client(self, client_socket: BufferedSocket, current_time: timedelta) -> None:
        """Suspend a stalled client, raise UpstreamLostError if the host is silent, or send due lines."""
        client = self._client
        if client_socket.is_stalled:
            client.suspend(SuspendReason.STALLED)
        elif not client_socket.unsent and self._response_timeout.check_silent():
            raise UpstreamLostError(AttemptStatus.TIMEOUT, UpstreamLossReason.RESPONSE_TIMEOUT)
        elif client.closing_deadline is None:
            client.send_due_lines(current_time)

    def _wait_ready(self) -> set[int]:
        """Wait until a descriptor is ready or the next deadline; return the ready descriptors."""
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

    def _read_client(self, client_socket: BufferedSocket) -> None:
        """Send unsent bytes to the client, read from it once and forward its lines."""
        data = self._receive_from_client(client_socket)
        if data is None:
            return
        if not data:
            self._client.suspend(SuspendReason.CONNECTION_LOST)
            return
        previous_position = self._stream.from_client.end_position
        output = _receive_client_lines(self._stream, client_socket, data)
        if self._stream.from_client.end_position > previous_position:  # control lines are not counted
            self._response_timeout.line_sent()
            self._client.schedule_acknowledgement()
        self._host.send(output.to_host)
        self._client.send(output.to_client)
        if output.signal is StreamSignal.CLIENT_LEFT:
            self._client.start_closing()
            if not self._host.has_unsent:
                self._host.shutdown_write()

    def _receive_from_client(self, client_socket: BufferedSocket) -> bytes | None:
        """Send unsent bytes and read once; return None if nothing is read, empty bytes if disconnected."""
        try:
            client_socket.send()
            if self._host.has_unsent or self._client.closing_deadline is not None:
                return None
            return client_socket.sock.recv(sockets.READ_SIZE_BYTES, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    # --- from the stream host

    def _read_host(self) -> None:
        """Send unsent bytes to the stream host, read from it once and forward its lines."""
        self._host.send()
        client_socket = self._client.socket
        if client_socket is not None and client_socket.unsent:
            return
        lines = self._host.receive_lines()
        if lines is not None:
            self._forward_host_lines(lines)

    def _forward_host_lines(self, lines: tuple[bytes, ...]) -> None:
        """Count and forward the host's lines until one that is invalid, MOVE or BYE raises an error."""
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
        self._raise_for_signal(signal)

    def _receive_host_line(self, line: bytes) -> StreamOutput:
        try:
            return self._stream.receive_from_host(line)
        except (ControlMessageError, PositionError) as error:
            log(LogEvent.INVALID_RESPONSE, endpoint=self._host.endpoint.id, error=error)
            raise UpstreamLostError(
                AttemptStatus.ERROR, UpstreamLossReason.INVALID_CONTROL_MESSAGE
            ) from error

    def _raise_for_signal(self, signal: StreamSignal) -> None:
        """Raise UpstreamLostError or SessionEndedError if a signal ends the connection to the host."""
        if signal is StreamSignal.HOST_REDIRECTED:
            raise UpstreamLostError(AttemptStatus.CANCELLED, UpstreamLossReason.MOVED_BY_ENDPOINT)
        if signal is StreamSignal.HOST_FINISHED:
            # The host's last lines stay buffered until the client resumes, so the session does not end yet.
            if self._client.socket is None and self._stream.can_resume_client:
                raise UpstreamLostError(AttemptStatus.OK, UpstreamLossReason.FINISHED)
            raise SessionEndedError(SessionEnd.ENDED, AttemptStatus.OK)


def _register(poll: select.poll, buffered_socket: BufferedSocket, *, may_read: bool) -> None:
    """Register a socket to wait for received bytes and for space to send, as far as either is needed."""
    events = select.POLLIN if may_read else 0
    if buffered_socket.unsent:
        events |= select.POLLOUT
    if events:
        poll.register(buffered_socket.sock, events)


def _receive_client_lines(stream: Stream, client_socket: BufferedSocket, data: bytes) -> StreamOutput:
    """Process the complete lines in a client's data and return the combined output.

    Raises:
        SessionEndedError: A line is invalid; the client is redirected.
    """
    output = StreamOutput()
    try:
        for line in client_socket.line_buffer.feed(data):
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
