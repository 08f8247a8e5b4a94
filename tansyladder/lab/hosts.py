"""Stand-in stream hosts and the session store behind them, as many as a run asks for in one event loop.

What a session says is numbered: `F n h` is the host's n-th line and tells how many of the client's lines it
has heard; the client's are `M n`. The store keeps both counts, so that any host can go on with a session.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial

from tansyladder.lab.report import Report, clock

ACK_LINES = 8
ACK_EVERY = 2.0  # seconds
PROBE = 0.003  # seconds of work that a probe takes
GRACE = timedelta(seconds=2.55)  # nothing new to a host that drains or is gone after this
ENDED = 0.05  # seconds in which the end of an earlier attempt, which is in its socket already, is read


@dataclass(slots=True)
class StoredStream:
    """One session in the store."""

    received: int = 0
    sent: int = 0
    epoch: int = 0


class StreamStore:
    """The session store all hosts share; it refuses whoever held a session under an older epoch."""

    def __init__(self) -> None:
        self.sessions: dict[str, StoredStream] = {}
        self.fenced_count = 0

    def acquire(self, session: str, epoch: int) -> StoredStream | None:
        """The session for its newest holder; None where a newer one has it."""
        kept = self.sessions.setdefault(session, StoredStream())
        if epoch <= kept.epoch:
            self.fenced_count += 1
            return None
        kept.epoch = epoch
        return kept


@dataclass(slots=True, eq=False)
class HostedStream:
    """One connection at a host."""

    host: StreamHost
    connection_id: str
    stored: StoredStream
    epoch: int
    writer: asyncio.StreamWriter
    resumes: bool
    acknowledged: int = 0
    listener_index: int = 0  # of the host's listeners, the one that it came through
    session_id: str = ""
    tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def send(self, line: str) -> None:
        if not self.writer.transport.is_closing():
            self.writer.write(f"{line}\r\n".encode())

    def send_frame(self) -> None:
        if self.resumes and self.stored.epoch != self.epoch:  # another owner has it
            self.writer.close()
            return
        self.stored.sent += 1
        self.send(f"F {self.stored.sent} {self.stored.received}")

    def send_acknowledgement(self) -> None:
        if self.resumes and self.acknowledged < self.stored.received:
            self.acknowledged = self.stored.received
            self.send(f"RS ACK {self.acknowledged}")


class StreamHostCluster:
    """What all hosts of a run share, and what the checkers see of every attempt."""

    def __init__(self, report: Report, seed: int) -> None:
        self.report, self.store = report, StreamStore()
        self.rng = random.Random(seed)
        self._open_streams: dict[str, set[HostedStream]] = {}  # by the id in the first line

    def register(self, held: HostedStream) -> None:
        """A first line has come: no earlier attempt of the same id may be out still."""
        earlier = set(self._open_streams.get(held.connection_id, ()))
        self._open_streams.setdefault(held.connection_id, set()).add(held)
        if earlier:
            asyncio.get_running_loop().call_later(ENDED, self._check, held.connection_id, earlier)

    def _check(self, ident: str, earlier: set[HostedStream]) -> None:
        if self._open_streams.get(ident, set()) & earlier:
            self.report.record_violation("second_attempts", ident)

    def saw(self, what: str, held: HostedStream, number: int = 0) -> None:
        """For whoever keeps a history: a session was taken, fenced off, or a line of its client heard."""

    def unregister(self, held: HostedStream) -> None:
        self._open_streams.get(held.connection_id, set()).discard(held)


class StreamHost:
    """A stand-in stream host; `behaviour` is sound, slow, silent, resetting, full or old (knows no RS)."""

    def __init__(
        self,
        world: StreamHostCluster,
        ident: str,
        behaviour: str = "sound",
        period: float = 0.5,
        work: float = 0.004,
    ) -> None:
        """`period`: seconds between two lines of a session; `work`: seconds of a set-up, two at a time."""
        self.cluster, self.ident, self.behaviour = world, ident, behaviour
        self.frame_interval, self.setup_time = period, work
        self.streams: set[HostedStream] = set()
        self.is_draining = False
        self.drain_announced_at: timedelta | None = None  # when discovery wrote that it drains or is gone
        self.seen: Counter[str] = Counter()
        self.address = ""
        self.addresses: list[str] = []  # the addresses of all its listeners
        self._servers: list[asyncio.Server] = []
        self._cores = asyncio.Semaphore(2)

    async def start(self, doors: int = 1) -> None:
        """`doors`: listeners, so that it shows which way a connection came; at a next start the same ones."""
        ports = [int(door.rpartition(":")[2]) for door in self.addresses] or [0] * doors
        self.addresses = []
        for door, port in enumerate(ports):
            serve = partial(self._serve, door)
            server = await asyncio.start_server(serve, "127.0.0.1", port, backlog=1024, limit=8192)
            self._servers.append(server)
            self.addresses.append(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        self.address = self.addresses[0]

    async def _serve(self, door: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        held: HostedStream | None = None
        try:
            while (line := await reader.readline()) == b"PING\r\n":
                if self.behaviour != "silent":
                    await asyncio.sleep(PROBE * (8 if self.behaviour == "slow" else 1))
                    writer.write(b"PONG\r\n")
            if line.endswith(b"\r\n"):
                held = await self._open(door, line.decode().split(), writer)
            if held is not None:
                await self._listen(held, reader)
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # cancelled: the run is over, and nothing waits for this one
        finally:
            if held is not None:
                self._let_go(held)
            writer.close()

    async def _open(self, door: int, words: list[str], writer: asyncio.StreamWriter) -> HostedStream | None:
        if len(words) != 4 or words[0] != "OPEN":
            self.cluster.report.record_violation("bad_first_lines", " ".join(words)[:80])
            writer.write(b"SYNTAX\r\n")
            return None
        told = dict(pair.split("=", 1) for pair in words[3].split(","))
        held = HostedStream(self, words[1], StoredStream(), 0, writer, False, listener_index=door)
        self.cluster.register(held)
        try:
            if self.drain_announced_at is not None and clock() - self.drain_announced_at > GRACE:
                self.cluster.report.record_violation("late_sends_after_drain", self.ident)
            return await self._set_up(held, told)
        finally:
            if held not in self.streams:
                self.cluster.unregister(held)

    async def _set_up(self, held: HostedStream, told: dict[str, str]) -> HostedStream | None:
        self.seen["first_lines"] += 1
        if self.behaviour == "resetting":
            held.writer.transport.abort()
            return None
        if self.behaviour == "silent":
            await asyncio.sleep(float(told["d"]) / 1000 + 1)
            return None
        if self.is_draining or self.behaviour == "full":
            held.send("BUSY")
            return None
        async with self._cores:
            await asyncio.sleep(self.setup_time * (8 if self.behaviour == "slow" else 1))
        if "rsn" in told and self.behaviour != "old":
            held.session_id, held.epoch = told["rsn"], int(told["re"])
            kept = self.cluster.store.acquire(held.session_id, held.epoch)
            self.cluster.saw("fenced" if kept is None else "taken", held)
            if kept is None or not int(told["ra"]) <= kept.received <= int(told["ri"]):
                held.send("BUSY")
                return None
            kept.sent = int(told["ro"])  # what a lost host said beyond it never arrived
            held.stored, held.resumes, held.acknowledged = kept, True, kept.received
            held.send(f"UP {self.ident}-{held.connection_id}\r\nRS AT {kept.received} {kept.sent}")
        else:
            held.send(f"UP {self.ident}-{held.connection_id}")
        self.streams.add(held)
        held.tasks.append(asyncio.ensure_future(self._push(held)))
        return held

    async def _push(self, held: HostedStream) -> None:
        """Frames at a steady pace; all sessions out of step with each other."""
        held.send_frame()
        await asyncio.sleep(self.cluster.rng.random() * self.frame_interval)
        acked = clock()
        while not held.writer.transport.is_closing():
            if self.behaviour == "slow":
                await asyncio.sleep(self.frame_interval)
            if self.behaviour != "silent":
                held.send_frame()
            if (clock() - acked).total_seconds() >= ACK_EVERY:
                acked = clock()
                held.send_acknowledgement()
            await asyncio.sleep(self.frame_interval)

    async def _listen(self, held: HostedStream, reader: asyncio.StreamReader) -> None:
        while line := await reader.readline():
            words = line.split()
            if held.resumes and words[0] == b"RS":
                continue
            if held.stored.epoch != held.epoch:
                self.cluster.store.fenced_count += 1
                self.cluster.saw("fenced", held)
                return
            number = int(words[1])
            self.cluster.saw("heard", held, number)
            if number > held.stored.received + 1:
                self.cluster.report.record_violation(
                    "lines_lost", f"client line {number} after {held.stored.received}"
                )
            elif number <= held.stored.received:
                self.cluster.report.record_violation("lines_doubled", f"client line {number}")
            held.stored.received = max(held.stored.received, number)
            if self.behaviour == "silent":
                continue
            held.send_frame()
            if held.stored.received - held.acknowledged >= ACK_LINES:
                held.send_acknowledgement()

    def _let_go(self, held: HostedStream) -> None:
        for task in held.tasks:
            task.cancel()
        self.streams.discard(held)
        self.cluster.unregister(held)

    def send_away(self) -> None:
        """What a draining host does with those it still holds: MOVE and the end, all at once."""
        for held in list(self.streams):
            held.send("MOVE")
            held.writer.close()

    async def die(self) -> None:
        """The process is gone: resets, and new connections are refused."""
        for held in list(self.streams):
            held.writer.transport.abort()
        await self.close()

    async def close(self) -> None:
        while self._servers:
            self._servers.pop().close()
        for held in list(self.streams):
            held.writer.transport.abort()
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(self._emptied(), 2)

    async def _emptied(self) -> None:
        while self.streams:
            await asyncio.sleep(0.01)
