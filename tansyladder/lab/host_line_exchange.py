"""Exchange of a session's lines at a stand-in host, which sends frames and checks the client's lines."""

from __future__ import annotations

import asyncio

from tansyladder.lab.host_cluster import StreamHostCluster
from tansyladder.lab.hosted_stream import HostedStream
from tansyladder.lab.report import Invariant, clock

ACK_LINES = 8  # client lines between two acknowledgements
ACK_INTERVAL = 2.0  # seconds between two acknowledgements if fewer lines arrive


class HostLineExchange:
    """Serves a stream whose first line was answered with UP. Owned by one event loop; not thread-safe."""

    def __init__(self, cluster: StreamHostCluster, stream: HostedStream, frame_interval: float) -> None:
        """Create an exchange that sends a frame every `frame_interval` seconds, and one for each line."""
        self._cluster = cluster
        self._stream = stream
        self._frame_interval = frame_interval

    async def run(self, reader: asyncio.StreamReader) -> None:
        """Serve the stream until its connection ends or another owner has the session.

        Raises OSError, and ValueError for a client line without a number.
        """
        sender = asyncio.ensure_future(self._send_frames())
        try:
            await self._receive_lines(reader)
        finally:
            sender.cancel()

    async def _send_frames(self) -> None:
        """Send frames at a constant rate, after an initial delay that differs between sessions."""
        stream = self._stream
        stream.send_frame()
        await asyncio.sleep(self._cluster.rng.random() * self._frame_interval)
        last_acknowledgement_at = clock()
        while not stream.writer.transport.is_closing():
            stream.send_frame()
            if (clock() - last_acknowledgement_at).total_seconds() >= ACK_INTERVAL:
                last_acknowledgement_at = clock()
                stream.send_acknowledgement()
            await asyncio.sleep(self._frame_interval)

    async def _receive_lines(self, reader: asyncio.StreamReader) -> None:
        """Receive the client's lines until the connection ends or another owner has the session."""
        stream = self._stream
        while line := await reader.readline():
            verb, argument, *_ = line.split()
            if stream.is_resumable and verb == b"RS":
                continue
            if stream.is_fenced:
                self._cluster.store.count_fenced()
                self._cluster.on_session_fenced(stream)
                return
            self._handle_line(int(argument))

    def _handle_line(self, number: int) -> None:
        """Check a client line's number and answer it with a frame."""
        stream = self._stream
        stored = stream.stored
        report = self._cluster.report
        self._cluster.on_line_received(stream, number)
        if number > stored.received + 1:
            report.record_violation(
                Invariant.NO_LINE_LOST, f"received client line {number} after line {stored.received}"
            )
        elif number <= stored.received:
            report.record_violation(
                Invariant.NO_LINE_DUPLICATED,
                f"received client line {number} again; the last one was {stored.received}",
            )
        stored.record_received(number)
        stream.send_frame()
        if stored.received - stream.acknowledged >= ACK_LINES:
            stream.send_acknowledgement()
