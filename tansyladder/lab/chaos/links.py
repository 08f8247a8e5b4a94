"""Links that can be cut, delayed and reset, and the load balancer that spreads clients over the nodes."""

from __future__ import annotations

import asyncio
import contextlib
from datetime import timedelta
from enum import Enum, auto

from tansyladder.lab.chaos.history import EventKind, History, Party
from tansyladder.lab.connections import LOOPBACK, Connection, connection, open_connection
from tansyladder.lab.report import clock

CHUNK_BYTES = 1 << 16
BACKLOG = 1024
HEALTH_CHECK_INTERVAL = 0.1  # seconds between two health checks of a node
HEALTH_CHECK_TIMEOUT = 1.0  # seconds until a health check without an answer has failed
UNHEALTHY_AFTER = timedelta(seconds=2)  # since the last health check that a node passed


class Direction(Enum):
    """The direction in which bytes pass through a proxy."""

    TO_TARGET = auto()
    FROM_TARGET = auto()


class _Proxy:
    """Forwards each accepted connection to a target. Owned by one event loop; not thread-safe."""

    def __init__(self) -> None:
        self.address = ""
        self.forwarded_bytes = 0  # in both directions
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0, backlog=BACKLOG)
        self.address = f"{LOOPBACK}:{self._server.sockets[0].getsockname()[1]}"

    def reset(self) -> None:
        """Reset all connections that are open now."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def close(self) -> None:
        """Stop listening, and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one connection until both of its directions have ended."""
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        client = Connection(reader, writer)
        self._writers.add(writer)
        try:
            target = await self._connect_target(reader)
            self._writers.add(target.writer)
            try:
                await asyncio.gather(
                    self._forward(client.reader, target.writer, Direction.TO_TARGET),
                    self._forward(target.reader, client.writer, Direction.FROM_TARGET),
                )
            finally:
                self._writers.discard(target.writer)
                target.writer.close()
        except (OSError, IndexError, asyncio.CancelledError):
            writer.transport.abort()  # the target is unreachable, the first line invalid, or the run over
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _connect_target(self, reader: asyncio.StreamReader, /) -> Connection:
        """Connect to the target of a client's connection. Raises OSError, IndexError (invalid line)."""
        raise NotImplementedError

    async def _wait_until_open(self, direction: Direction) -> None:
        """Wait until bytes may pass in a direction; this class does not wait, links do."""

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: Direction
    ) -> None:
        """Forward bytes in one direction until the stream ends, and then forward its end."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self._wait_until_open(direction)
                self.forwarded_bytes += len(data)
                writer.write(data)
                await writer.drain()
            await self._wait_until_open(direction)
            writer.write_eof()
        except OSError:
            writer.transport.abort()


class Link(_Proxy):
    """The link between two parties; a fault of the link affects all of its connections."""

    def __init__(self, target_address: str) -> None:
        super().__init__()
        self.delay = 0.0  # seconds, in each direction; set by `delay_by` and `recover`
        self._target_address = target_address
        self._is_open = {direction: asyncio.Event() for direction in Direction}
        self.recover()

    def delay_by(self, seconds: float) -> None:
        """Delay all bytes in each direction."""
        self.delay = seconds

    def cut(self, *directions: Direction) -> None:
        """Hold back all bytes in the given directions, or in both if none is given; connections stay open."""
        for direction in directions or Direction:
            self._is_open[direction].clear()

    def recover(self) -> None:
        """End all faults; bytes that were held back are forwarded now."""
        self.delay = 0.0
        for is_open in self._is_open.values():
            is_open.set()

    async def _wait_until_open(self, direction: Direction) -> None:
        if self.delay:
            await asyncio.sleep(self.delay)
        await self._is_open[direction].wait()

    async def _connect_target(self, _reader: asyncio.StreamReader, /) -> Connection:
        await self._wait_until_open(Direction.TO_TARGET)
        return await open_connection(self._target_address)


class LoadBalancer(_Proxy):
    """Forwards each client connection to the next healthy node, round robin."""

    def __init__(self, history: History, node_addresses: list[str]) -> None:
        super().__init__()
        self._history = history
        self._node_addresses = node_addresses
        self._healthy_at = [timedelta(0)] * len(node_addresses)  # when each node last passed a health check
        self._forwarded_count = 0
        self._health_check_tasks: list[asyncio.Task[None]] = []

    @property
    def port(self) -> int:
        """The port that clients connect to."""
        return int(self.address.rpartition(":")[2])

    async def start(self) -> None:
        """Start the health checks of all nodes, and listen on a free port."""
        self._health_check_tasks = [
            asyncio.ensure_future(self._check_health(node)) for node in range(len(self._node_addresses))
        ]
        await super().start()

    async def close(self) -> None:
        """Stop the health checks, stop listening, and reset all connections."""
        for task in self._health_check_tasks:
            task.cancel()
        await super().close()

    async def _check_health(self, node: int) -> None:
        """Check a node's health at regular intervals until the task is cancelled."""
        while True:
            with contextlib.suppress(OSError):  # includes TimeoutError
                async with (
                    asyncio.timeout(HEALTH_CHECK_TIMEOUT),
                    connection(self._node_addresses[node]) as established,
                ):
                    established.writer.write(b"PING\r\n")
                    if await established.reader.readline() == b"PONG\r\n":
                        self._healthy_at[node] = clock()
            await asyncio.sleep(HEALTH_CHECK_INTERVAL)

    def _next_node(self) -> int:
        """Return the next healthy node, round robin; if none is healthy, the next of all nodes."""
        now = clock()
        healthy = [node for node, at in enumerate(self._healthy_at) if now - at < UNHEALTHY_AFTER]
        candidates = healthy or list(range(len(self._node_addresses)))
        self._forwarded_count += 1
        return candidates[self._forwarded_count % len(candidates)]

    async def _connect_target(self, reader: asyncio.StreamReader, /) -> Connection:
        """Read the first line, and forward it to a node, which is recorded under the connection's id."""
        line = await reader.readline()
        node = self._next_node()
        connection_id = line.split(b" ")[1].decode()
        self._history.record(Party.LOAD_BALANCER, EventKind.FORWARDED, connection_id=connection_id, node=node)
        target = await open_connection(self._node_addresses[node])
        target.writer.write(line)
        return target
