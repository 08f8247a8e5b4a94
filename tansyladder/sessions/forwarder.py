"""Forwarding of lines between a session's client and one stream host."""

from __future__ import annotations

import contextlib
import select
import socket
from typing import NoReturn

from tansyladder.log import LogEvent, log
from tansyladder.log_events import LineSource
from tansyladder.net import protocol, sockets
from tansyladder.net.action_queue import ActionQueue
from tansyladder.net.buffered_socket import BufferedSocket
from tansyladder.net.clock import now
from tansyladder.net.response_timeout import OVERDUE_INTERVAL, ResponseTimeout
from tansyladder.node.context import NodeContext
from tansyladder.node.delay_reporting import build_delay_reports
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
from tansyladder.sessions.upstream_placement import PlacedUpstream

MOVE_LINE = protocol.MOVE + b"\r\n"  # to a client that is to open a new session


class Forwarder:
    """One stream host's part of a session, with or without a connected client. Owned by the session's thread.

    A side that has not taken all that was sent to it is not sent more: the other side is not read then, which
    holds up its sender.
    """

    def __init__(
        self,
        context: NodeContext,
        queue: ActionQueue,
        stream: Stream,
        client: ClientConnection,
        upstream: PlacedUpstream,
    ) -> None:
        attempt = upstream.connection.attempt
        self._endpoint = upstream.connection.endpoint
        self._queue = queue
        self._stream = stream
        self._client = client
        self._upstream = upstream
        self._host = upstream.socket
        self._reports = build_delay_reports(context, upstream.request_id, attempt, self._endpoint.number)
        self._response_timeout = ResponseTimeout(self._reports.record_delay)
        self.has_host_sent = False  # whether the host sent a line to the client

    def run(self) -> NoReturn:
        """Forward until UpstreamLostError or SessionEndedError is raised."""
        queue = self._queue
        client = self._client
        host = self._host
        queue.mark_established()
        if self._upstream.replay:
            self._response_timeout.line_sent()
            self._send_to_host(self._upstream.replay)
        self._forward_host_lines(self._upstream.connection.initial_lines[1:])
        while True:
            if queue.is_superseded:
                raise SessionEndedError(SessionEnd.CLAIMED_BY_OTHER_NODE)
            while resuming_client := queue.take_client():
                client.resume(resuming_client)
            self._check_deadlines()
            ready = self._wait_ready()
            if queue.fileno() in ready:
                self._apply_policy_actions()
            if client.socket is not None and client.socket.sock.fileno() in ready:
                self._read_client(client.socket)
            if host.sock.fileno() in ready:
                self._read_host()
            if client.socket is None and not self._stream.can_resume_client:
                raise SessionEndedError(SessionEnd.BUFFER_OVERFLOW)

    def _apply_policy_actions(self) -> None:
        """Take the policy's actions; the only one for an established connection is to migrate it."""
        while (action := self._queue.take()) is not None:
            if action.request_id == self._upstream.request_id:  # else of an earlier placement
                raise UpstreamLostError(AttemptStatus.CANCELLED, UpstreamLossReason.ORDERED)

    def _check_deadlines(self) -> None:
        """Do what is due by the clock: tokens, acknowledgements, and sides that send or take nothing."""
        moment = now()
        client = self._client
        connected = client.socket
        if connected is None:
            if moment >= client.expires_at:
                raise SessionEndedError(SessionEnd.EXPIRED)
            return
        if client.closing_deadline is not None and moment >= client.closing_deadline:
            raise SessionEndedError(SessionEnd.ENDED)
        if self._host.is_stalled:
            raise UpstreamLostError(AttemptStatus.TIMEOUT, UpstreamLossReason.STALLED)
        if connected.is_stalled:
            client.suspend(SuspendReason.STALLED)
        elif not connected.unsent and self._response_timeout.check_silent():
            raise UpstreamLostError(AttemptStatus.TIMEOUT, UpstreamLossReason.SILENT)
        elif client.closing_deadline is None:
            client.send_due_lines(moment)

    def _wait_ready(self) -> set[int]:
        """Wait until a socket or the queue is ready or something is due; the descriptors that are ready."""
        client = self._client
        connected = client.socket
        host = self._host
        poll = select.poll()
        poll.register(self._queue, select.POLLIN)
        client_unsent = connected is not None and bool(connected.unsent)
        if connected is not None:
            events = 0 if host.unsent or client.closing_deadline is not None else select.POLLIN
            if client_unsent:
                events |= select.POLLOUT
            if events:
                poll.register(connected.sock, events)
        events = 0 if client_unsent else select.POLLIN
        if host.unsent:
            events |= select.POLLOUT
        if events:
            poll.register(host.sock, events)
        deadline = client.next_deadline()
        if self._response_timeout.is_waiting or host.unsent or client_unsent:
            deadline = min(deadline, now() + OVERDUE_INTERVAL)
        return sockets.poll_until(poll, deadline)

    # --- from the client

    def _read_client(self, connected: BufferedSocket) -> None:
        """Send the client what is left, read it once and forward its lines."""
        try:
            connected.send()
            if self._host.unsent or self._client.closing_deadline is not None:
                return
            data = connected.sock.recv(sockets.READ_SIZE_BYTES, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._client.suspend(SuspendReason.BROKEN)
            return
        counted_position = self._stream.from_client.end_position
        output = _receive_client_lines(self._stream, connected, data)
        if self._stream.from_client.end_position > counted_position:  # nobody answers an acknowledgement
            self._response_timeout.line_sent()
            self._client.lines_forwarded()
        self._send_to_host(output.to_host)
        self._client.send(output.to_client)
        if output.signal is StreamSignal.CLIENT_LEFT:
            self._client.start_closing()
            if not self._host.unsent:
                with contextlib.suppress(OSError):
                    self._host.sock.shutdown(socket.SHUT_WR)

    # --- from the stream host

    def _read_host(self) -> None:
        """Send the stream host what is left, read it once and forward its lines."""
        host = self._host
        connected = self._client.socket
        try:
            host.send()
            if connected is not None and connected.unsent:
                return
            data = host.sock.recv(sockets.READ_SIZE_BYTES, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError as error:
            raise self._host_lost(UpstreamLossReason.RESET) from error
        if not data:
            raise self._host_lost(UpstreamLossReason.CLOSED)
        try:
            lines = host.line_buffer.feed(data)
        except protocol.LineError as error:
            log(LogEvent.INVALID_RESPONSE, endpoint=self._endpoint.id, error=error)
            raise UpstreamLostError(AttemptStatus.ERROR, UpstreamLossReason.INVALID_LINE) from error
        self._forward_host_lines(tuple(lines))

    def _forward_host_lines(self, lines: tuple[bytes, ...]) -> None:
        """Count the stream host's lines and forward them; MOVE and BYE decide what comes next."""
        to_client = b""
        signal = StreamSignal.NONE
        for line in lines:
            try:
                output = self._stream.receive_from_host(line)
            except (ControlMessageError, PositionError) as error:
                log(LogEvent.INVALID_RESPONSE, endpoint=self._endpoint.id, error=error)
                raise UpstreamLostError(AttemptStatus.ERROR, UpstreamLossReason.INVALID_MESSAGE) from error
            if output.to_client:
                to_client += output.to_client
                self._record_response(line)
            if output.signal is not StreamSignal.NONE:
                signal = output.signal
                break
        self._client.send(to_client)
        self._client.send(self._stream.report_lost_resumption())
        if signal is StreamSignal.HOST_REDIRECTED:
            raise UpstreamLostError(AttemptStatus.CANCELLED, UpstreamLossReason.REDIRECTED)
        if signal is StreamSignal.HOST_FINISHED:
            if self._client.socket is None and self._stream.can_resume_client:  # its last lines are buffered
                raise UpstreamLostError(AttemptStatus.OK, UpstreamLossReason.FINISHED)
            raise SessionEndedError(SessionEnd.ENDED, AttemptStatus.OK)

    def _record_response(self, line: bytes) -> None:
        """Note when the host answered, and the load that it reports."""
        self.has_host_sent = True
        keyword = protocol.parse_keyword(line)
        self._response_timeout.line_received(keyword)
        if keyword == protocol.LOAD:
            self._reports.record_load_line(line)

    def _send_to_host(self, data: bytes) -> None:
        try:
            self._host.send(data)
        except OSError as error:
            raise self._host_lost(UpstreamLossReason.RESET) from error

    def _host_lost(self, reason: UpstreamLossReason) -> UpstreamLostError | SessionEndedError:
        """The error of a host whose connection ended without BYE; it ends a session whose client has left."""
        if self._client.closing_deadline is not None:
            return SessionEndedError(SessionEnd.ENDED)
        return UpstreamLostError(AttemptStatus.RESET, reason)


def _receive_client_lines(stream: Stream, connected: BufferedSocket, data: bytes) -> StreamOutput:
    """What the lines in a client's data mean. SessionEndedError: one of them is invalid."""
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
