"""The state of a relayed connection: its two sides, what the endpoint said last, and what an end makes of it.

All of it is owned by the thread of the connection's relay.
"""

from __future__ import annotations

import socket
from collections.abc import Sequence

from tansyladder.net import protocol
from tansyladder.net.buffered_socket import BufferedSocket
from tansyladder.net.delay_reports import DelayReports
from tansyladder.net.handover_messages import BytesByDirection, ConnectionState
from tansyladder.net.response_timeout import ResponseTimeout
from tansyladder.policy.events import AttemptStatus

# What the endpoint's end makes of the connection, by its last line's first word; any other is a reset.
OUTCOME_BY_LAST_WORD = {protocol.BYE: AttemptStatus.OK, protocol.MOVE: AttemptStatus.CANCELLED}


class RelaySide(BufferedSocket):
    """One end of a relayed connection: what it has sent a part of, and what it has not taken yet."""

    __slots__ = ("descriptor", "is_open")

    def __init__(self, sock: socket.socket, line_buffer: protocol.LineBuffer) -> None:
        super().__init__(sock, line_buffer)
        self.descriptor = sock.fileno()
        self.is_open = True  # it has not ended its half of the connection

    def send_from(self, other: RelaySide, data: bytes = b"") -> None:
        """Send the other side's data as `send` does; once all is out, pass the other side's end on.

        Raises:
            OSError: This side's connection broke.
        """
        self.send(data)
        if not self.unsent and not other.is_open:
            self.sock.shutdown(socket.SHUT_WR)


class UpstreamMonitor:
    """What the endpoint's lines tell the node itself."""

    __slots__ = ("_delay_reports", "last_word", "response_timeout")

    def __init__(self, delay_reports: DelayReports) -> None:
        self._delay_reports = delay_reports
        self.response_timeout = ResponseTimeout(delay_reports.record_delay)
        self.last_word = b""  # the first word of the endpoint's last line

    def lines_received(self, lines: Sequence[bytes]) -> None:
        """Take in whole lines that came from the endpoint."""
        for line in lines:
            word = protocol.first_word(line)
            self.last_word = word
            self.response_timeout.line_received(word)
            if word == protocol.LOAD:
                self._delay_reports.record_load_line(line)


class RelayedConnection:
    """Both sides of a connection and what the first end of one of them made of it."""

    __slots__ = ("client", "directions", "monitor", "outcome", "upstream")

    def __init__(self, client: RelaySide, upstream: RelaySide, monitor: UpstreamMonitor) -> None:
        self.client = client
        self.upstream = upstream
        # Source and destination; the upstream comes first, as its end may be a wake by the policy.
        self.directions = ((upstream, client), (client, upstream))
        self.monitor = monitor
        self.outcome: AttemptStatus | None = None  # None: no side has ended

    def other(self, side: RelaySide) -> RelaySide:
        """Return the other side."""
        return self.client if side is self.upstream else self.upstream

    def record_end(self, side: RelaySide) -> None:
        """Note what the end of a side makes of the connection; the first end decides."""
        if self.outcome is not None:
            return
        if side is self.client:
            self.outcome = AttemptStatus.CANCELLED
        else:
            self.outcome = OUTCOME_BY_LAST_WORD.get(self.monitor.last_word, AttemptStatus.RESET)

    def find_stalled(self) -> RelaySide | None:
        """Return a side that has taken nothing of what waits for it within `SEND_TIMEOUT`."""
        if not self.upstream.is_stalled and not self.client.is_stalled:
            return None
        return self.upstream if self.upstream.unsent else self.client

    def export_state(self, opening: protocol.Opening, endpoint_id: str) -> ConnectionState:
        """Return what another process needs to go on with the connection."""
        return ConnectionState(
            opening.line,
            endpoint_id,
            self.monitor.last_word.decode("utf-8", "replace"),
            self.monitor.response_timeout.waiting_since_us,
            BytesByDirection(self.upstream.line_buffer.partial_line, self.client.line_buffer.partial_line),
            BytesByDirection(self.client.unsent, self.upstream.unsent),
        )

    def import_state(self, state: ConnectionState) -> None:
        """Go on with what another process has passed until now."""
        self.monitor.last_word = state.last_upstream_word.encode()
        self.upstream.line_buffer.partial_line = state.partial_lines.to_client
        self.client.line_buffer.partial_line = state.partial_lines.to_upstream
        self.client.unsent = state.pending_lines.to_client
        self.upstream.unsent = state.pending_lines.to_upstream
        self.monitor.response_timeout.restore(state.waiting_since_us)
