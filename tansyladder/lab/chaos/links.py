"""Links that fail on command, and the front that spreads clients over the nodes."""

from __future__ import annotations

import asyncio
import contextlib
from datetime import timedelta

from tansyladder.lab.chaos.history import History
from tansyladder.lab.report import clock

CHUNK = 1 << 16
ASK = 0.1  # seconds between two PINGs of the front to a node
PATIENCE = 1.0  # seconds in which it expects the answer
DEAF = timedelta(seconds=2)  # a node that did not answer gets clients for so long still


class _Relay:
    """Connections that are passed on, and their end."""

    def __init__(self) -> None:
        self._writers: set[asyncio.StreamWriter] = set()
        self._serving: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self.address = ""
        self.passed = 0  # bytes, both ways

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=1024)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def reset(self) -> None:
        """Break all connections that are open now."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in self._serving:
            task.cancel()
        await asyncio.gather(*self._serving, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection, until both of its ways have ended."""
        task = asyncio.current_task()
        assert task is not None
        self._serving.add(task)
        self._writers.add(writer)
        ours = [writer]
        try:
            there, out = await self._reach(reader)
            ours.append(out)
            self._writers.add(out)
            await asyncio.gather(self._pump(reader, out, True), self._pump(there, writer, False))
        except (OSError, IndexError, asyncio.CancelledError):
            writer.transport.abort()  # nobody is there, no first line came, or the run is over
        finally:
            self._serving.discard(task)
            for each in ours:
                self._writers.discard(each)
                each.close()

    async def _reach(self, reader: asyncio.StreamReader) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """The other end. OSError: it can't be reached."""
        raise NotImplementedError

    async def _open(self, up: bool) -> None:
        """Until bytes may pass this way."""

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, up: bool) -> None:
        try:
            while data := await reader.read(CHUNK):
                await self._open(up)
                self.passed += len(data)
                writer.write(data)
                await writer.drain()
            await self._open(up)
            writer.write_eof()
        except OSError:
            writer.transport.abort()


class Link(_Relay):
    """One way between two parties; all of its connections share its faults."""

    def __init__(self, target: str) -> None:
        super().__init__()
        self._target = target
        self.delay = 0.0  # seconds, each way
        self._up, self._down = asyncio.Event(), asyncio.Event()  # which ways are open
        self.mend()

    def cut(self, up: bool = True, down: bool = True) -> None:
        """Hold back all bytes towards the target (up) or from it (down), and keep all connections open."""
        if up:
            self._up.clear()
        if down:
            self._down.clear()

    def mend(self) -> None:
        """No faults; what was held back arrives now."""
        self.delay = 0.0
        self._up.set()
        self._down.set()

    async def _open(self, up: bool) -> None:
        if self.delay:
            await asyncio.sleep(self.delay)
        await (self._up if up else self._down).wait()

    async def _reach(self, reader: asyncio.StreamReader) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        await self._open(True)
        return await _connect(self._target)


class Front(_Relay):
    """Takes clients' connections and gives each to a node that answers PING, or did until a moment ago."""

    def __init__(self, history: History, nodes: list[str]) -> None:
        super().__init__()
        self._history, self._nodes = history, nodes
        self._last = [timedelta(0)] * len(nodes)  # when each was last heard
        self._turn = 0
        self._watches: list[asyncio.Task[None]] = []

    @property
    def port(self) -> int:
        """Where clients come."""
        return int(self.address.rpartition(":")[2])

    async def start(self) -> None:
        self._watches = [asyncio.ensure_future(self._watch(node)) for node in range(len(self._nodes))]
        await super().start()

    async def close(self) -> None:
        for task in self._watches:
            task.cancel()
        await super().close()

    async def _watch(self, node: int) -> None:
        while True:
            with contextlib.suppress(OSError):  # a time-out too
                async with asyncio.timeout(PATIENCE):
                    reader, writer = await _connect(self._nodes[node])
                    try:
                        writer.write(b"PING\r\n")
                        if await reader.readline() == b"PONG\r\n":
                            self._last[node] = clock()
                    finally:
                        writer.close()
            await asyncio.sleep(ASK)

    def _choose(self) -> int:
        alive = [n for n, last in enumerate(self._last) if clock() - last < DEAF]
        alive = alive or list(range(len(self._nodes)))
        self._turn += 1
        return alive[self._turn % len(alive)]

    async def _reach(self, reader: asyncio.StreamReader) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        line = await reader.readline()
        node = self._choose()
        self._history.record("front", "sent_to", ident=line.split(b" ")[1].decode(), node=node)
        there, out = await _connect(self._nodes[node])
        out.write(line)
        return there, out


async def _connect(target: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = target.partition(":")
    return await asyncio.open_connection(host, int(port))
