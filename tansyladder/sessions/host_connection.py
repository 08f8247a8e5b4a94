"""A session's connection to one stream host, with a measurement of the host's response times."""

from __future__ import annotations

import contextlib
import socket

from tansyladder.log import LogEvent, log
from tansyladder.net import protocol, sockets
from tansyladder.net.endpoint_address import EndpointAddress
from tansyladder.net.response_timeout import ResponseTimeout
from tansyladder.node.context import NodeContext
from tansyladder.node.delay_reporting import build_delay_reporter
from tansyladder.policy.events import AttemptStatus
from tansyladder.sessions.errors import UpstreamLossReason, UpstreamLostError
from tansyladder.sessions.upstream_placement import PlacedUpstream


class HostConnection:
    """The connection to the stream host at which a session is placed. Owned by the session's thread."""

    def __init__(self, context: NodeContext, upstream: PlacedUpstream) -> None:
        """Wrap the connection to `upstream`, whose socket the session closes."""
        attempt = upstream.connection.attempt
        self.endpoint: EndpointAddress = upstream.connection.endpoint
        self.socket = upstream.socket
        self._reporter = build_delay_reporter(context, upstream.request_id, attempt, self.endpoint.number)
        self.response_timeout = ResponseTimeout(self._reporter.record_delay)
        self.has_sent_lines = False  # whether the host has sent a line for the client

    @property
    def has_unsent(self) -> bool:
        """Whether bytes for the host are still buffered here because its socket did not accept them."""
        return bool(self.socket.unsent)

    def fileno(self) -> int:
        """Return the socket's descriptor."""
        return self.socket.sock.fileno()

    def send(self, data: bytes = b"") -> None:
        """Send the unsent bytes of earlier calls, followed by `data`.

        Raises:
            UpstreamLostError: The connection is broken.
        """
        try:
            self.socket.send(data)
        except OSError as error:
            raise UpstreamLostError(AttemptStatus.RESET, UpstreamLossReason.CONNECTION_RESET) from error

    def shutdown_write(self) -> None:
        """Shut down the sending side of the connection; the host can still send lines."""
        with contextlib.suppress(OSError):
            self.socket.sock.shutdown(socket.SHUT_WR)

    def receive_lines(self) -> tuple[bytes, ...] | None:
        """Read once; return the lines that are now complete, or None if no bytes have arrived.

        Raises:
            UpstreamLostError: The connection is broken or closed, or a line is malformed.
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
        """Record that the host sent a line for the client now, and the load if the line reports it."""
        self.has_sent_lines = True
        keyword = protocol.parse_keyword(line)
        self.response_timeout.line_received(keyword)
        if keyword == protocol.LOAD:
            self._reporter.record_load_line(line)
