"""Stand-in stream hosts, as many as a run asks for in one event loop."""

from __future__ import annotations

import asyncio
import random
from datetime import timedelta
from enum import Enum
from functools import partial

from tansyladder.lab.connections import LOOPBACK
from tansyladder.lab.first_lines import FirstLine, ResumptionRequest, parse_first_line
from tansyladder.lab.hosted_stream import HostedStream, StreamStore
from tansyladder.lab.report import Invariant, Report, clock
from tansyladder.lab.waiting import wait_until

ACK_LINES = 8  # client lines between two acknowledgements
ACK_INTERVAL = 2.0  # seconds between two acknowledgements where fewer lines arrive
HEALTH_CHECK_TIME = 0.003  # seconds until a health check is answered
SLOW_FACTOR = 8  # by which a slow host takes longer
DRAIN_GRACE = timedelta(seconds=2.55)  # no new attempt arrives at a draining or removed host after this
STALE_ATTEMPT_GRACE = 0.05  # seconds in which the end of an earlier attempt, already in its socket, is read
SILENT_EXTRA_TIME = 1.0  # seconds beyond the deadline for which a silent host leaves a first line unanswered
CLOSE_TIMEOUT = 2.0  # seconds in which a host's connections end
PARALLEL_SETUPS = 2  # cores of a host
BACKLOG = 1024
MAX_LINE_BYTES = 8192
MAX_CASE_LENGTH = 80  # characters of a violation's case


class HostBehaviour(Enum):
    """How a host treats health checks and sessions."""

    SOUND = "sound"
    SLOW = "slow"
    SILENT = "silent"  # accepts connections and answers nothing
    RESETTING = "resetting"  # resets each connection at its first line
    FULL = "full"  # answers BUSY
    OLD = "old"  # an old version, without resumption


class StreamHostCluster:
    """What all hosts of a run share. Owned by one event loop; not thread-safe.

    Subclasses observe the hosts through the `on_...` methods, which do nothing here.
    """

    def __init__(self, report: Report, seed: int) -> None:
        self.report = report
        self.store = StreamStore()
        self.rng = random.Random(seed)
        self._open_streams: dict[str, set[HostedStream]] = {}  # by connection id

    def on_session_acquired(self, stream: HostedStream) -> None:
        """Observe that a host has begun or resumed a session."""

    def on_session_fenced(self, stream: HostedStream) -> None:
        """Observe that an owner was rejected, as a newer epoch has its session."""

    def on_line_received(self, stream: HostedStream, number: int) -> None:
        """Observe a client's line."""

    def register(self, stream: HostedStream) -> None:
        """Record an attempt; no earlier one of the same connection may be in flight a moment later."""
        earlier = set(self._open_streams.get(stream.connection_id, ()))
        self._open_streams.setdefault(stream.connection_id, set()).add(stream)
        if earlier:
            loop = asyncio.get_running_loop()
            loop.call_later(STALE_ATTEMPT_GRACE, self._check_ended, stream.connection_id, earlier)

    def unregister(self, stream: HostedStream) -> None:
        """Record that an attempt has ended."""
        self._open_streams.get(stream.connection_id, set()).discard(stream)

    def _check_ended(self, connection_id: str, earlier: set[HostedStream]) -> None:
        """Check that none of the earlier attempts is still in flight."""
        if self._open_streams.get(connection_id, set()) & earlier:
            self.report.record_violation(Invariant.SINGLE_ATTEMPT, connection_id)


class StreamHost:
    """A stand-in stream host. Owned by one event loop; not thread-safe."""

    def __init__(
        self,
        cluster: StreamHostCluster,
        ident: str,
        behaviour: HostBehaviour = HostBehaviour.SOUND,
        frame_interval: float = 0.5,
        setup_time: float = 0.004,
    ) -> None:
        """Make a host that does not listen yet.

        `frame_interval` is in seconds; `setup_time` is the work of a session's setup, in seconds.
        """
        self.cluster = cluster
        self.ident = ident
        self.behaviour = behaviour
        self.frame_interval = frame_interval
        self.setup_time = setup_time
        self.streams: set[HostedStream] = set()
        self.address = ""
        self.addresses: list[str] = []  # of all its listeners
        # A host starts its drain before discovery announces it, or dies without one: both may be alone.
        self._is_draining = False
        self._drain_announced_at: timedelta | None = None
        self._servers: list[asyncio.Server] = []
        self._cores = asyncio.Semaphore(PARALLEL_SETUPS)

    async def start(self, listener_count: int = 1) -> None:
        """Listen; several listeners show which way a connection came. A restart uses the same addresses."""
        ports = [int(address.rpartition(":")[2]) for address in self.addresses] or [0] * listener_count
        self.addresses = []
        for index, port in enumerate(ports):
            serve = partial(self._serve, index)
            server = await asyncio.start_server(serve, LOOPBACK, port, backlog=BACKLOG, limit=MAX_LINE_BYTES)
            self._servers.append(server)
            self.addresses.append(f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}")
        self.address = self.addresses[0]

    def start_drain(self) -> None:
        """Answer BUSY to new sessions from now on."""
        self._is_draining = True

    def record_drain_announcement(self) -> None:
        """Record that discovery has listed the host as draining or removed; the first time counts."""
        if self._drain_announced_at is None:
            self._drain_announced_at = clock()

    def migrate_all(self) -> None:
        """Send MOVE to all sessions and end them at once, as a host does at the end of its drain."""
        for stream in list(self.streams):
            stream.send("MOVE")
            stream.writer.close()

    async def die(self) -> None:
        """Reset all connections and reject new ones, as when the process is gone."""
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

    def _scaled(self, seconds: float) -> float:
        """Return how long something takes at this host."""
        return seconds * (SLOW_FACTOR if self.behaviour is HostBehaviour.SLOW else 1)

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
                await self._receive_lines(stream, reader)
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # cancelled: the run has ended, and nothing waits for this connection
        finally:
            if stream is not None:
                self._remove(stream)
            writer.close()

    async def _answer_health_checks(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        """Answer PING lines; return the first other line."""
        while (line := await reader.readline()) == b"PING\r\n":
            if self.behaviour is not HostBehaviour.SILENT:
                await asyncio.sleep(self._scaled(HEALTH_CHECK_TIME))
                writer.write(b"PONG\r\n")
        return line

    async def _open(
        self, listener_index: int, line: str, writer: asyncio.StreamWriter
    ) -> HostedStream | None:
        """Handle a first line; return its stream where a session is served on it."""
        first_line = parse_first_line(line)
        if first_line is None:
            case = " ".join(line.split())[:MAX_CASE_LENGTH]
            self.cluster.report.record_violation(Invariant.VALID_FIRST_LINE, case)
            writer.write(b"SYNTAX\r\n")
            return None
        stream = HostedStream(self.ident, first_line.connection_id, writer, listener_index)
        self.cluster.register(stream)
        try:
            self._check_drain_grace()
            if not await self._set_up(stream, first_line):
                return None
            self.streams.add(stream)
            stream.tasks.append(asyncio.ensure_future(self._send_frames(stream)))
            return stream
        finally:
            if stream not in self.streams:
                self.cluster.unregister(stream)

    def _check_drain_grace(self) -> None:
        """Check that a new attempt does not arrive too late in a drain."""
        announced_at = self._drain_announced_at
        if announced_at is not None and clock() - announced_at > DRAIN_GRACE:
            self.cluster.report.record_violation(Invariant.NO_ATTEMPT_AFTER_DRAIN, self.ident)

    async def _set_up(self, stream: HostedStream, first_line: FirstLine) -> bool:
        """Answer a first line; return whether the answer is UP."""
        if self.behaviour is HostBehaviour.RESETTING:
            stream.writer.transport.abort()
            return False
        if self.behaviour is HostBehaviour.SILENT:
            await asyncio.sleep(first_line.deadline_s + SILENT_EXTRA_TIME)
            return False
        if self._is_draining or self.behaviour is HostBehaviour.FULL:
            stream.send("BUSY")
            return False
        async with self._cores:
            await asyncio.sleep(self._scaled(self.setup_time))
        if first_line.resumption is not None and self.behaviour is not HostBehaviour.OLD:
            return self._acquire_session(stream, first_line.resumption)
        stream.send(f"UP {self.ident}-{stream.connection_id}")
        return True

    def _acquire_session(self, stream: HostedStream, request: ResumptionRequest) -> bool:
        """Begin or resume a session that the store has; return whether the node may have it."""
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
        stream.send(f"UP {self.ident}-{stream.connection_id}\r\nRS AT {stored.received} {stored.sent}")
        return True

    async def _send_frames(self, stream: HostedStream) -> None:
        """Send frames at a constant rate; the sessions' phases differ."""
        stream.send_frame()
        await asyncio.sleep(self.cluster.rng.random() * self.frame_interval)
        acknowledged_at = clock()
        while not stream.writer.transport.is_closing():
            if self.behaviour is HostBehaviour.SLOW:
                await asyncio.sleep(self.frame_interval)
            if self.behaviour is not HostBehaviour.SILENT:
                stream.send_frame()
            if (clock() - acknowledged_at).total_seconds() >= ACK_INTERVAL:
                acknowledged_at = clock()
                stream.send_acknowledgement()
            await asyncio.sleep(self.frame_interval)

    async def _receive_lines(self, stream: HostedStream, reader: asyncio.StreamReader) -> None:
        """Receive the client's lines until the connection ends or another owner has the session."""
        while line := await reader.readline():
            verb, argument, *_ = line.split()
            if stream.is_resumable and verb == b"RS":
                continue
            if stream.is_fenced:
                self.cluster.store.count_fenced()
                self.cluster.on_session_fenced(stream)
                return
            self._handle_line(stream, int(argument))

    def _handle_line(self, stream: HostedStream, number: int) -> None:
        """Check a client line's number and answer it with a frame."""
        self.cluster.on_line_received(stream, number)
        stored = stream.stored
        report = self.cluster.report
        if number > stored.received + 1:
            report.record_violation(Invariant.NO_LINE_LOST, f"client line {number} after {stored.received}")
        elif number <= stored.received:
            report.record_violation(Invariant.NO_LINE_DUPLICATED, f"client line {number}")
        stored.record_received(number)
        if self.behaviour is HostBehaviour.SILENT:
            return
        stream.send_frame()
        if stored.received - stream.acknowledged >= ACK_LINES:
            stream.send_acknowledgement()

    def _remove(self, stream: HostedStream) -> None:
        """End a stream's tasks, and record that its attempt has ended."""
        for task in stream.tasks:
            task.cancel()
        self.streams.discard(stream)
        self.cluster.unregister(stream)
