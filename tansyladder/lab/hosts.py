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

    heard: int = 0
    said: int = 0
    epoch: int = 0


class StreamStore:
    """The session store all hosts share; it refuses whoever held a session under an older epoch."""

    def __init__(self) -> None:
        self.sessions: dict[str, StoredStream] = {}
        self.fenced = 0

    def take(self, session: str, epoch: int) -> StoredStream | None:
        """The session for its newest holder; None where a newer one has it."""
        kept = self.sessions.setdefault(session, StoredStream())
        if epoch <= kept.epoch:
            self.fenced += 1
            return None
        kept.epoch = epoch
        return kept


@dataclass(slots=True, eq=False)
class HostedStream:
    """One connection at a host."""

    host: StreamHost
    ident: str
    kept: StoredStream
    epoch: int
    writer: asyncio.StreamWriter
    resumes: bool
    acked: int = 0
    door: int = 0  # of the host's listeners, the one that it came through
    session: str = ""
    tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def say(self, line: str) -> None:
        if not self.writer.transport.is_closing():
            self.writer.write(f"{line}\r\n".encode())

    def frame(self) -> None:
        if self.resumes and self.kept.epoch != self.epoch:  # another owner has it
            self.writer.close()
            return
        self.kept.said += 1
        self.say(f"F {self.kept.said} {self.kept.heard}")

    def acknowledge(self) -> None:
        if self.resumes and self.acked < self.kept.heard:
            self.acked = self.kept.heard
            self.say(f"RS ACK {self.acked}")


class StreamHostCluster:
    """What all hosts of a run share, and what the checkers see of every attempt."""

    def __init__(self, report: Report, seed: int) -> None:
        self.report, self.store = report, StreamStore()
        self.rng = random.Random(seed)
        self.open: dict[str, set[HostedStream]] = {}  # by the id in the first line

    def attempt(self, held: HostedStream) -> None:
        """A first line has come: no earlier attempt of the same id may be out still."""
        earlier = set(self.open.get(held.ident, ()))
        self.open.setdefault(held.ident, set()).add(held)
        if earlier:
            asyncio.get_running_loop().call_later(ENDED, self._check, held.ident, earlier)

    def _check(self, ident: str, earlier: set[HostedStream]) -> None:
        if self.open.get(ident, set()) & earlier:
            self.report.record_violation("second_attempts", ident)

    def saw(self, what: str, held: HostedStream, number: int = 0) -> None:
        """For whoever keeps a history: a session was taken, fenced off, or a line of its client heard."""

    def over(self, held: HostedStream) -> None:
        self.open.get(held.ident, set()).discard(held)


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
        self.world, self.ident, self.behaviour = world, ident, behaviour
        self.period, self.work = period, work
        self.held: set[HostedStream] = set()
        self.draining = False
        self.told: timedelta | None = None  # when discovery wrote that it drains or is gone
        self.seen: Counter[str] = Counter()
        self.address = ""
        self.doors: list[str] = []  # the addresses of all its listeners
        self._servers: list[asyncio.Server] = []
        self._cores = asyncio.Semaphore(2)

    async def start(self, doors: int = 1) -> None:
        """`doors`: listeners, so that it shows which way a connection came; at a next start the same ones."""
        ports = [int(door.rpartition(":")[2]) for door in self.doors] or [0] * doors
        self.doors = []
        for door, port in enumerate(ports):
            serve = partial(self._serve, door)
            server = await asyncio.start_server(serve, "127.0.0.1", port, backlog=1024, limit=8192)
            self._servers.append(server)
            self.doors.append(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        self.address = self.doors[0]

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
            self.world.report.record_violation("bad_first_lines", " ".join(words)[:80])
            writer.write(b"SYNTAX\r\n")
            return None
        told = dict(pair.split("=", 1) for pair in words[3].split(","))
        held = HostedStream(self, words[1], StoredStream(), 0, writer, False, door=door)
        self.world.attempt(held)
        try:
            if self.told is not None and clock() - self.told > GRACE:
                self.world.report.record_violation("late_sends_after_drain", self.ident)
            return await self._set_up(held, told)
        finally:
            if held not in self.held:
                self.world.over(held)

    async def _set_up(self, held: HostedStream, told: dict[str, str]) -> HostedStream | None:
        self.seen["first_lines"] += 1
        if self.behaviour == "resetting":
            held.writer.transport.abort()
            return None
        if self.behaviour == "silent":
            await asyncio.sleep(float(told["d"]) / 1000 + 1)
            return None
        if self.draining or self.behaviour == "full":
            held.say("BUSY")
            return None
        async with self._cores:
            await asyncio.sleep(self.work * (8 if self.behaviour == "slow" else 1))
        if "rsn" in told and self.behaviour != "old":
            held.session, held.epoch = told["rsn"], int(told["re"])
            kept = self.world.store.take(held.session, held.epoch)
            self.world.saw("fenced" if kept is None else "taken", held)
            if kept is None or not int(told["ra"]) <= kept.heard <= int(told["ri"]):
                held.say("BUSY")
                return None
            kept.said = int(told["ro"])  # what a lost host said beyond it never arrived
            held.kept, held.resumes, held.acked = kept, True, kept.heard
            held.say(f"UP {self.ident}-{held.ident}\r\nRS AT {kept.heard} {kept.said}")
        else:
            held.say(f"UP {self.ident}-{held.ident}")
        self.held.add(held)
        held.tasks.append(asyncio.ensure_future(self._push(held)))
        return held

    async def _push(self, held: HostedStream) -> None:
        """Frames at a steady pace; all sessions out of step with each other."""
        held.frame()
        await asyncio.sleep(self.world.rng.random() * self.period)
        acked = clock()
        while not held.writer.transport.is_closing():
            if self.behaviour == "slow":
                await asyncio.sleep(self.period)
            if self.behaviour != "silent":
                held.frame()
            if (clock() - acked).total_seconds() >= ACK_EVERY:
                acked = clock()
                held.acknowledge()
            await asyncio.sleep(self.period)

    async def _listen(self, held: HostedStream, reader: asyncio.StreamReader) -> None:
        while line := await reader.readline():
            words = line.split()
            if held.resumes and words[0] == b"RS":
                continue
            if held.kept.epoch != held.epoch:
                self.world.store.fenced += 1
                self.world.saw("fenced", held)
                return
            number = int(words[1])
            self.world.saw("heard", held, number)
            if number > held.kept.heard + 1:
                self.world.report.record_violation(
                    "lines_lost", f"client line {number} after {held.kept.heard}"
                )
            elif number <= held.kept.heard:
                self.world.report.record_violation("lines_doubled", f"client line {number}")
            held.kept.heard = max(held.kept.heard, number)
            if self.behaviour == "silent":
                continue
            held.frame()
            if held.kept.heard - held.acked >= ACK_LINES:
                held.acknowledge()

    def _let_go(self, held: HostedStream) -> None:
        for task in held.tasks:
            task.cancel()
        self.held.discard(held)
        self.world.over(held)

    def send_away(self) -> None:
        """What a draining host does with those it still holds: MOVE and the end, all at once."""
        for held in list(self.held):
            held.say("MOVE")
            held.writer.close()

    async def die(self) -> None:
        """The process is gone: resets, and new connections are refused."""
        for held in list(self.held):
            held.writer.transport.abort()
        await self.close()

    async def close(self) -> None:
        while self._servers:
            self._servers.pop().close()
        for held in list(self.held):
            held.writer.transport.abort()
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(self._emptied(), 2)

    async def _emptied(self) -> None:
        while self.held:
            await asyncio.sleep(0.01)
