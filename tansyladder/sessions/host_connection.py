"""The connection of a session to one stream host: lines both ways, and how long the host takes to answer."""

from __future__ import annotations

import contextlib
import socket

from tansyladder.log import LogEvent, log
from tansyladder.net import protocol, sockets
from tansyladder.net.endpoint_address import EndpointAddress
from tansyladder.net.response_timeout import ResponseTimeout
from tansyladder.node.context import NodeContext
from tansyladder.node.delay_reporting import build_delay_reports
from tansyladder.policy.events import AttemptStatus
from tansyladder.sessions.errors import UpstreamLossReason, UpstreamLostError
from tansyladder.sessions.upstream_placement import PlacedUpstream


class HostConnection:
    """A session's connection to the stream host at which it is placed. Owned by the session's thread."""

    def __init__(self, context: NodeContext, upstream: PlacedUpstream) -> None:
        """`upstream`: the host, whose socket the session closes."""
        attempt = upstream.connection.attempt
        self.endpoint: EndpointAddress = upstream.connection.endpoint
        self.socket = upstream.socket
        self._reports = build_delay_reports(context, upstream.request_id, attempt, self.endpoint.number)
        self.response_timeout = ResponseTimeout(self._reports.record_delay)
        self.has_sent_lines = False  # whether the host sent a line to the client

    @property
    def has_unsent(self) -> bool:
        """Whether the host has not accepted all bytes that were sent to it."""
        return bool(self.socket.unsent)

    def fileno(self) -> int:
        """Return the socket's descriptor."""
        return self.socket.sock.fileno()

    def send(self, data: bytes = b"") -> None:
        """Send data, or only unsent bytes of earlier calls. UpstreamLostError: the connection broke."""
        try:
            self.socket.send(data)
        except OSError as error:
            raise UpstreamLostError(AttemptStatus.RESET, UpstreamLossReason.CONNECTION_RESET) from error

    def end_sending(self) -> None:
        """End this side of the connection; the host may still send lines."""
        with contextlib.suppress(OSError):
            self.socket.sock.shutdown(socket.SHUT_WR)

    def receive_lines(self) -> tuple[bytes, ...] | None:
        """Read once; return the lines that are complete now, or None if nothing has arrived.

        Raises:
            UpstreamLostError: The connection broke or ended, or a line is too long.
        """
        try:
            data = self.socket.sock.recv(sockets.READ_SIZE_BYTES, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None
        except OSError as error:
            raise UpstreamLostError(AttemptStatus.RESET, UpstreamLossReason.CONNECTION_RESET) from error
        if not data:
            raise UpstreamLostError(AttemptStatus.RESET, UpstreamLossReason.CONNECTION_CLOSED)
        try:
            return tuple(self.socket.line_buffer.feed(data))
        except protocol.LineError as error:
            log(LogEvent.INVALID_RESPONSE, endpoint=self.endpoint.id, error=error)
            raise UpstreamLostError(AttemptStatus.ERROR, UpstreamLossReason.INVALID_LINE) from error

    def record_response(self, line: bytes) -> None:
        """Record a line to the client: when the host answered, and the load that it reports."""
        self.has_sent_lines = True
        keyword = protocol.parse_keyword(line)
        self.response_timeout.line_received(keyword)
        if keyword == protocol.LOAD:
            self._reports.record_load_line(line)
