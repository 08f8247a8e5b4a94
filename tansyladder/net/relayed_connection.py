"""The state of a relayed connection: its two sides, the endpoint's last line, and how the connection ended.

Everything here is owned by the thread of the connection's relay.
"""

from __future__ import annotations

import select
import socket
from collections.abc import Sequence

from tansyladder.net import protocol, sockets
from tansyladder.net.buffered_socket import BufferedSocket
from tansyladder.net.delay_reports import DelayReporter
from tansyladder.net.errors import NetworkError
from tansyladder.net.handover_messages import BytesByDirection, ConnectionState
from tansyladder.net.response_timeout import ResponseTimeout
from tansyladder.policy.events import AttemptStatus

# The outcome of a connection that the endpoint ended, by the keyword of its last line; otherwise RESET.
OUTCOME_BY_LAST_KEYWORD = {protocol.BYE: AttemptStatus.OK, protocol.MOVE: AttemptStatus.CANCELLED}


class RelaySide(BufferedSocket):
    """One side of a relayed connection: its socket, its partial line and its unsent bytes."""

    __slots__ = ("descriptor", "is_open")

    def __init__(self, sock: socket.socket, line_buffer: protocol.LineBuffer) -> None:
        super().__init__(sock, line_buffer)
        self.descriptor = sock.fileno()
        self.is_open = True  # False once it has ended its half of the connection

    def send_from(self, other: RelaySide, data: bytes = b"") -> None:
        """Send data of the other side, as `send` does; once all is sent, forward the other side's end.

        Raises:
            SideBrokenError: The connection of this side broke.
        """
        try:
            self.send(data)
            if not self.unsent and not other.is_open:
                self.sock.shutdown(socket.SHUT_WR)
        except OSError as err:
            raise SideBrokenError(self) from err

    def receive(self) -> bytes | None:
        """Return the next received bytes, empty bytes at this side's end, or None if no data is available.

        Raises:
            SideBrokenError: The connection of this side broke.
        """
        try:
            return self.sock.recv(sockets.READ_SIZE_BYTES, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None
        except OSError as err:
            raise SideBrokenError(self) from err


class SideBrokenError(NetworkError):
    """The socket of one side of a relayed connection broke."""

    def __init__(self, side: RelaySide) -> None:
        super().__init__("the socket of one side of a relayed connection broke")
        self.side = side


class UpstreamMonitor:
    """Evaluates the endpoint's lines for the node: answers to lines, load reports, and the last keyword."""

    __slots__ = ("_delay_reporter", "last_keyword", "response_timeout")

    def __init__(self, delay_reporter: DelayReporter) -> None:
        self._delay_reporter = delay_reporter
        self.response_timeout = ResponseTimeout(delay_reporter.record_delay)
        self.last_keyword = b""  # the keyword of the endpoint's last line

    def lines_received(self, lines: Sequence[bytes]) -> None:
        """Evaluate complete lines from the endpoint."""
        for line in lines:
            keyword = protocol.parse_keyword(line)
            self.last_keyword = keyword
            self.response_timeout.line_received(keyword)
            if keyword == protocol.LOAD:
                self._delay_reporter.record_load_line(line)


class RelayedConnection:
    """Both sides of a relayed connection, and its outcome."""

    __slots__ = ("client", "directions", "monitor", "outcome", "upstream")

    def __init__(self, client: RelaySide, upstream: RelaySide, monitor: UpstreamMonitor) -> None:
        self.client = client
        self.upstream = upstream
        # Pairs of source and destination. The upstream comes first, because its end may be a `Relay.wake`.
        self.directions = ((upstream, client), (client, upstream))
        self.monitor = monitor
        self.outcome: AttemptStatus | None = None  # None while neither side has ended

    def other(self, side: RelaySide) -> RelaySide:
        """Return the other side."""
        return self.client if side is self.upstream else self.upstream

    def register(self, poll: select.poll, *, watches_client_end: bool) -> None:
        """Register the sides for what can be read or sent, and the client for its end if that is watched.

        A side is read only while the other side has no unsent bytes: a fast sender gets backpressure.
        """
        for source, destination in self.directions:
            events = select.POLLIN if source.is_open and not destination.unsent else 0
            events |= select.POLLOUT if source.unsent else 0
            if source is self.client and watches_client_end:
                events |= select.POLLRDHUP
            if events:
                poll.register(source.descriptor, events)

    def record_end(self, side: RelaySide) -> None:
        """Set the outcome when a side ends; the first end determines it."""
        if self.outcome is not None:
            return
        if side is self.client:
            self.outcome = AttemptStatus.CANCELLED
        else:
            self.outcome = OUTCOME_BY_LAST_KEYWORD.get(self.monitor.last_keyword, AttemptStatus.RESET)

    def find_stalled(self) -> RelaySide | None:
        """Return None unless a side is stalled; then the upstream if it has unsent bytes, else the client."""
        if not self.upstream.is_stalled and not self.client.is_stalled:
            return None
        return self.upstream if self.upstream.unsent else self.client

    def export_state(self, opening: protocol.Opening, endpoint_id: str) -> ConnectionState:
        """Return the state that another process needs to continue the connection."""
        return ConnectionState(
            opening.line,
            endpoint_id,
            self.monitor.last_keyword.decode("utf-8", "replace"),
            self.monitor.response_timeout.waiting_since_us,
            BytesByDirection(self.upstream.line_buffer.partial_line, self.client.line_buffer.partial_line),
            BytesByDirection(self.client.unsent, self.upstream.unsent),
        )

    def import_state(self, state: ConnectionState) -> None:
        """Restore the state that another process exported."""
        self.monitor.last_keyword = state.last_upstream_keyword.encode()
        self.upstream.line_buffer.partial_line = state.partial_lines.to_client
        self.client.line_buffer.partial_line = state.partial_lines.to_upstream
        self.client.unsent = state.pending_lines.to_client
        self.upstream.unsent = state.pending_lines.to_upstream
        self.monitor.response_timeout.restore(state.waiting_since_us)
