"""Stand-in stream hosts; all hosts of a run share one event loop."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from functools import partial

from tansyladder.lab.connections import LOOPBACK
from tansyladder.lab.first_lines import FirstLine, ResumptionRequest, parse_first_line
from tansyladder.lab.host_cluster import StreamHostCluster
from tansyladder.lab.host_line_exchange import HostLineExchange
from tansyladder.lab.hosted_stream import HostedStream
from tansyladder.lab.report import Invariant, clock
from tansyladder.lab.waiting import wait_until

HEALTH_CHECK_TIME = 0.003  # seconds before a health check is answered
SETUP_TIME = 0.004  # seconds that the setup of a session occupies a core
FRAME_INTERVAL = 0.5  # seconds between two frames of a session
DRAIN_GRACE = timedelta(seconds=2.55)  # after a drain is announced; from then on no new attempt may arrive
CLOSE_TIMEOUT = 2.0  # seconds within which a host's connections end
PARALLEL_SETUPS = 2  # cores of a host, one for each setup at a time
BACKLOG = 1024
MAX_LINE_BYTES = 8192
MAX_CASE_LENGTH = 80  # characters of a violation's case


class StreamHost:
    """A stand-in stream host. Owned by one event loop; not thread-safe."""

    def __init__(
        self,
        cluster: StreamHostCluster,
        host_id: str,
        frame_interval: float = FRAME_INTERVAL,
    ) -> None:
        """Create a host that does not listen yet; `frame_interval` is in seconds."""
        self.cluster = cluster
        self.host_id = host_id
        self._frame_interval = frame_interval
        self.streams: set[HostedStream] = set()
        self.address = ""
        self.addresses: list[str] = []  # of all its listeners
        # These two are independent: a host may drain before discovery announces it, or die without a drain.
        self._is_draining = False
        self._drain_announced_at: timedelta | None = None
        self._servers: list[asyncio.Server] = []
        self._cores = asyncio.Semaphore(PARALLEL_SETUPS)

    async def start(self, listener_count: int = 1) -> None:
        """Listen on `listener_count` ports, one per link, to tell links apart. A restart keeps the ports."""
        ports = [int(address.rpartition(":")[2]) for address in self.addresses] or [0] * listener_count
        self.addresses = []
        for index, port in enumerate(ports):
            serve = partial(self._serve, index)
            server = await asyncio.start_server(serve, LOOPBACK, port, backlog=BACKLOG, limit=MAX_LINE_BYTES)
            self._servers.append(server)
            self.addresses.append(f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}")
        self.address = self.addresses[0]

    def start_drain(self) -> None:
        """Answer new sessions with BUSY from now on."""
        self._is_draining = True

    def record_drain_announcement(self) -> None:
        """Record when discovery first listed the host as draining or removed."""
        if self._drain_announced_at is None:
            self._drain_announced_at = clock()

    def migrate_all(self) -> None:
        """Send MOVE to all sessions and end them at once, as a host does at the end of its drain."""
        for stream in list(self.streams):
            stream.send("MOVE")
            stream.writer.close()

    async def die(self) -> None:
        """Reset all connections and reject new ones, as when the process has died."""
        for stream in list(self.streams):
            stream.writer.transport.abort()
        await self.close()

    async def close(self) -> None:
        """Stop listening, and reset all connections."""
        while self._servers:
            self._servers.pop().close()
        for stream in list(self.streams):
            stream.writer.transport.abort()
        await wait_until(lambda: not self.streams, CLOSE_TIMEOUT)

    async def _serve(
        self, listener_index: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer health checks, then serve one session until it ends."""
        stream: HostedStream | None = None
        try:
            line = await self._answer_health_checks(reader, writer)
            if line.endswith(b"\r\n"):
                stream = await self._open(listener_index, line.decode(), writer)
            if stream is not None:
                await HostLineExchange(self.cluster, stream, self._frame_interval).run(reader)
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # cancelled: the run has ended, and nothing waits for this connection
        finally:
            if stream is not None:
                self.streams.discard(stream)
                self.cluster.unregister(stream)
            writer.close()

    async def _answer_health_checks(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        """Answer PING lines; return the first other line."""
        while (line := await reader.readline()) == b"PING\r\n":
            await asyncio.sleep(HEALTH_CHECK_TIME)
            writer.write(b"PONG\r\n")
        return line

    async def _open(
        self, listener_index: int, line: str, writer: asyncio.StreamWriter
    ) -> HostedStream | None:
        """Handle a first line; return its stream if a session is served on it, else None."""
        first_line = parse_first_line(line)
        if first_line is None:
            case = " ".join(line.split())[:MAX_CASE_LENGTH]
            self.cluster.report.record_violation(Invariant.VALID_FIRST_LINE, case)
            writer.write(b"SYNTAX\r\n")
            return None
        stream = HostedStream(self.host_id, first_line.connection_id, writer, listener_index)
        self.cluster.register(stream)
        try:
            self._check_drain_grace()
            if not await self._set_up(stream, first_line):
                return None
            self.streams.add(stream)
            return stream
        finally:
            if stream not in self.streams:
                self.cluster.unregister(stream)

    def _check_drain_grace(self) -> None:
        """Check that no new attempt arrives more than DRAIN_GRACE after a drain was announced."""
        announced_at = self._drain_announced_at
        if announced_at is not None and clock() - announced_at > DRAIN_GRACE:
            self.cluster.report.record_violation(Invariant.NO_ATTEMPT_AFTER_DRAIN, self.host_id)

    async def _set_up(self, stream: HostedStream, first_line: FirstLine) -> bool:
        """Answer a first line; return whether the answer is UP."""
        if self._is_draining:
            stream.send("BUSY")
            return False
        async with self._cores:
            await asyncio.sleep(SETUP_TIME)
        if first_line.resumption is not None:
            return self._acquire_session(stream, first_line.resumption)
        stream.send(f"UP {self.host_id}-{stream.connection_id}")
        return True

    def _acquire_session(self, stream: HostedStream, request: ResumptionRequest) -> bool:
        """Acquire a session for a node and answer UP or BUSY; return whether the answer is UP.

        It is BUSY if the node's epoch is not newer than the session's, or if the store's last client line
        is not within the request's `acknowledged` to `received`.
        """
        stream.claim(request.session_id, request.epoch)
        stored = self.cluster.store.acquire(request.session_id, request.epoch)
        if stored is None:
            self.cluster.on_session_fenced(stream)
        else:
            self.cluster.on_session_acquired(stream)
        if stored is None or not request.acknowledged <= stored.received <= request.received:
            stream.send("BUSY")
            return False
        stream.resume(stored, request.sent)
        stream.send(f"UP {self.host_id}-{stream.connection_id}\r\nRS AT {stored.received} {stored.sent}")
        return True
