"""Stand-in stream hosts that execute requests, and answer, refuse or break them at random."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from enum import Enum

from tansyladder.lab.connections import LOOPBACK
from tansyladder.lab.effect_history import EffectEvent, LineReceived, LineRefused
from tansyladder.lab.report import clock
from tansyladder.lab.waiting import DelayRange
from tansyladder.net.sockets import time_since_last_data

READ_LIMIT_BYTES = 8192
FULL_QUEUE_CONNECTIONS = (
    2  # one for the accept that waits, one for the queue of a listener with a backlog of 0
)
ACCEPT_TIME = 0.02  # seconds in which an accept that waits takes a connection


class Reaction(Enum):
    """What a host does with a first line."""

    ANSWER = "answer"
    ANSWER_LATE = "answer late"
    REFUSE = "refuse"
    FAIL = "fail"
    RESET = "reset"
    IGNORE = "ignore"


REACTION_WEIGHTS = {
    Reaction.ANSWER: 6,
    Reaction.ANSWER_LATE: 8,
    Reaction.REFUSE: 1,
    Reaction.FAIL: 1,
    Reaction.RESET: 3,
    Reaction.IGNORE: 1,
}
DELAYS = {
    Reaction.ANSWER: DelayRange(0.0, 0.2),
    Reaction.ANSWER_LATE: DelayRange(2.0, 5.0),
    Reaction.REFUSE: DelayRange(0.0, 0.1),
    Reaction.FAIL: DelayRange(0.0, 0.3),
    Reaction.RESET: DelayRange(0.0, 0.3),
    Reaction.IGNORE: DelayRange(5.0, 8.0),
}
ANSWERS = {
    Reaction.ANSWER: b"UP r\r\n",
    Reaction.ANSWER_LATE: b"UP r\r\n",
    Reaction.REFUSE: b"BUSY\r\n",
    Reaction.FAIL: b"ERR\r\n",
}


class EffectHost:
    """A stand-in host that records what it executes. Owned by one event loop; not thread-safe."""

    def __init__(self, host_id: str, rng: random.Random, history: list[EffectEvent]) -> None:
        """Listen on a free port; `history` gets the host's events."""
        self.host_id = host_id
        self._rng = rng
        self._history = history
        self._may_accept = asyncio.Event()
        self._may_accept.set()
        self._listener = socket.create_server((LOOPBACK, 0), backlog=0)
        self._listener.setblocking(False)  # noqa: FBT003 - the interface of sockets
        self.address = f"{LOOPBACK}:{self._listener.getsockname()[1]}"
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Accept connections until the host is closed."""
        self._add_task(asyncio.ensure_future(self._accept()))

    async def close(self) -> None:
        """Close the listener and all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._listener.close()

    def record_drain_announcement(self) -> None:
        """Do nothing: these hosts never drain."""

    async def delay_connections(self, duration: float) -> None:
        """Let no new connection come up for a while; connections that are tried meanwhile come up 1 s late.

        The system drops what opens a connection to a full queue, and the other side repeats it after 1 s.
        """
        self._may_accept.clear()
        with contextlib.ExitStack() as own_connections:
            for _ in range(FULL_QUEUE_CONNECTIONS):
                sock = own_connections.enter_context(socket.socket())
                sock.setblocking(False)  # noqa: FBT003 - the interface of sockets
                sock.connect_ex(self._listener.getsockname())
                await asyncio.sleep(ACCEPT_TIME)
            await asyncio.sleep(duration)
            self._may_accept.set()

    def _add_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self._may_accept.wait()
            sock, _ = await loop.sock_accept(self._listener)
            self._add_task(asyncio.ensure_future(self._serve(sock)))

    async def _serve(self, sock: socket.socket) -> None:
        """Execute the request of one connection unless it is refused, and react to it."""
        with contextlib.suppress(OSError, ValueError, IndexError):
            reader, writer = await asyncio.open_connection(sock=sock, limit=READ_LIMIT_BYTES)
            try:
                await self._react(sock, reader, writer)
            finally:
                writer.close()

    async def _react(
        self, sock: socket.socket, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        line = await reader.readline()
        if not line.endswith(b"\r\n"):
            return  # the connection was given up before the line was sent
        connection_id = line.split()[1].decode()
        arrived_at = clock() - time_since_last_data(sock)
        reaction = self._rng.choices([*REACTION_WEIGHTS], [*REACTION_WEIGHTS.values()])[0]
        self._history.append(LineReceived(arrived_at, connection_id, self.host_id))
        if reaction is Reaction.REFUSE:
            self._history.append(LineRefused(clock(), connection_id, self.host_id))
        await asyncio.sleep(self._rng.uniform(*DELAYS[reaction]))
        if reaction is Reaction.RESET:
            writer.transport.abort()
            return
        writer.write(ANSWERS.get(reaction, b""))
        await reader.read(1)  # until the node closes the connection
