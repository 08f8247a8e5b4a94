"""Stand-in stream hosts and the session store behind them, as many as a run asks for in one event loop.

The lines of a session are numbered: `F n h` is the host's n-th line and confirms the client's lines up to h;
the client's are `M n`. The store has both counts, so that any host can resume a session.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from functools import partial

from tansyladder.lab.connections import LOOPBACK
from tansyladder.lab.report import Report, clock
from tansyladder.lab.waiting import wait_until

ACK_LINES = 8  # client lines between two acknowledgements
ACK_INTERVAL = 2.0  # seconds between two acknowledgements where fewer lines come
HEALTH_CHECK_TIME = 0.003  # seconds until a health check is answered
SLOW_FACTOR = 8  # by which a slow host takes longer
DRAIN_GRACE = timedelta(seconds=2.55)  # nothing new comes to a host that drains or is removed after this
STALE_ATTEMPT_GRACE = 0.05  # seconds in which the end of an earlier attempt, already in its socket, is read
CLOSE_TIMEOUT = 2.0  # seconds in which a host's connections end
PARALLEL_SETUPS = 2  # cores of a host
BACKLOG = 1024
MAX_LINE_BYTES = 8192


class HostBehaviour(Enum):
    """How a host treats health checks and sessions."""

    SOUND = "sound"
    SLOW = "slow"
    SILENT = "silent"  # accepts connections and answers nothing
    RESETTING = "resetting"  # resets each connection at its first line
    FULL = "full"  # answers BUSY
    OLD = "old"  # knows nothing of resumption


@dataclass(slots=True)
class StoredStream:
    """One session in the store."""

    received: int = 0  # the last client line
    sent: int = 0  # the last host line
    epoch: int = 0  # of the session's owner


class StreamStore:
    """The session store that all hosts share; it fences off whoever held a session under an older epoch."""

    def __init__(self) -> None:
        self.sessions: dict[str, StoredStream] = {}
        self.fenced_count = 0

    def acquire(self, session_id: str, epoch: int) -> StoredStream | None:
        """Return the session for its newest owner, or None where it has one of this epoch or a newer one."""
        stored = self.sessions.setdefault(session_id, StoredStream())
        if epoch <= stored.epoch:
            self.fenced_count += 1
            return None
        stored.epoch = epoch
        return stored


@dataclass(slots=True, eq=False)
class HostedStream:
    """One connection at a host. Owned by the event loop."""

    host: StreamHost
    connection_id: str  # from the first line
    writer: asyncio.StreamWriter
    listener_index: int = 0  # which of the host's listeners it came through
    stored: StoredStream = field(default_factory=StoredStream)
    session_id: str = ""
    epoch: int = 0
    resumes: bool = False
    acknowledged: int = 0  # the last client line that the client was sent an acknowledgement for
    tasks: list[asyncio.Task[None]] = field(default_factory=list)

    @property
    def is_fenced(self) -> bool:
        """Whether another owner has the session by now."""
        return self.stored.epoch != self.epoch

    def send(self, line: str) -> None:
        """Send a line, unless the connection ends already."""
        if not self.writer.transport.is_closing():
            self.writer.write(f"{line}\r\n".encode())

    def send_frame(self) -> None:
        """Send the session's next line, or end the connection where another owner has the session."""
        if self.resumes and self.is_fenced:
            self.writer.close()
            return
        self.stored.sent += 1
        self.send(f"F {self.stored.sent} {self.stored.received}")

    def send_acknowledgement(self) -> None:
        """Acknowledge the client's lines, where there are new ones and the session can be resumed."""
        if self.resumes and self.acknowledged < self.stored.received:
            self.acknowledged = self.stored.received
            self.send(f"RS ACK {self.acknowledged}")


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
        """A host has begun or resumed a session."""

    def on_session_fenced(self, stream: HostedStream) -> None:
        """A session was refused, as a newer epoch has it."""

    def on_line_received(self, stream: HostedStream, number: int) -> None:
        """A client's line has come."""

    def register(self, stream: HostedStream) -> None:
        """Note that a first line has come; no earlier attempt of the same id may be open a moment later."""
        earlier = set(self._open_streams.get(stream.connection_id, ()))
        self._open_streams.setdefault(stream.connection_id, set()).add(stream)
        if earlier:
            loop = asyncio.get_running_loop()
            loop.call_later(STALE_ATTEMPT_GRACE, self._check_ended, stream.connection_id, earlier)

    def unregister(self, stream: HostedStream) -> None:
        """Note that an attempt has ended."""
        self._open_streams.get(stream.connection_id, set()).discard(stream)

    def _check_ended(self, connection_id: str, earlier: set[HostedStream]) -> None:
        if self._open_streams.get(connection_id, set()) & earlier:
            self.report.record_violation("second_attempts", connection_id)


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
        self.is_draining = False
        self.drain_announced_at: timedelta | None = None  # when discovery wrote that it drains or is removed
        self.address = ""
        self.addresses: list[str] = []  # of all its listeners
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

    def migrate_all(self) -> None:
        """Send MOVE to all sessions and end them at once, as a draining host does in the end."""
        for stream in list(self.streams):
            stream.send("MOVE")
            stream.writer.close()

    async def die(self) -> None:
        """Reset all connections and refuse new ones, as when the process is gone."""
        for stream in list(self.streams):
            stream.writer.transport.abort()
        await self.close()

    async def close(self) -> None:
        """Listen no more, and reset all connections."""
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
            while (line := await reader.readline()) == b"PING\r\n":
                if self.behaviour is not HostBehaviour.SILENT:
                    await asyncio.sleep(self._scaled(HEALTH_CHECK_TIME))
                    writer.write(b"PONG\r\n")
            if line.endswith(b"\r\n"):
                stream = await self._open(listener_index, line.decode().split(), writer)
            if stream is not None:
                await self._receive_lines(stream, reader)
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # cancelled: the run is over, and nothing waits for this connection
        finally:
            if stream is not None:
                self._remove(stream)
            writer.close()

    async def _open(
        self, listener_index: int, words: list[str], writer: asyncio.StreamWriter
    ) -> HostedStream | None:
        """Handle a first line; return its stream where a session is served on it."""
        if len(words) != 4 or words[0] != "OPEN":
            self.cluster.report.record_violation("bad_first_lines", " ".join(words)[:80])
            writer.write(b"SYNTAX\r\n")
            return None
        parameters = dict(pair.split("=", 1) for pair in words[3].split(","))
        stream = HostedStream(self, words[1], writer, listener_index)
        self.cluster.register(stream)
        try:
            if self.drain_announced_at is not None and clock() - self.drain_announced_at > DRAIN_GRACE:
                self.cluster.report.record_violation("late_sends_after_drain", self.ident)
            if not await self._set_up(stream, parameters):
                return None
            self.streams.add(stream)
            stream.tasks.append(asyncio.ensure_future(self._send_frames(stream)))
            return stream
        finally:
            if stream not in self.streams:
                self.cluster.unregister(stream)

    async def _set_up(self, stream: HostedStream, parameters: dict[str, str]) -> bool:
        """Answer a first line; return whether the answer is UP."""
        if self.behaviour is HostBehaviour.RESETTING:
            stream.writer.transport.abort()
            return False
        if self.behaviour is HostBehaviour.SILENT:
            await asyncio.sleep(float(parameters["d"]) / 1000 + 1)
            return False
        if self.is_draining or self.behaviour is HostBehaviour.FULL:
            stream.send("BUSY")
            return False
        async with self._cores:
            await asyncio.sleep(self._scaled(self.setup_time))
        if "rsn" in parameters and self.behaviour is not HostBehaviour.OLD:
            return self._acquire_session(stream, parameters)
        stream.send(f"UP {self.ident}-{stream.connection_id}")
        return True

    def _acquire_session(self, stream: HostedStream, parameters: dict[str, str]) -> bool:
        """Begin or resume a session that the store has; return whether the node may have it."""
        stream.session_id = parameters["rsn"]
        stream.epoch = int(parameters["re"])
        stored = self.cluster.store.acquire(stream.session_id, stream.epoch)
        if stored is None:
            self.cluster.on_session_fenced(stream)
        else:
            self.cluster.on_session_acquired(stream)
        if stored is None or not int(parameters["ra"]) <= stored.received <= int(parameters["ri"]):
            stream.send("BUSY")
            return False
        stored.sent = int(parameters["ro"])  # what a lost host sent beyond it never arrived
        stream.stored = stored
        stream.resumes = True
        stream.acknowledged = stored.received
        stream.send(f"UP {self.ident}-{stream.connection_id}\r\nRS AT {stored.received} {stored.sent}")
        return True

    async def _send_frames(self, stream: HostedStream) -> None:
        """Send frames at a steady pace, the sessions out of step with each other."""
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
            words = line.split()
            if stream.resumes and words[0] == b"RS":
                continue
            if stream.is_fenced:
                self.cluster.store.fenced_count += 1
                self.cluster.on_session_fenced(stream)
                return
            self._handle_line(stream, int(words[1]))

    def _handle_line(self, stream: HostedStream, number: int) -> None:
        """Check a client line's number and answer it with a frame."""
        self.cluster.on_line_received(stream, number)
        stored = stream.stored
        report = self.cluster.report
        if number > stored.received + 1:
            report.record_violation("lines_lost", f"client line {number} after {stored.received}")
        elif number <= stored.received:
            report.record_violation("lines_doubled", f"client line {number}")
        stored.received = max(stored.received, number)
        if self.behaviour is HostBehaviour.SILENT:
            return
        stream.send_frame()
        if stored.received - stream.acknowledged >= ACK_LINES:
            stream.send_acknowledgement()

    def _remove(self, stream: HostedStream) -> None:
        for task in stream.tasks:
            task.cancel()
        self.streams.discard(stream)
        self.cluster.unregister(stream)
