"""A scene: stand-in hosts, a discovery, a node and clients, set up and taken down in one place."""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from pathlib import Path

from tansyladder.lab.clients import SAY, Client
from tansyladder.lab.discovery_server import DiscoveryServer
from tansyladder.lab.hosts import StreamHost, StreamHostCluster
from tansyladder.lab.node import LabNode
from tansyladder.lab.report import Report

RESUME_SETTINGS = '(resume (enabled true) (expires "30 s") (parked 2000))\n'
CONCURRENT_CONNECTS = 24  # clients that open at the same time, so that a start is no storm


class TopologyError(Exception):
    """What the scene waited for did not come."""


class Topology:
    """All parties of one run."""

    def __init__(self, seed: int, resumes: bool) -> None:
        self.seed, self.resumes, self.line_interval = seed, resumes, SAY
        self.report = Report()
        self.host_cluster = StreamHostCluster(self.report, seed)
        self.discovery = DiscoveryServer()
        self.hosts: list[StreamHost] = []
        self.clients: list[Client] = []
        self.node: LabNode
        self._tasks: list[asyncio.Task[None]] = []

    async def connect_clients(self, count: int) -> None:
        """So many more clients, each with a session that stands."""
        gate = asyncio.Semaphore(CONCURRENT_CONNECTS)
        start = len(self.clients)
        for number in range(start, start + count):
            client = Client(self.report, self.node.port, number, self.seed, self.resumes, self.line_interval)
            self.clients.append(client)

        async def come(client: Client) -> None:
            async with gate:
                self._tasks.append(asyncio.ensure_future(client.run()))
                await asyncio.wait_for(client.up.wait(), 30)

        try:
            await asyncio.gather(*(come(c) for c in self.clients[start:]))
        except TimeoutError as err:
            raise TopologyError(
                f"not all clients got in:\n{self.node.log_tail()}\n{self.report.as_text()}"
            ) from err

    async def wait_until(self, what: Callable[[], bool], seconds: float) -> bool:
        """Wait for something, but not for ever; whether it came."""
        for _ in range(int(seconds / 0.02)):
            if what():
                return True
            await asyncio.sleep(0.02)
        return what()

    async def quiesce(self) -> None:
        """All fall silent; what no host has heard by then is lost."""
        for client in self.clients:
            client.quiet = True
        if not await self.wait_until(lambda: not any(c.unheard() for c in self.clients), 3):
            for client in self.clients:
                if client.unheard():
                    self.report.record_violation(
                        "lines_lost", f"client {client.number}: {client.unheard()} unheard"
                    )

    async def close(self) -> None:
        for client in self.clients:
            await client.leave()
        await self.wait_until(lambda: not any(h.held for h in self.hosts), 3)
        for host in self.hosts:
            if host.held:
                self.report.record_violation("orphans", f"{host.ident}: {len(host.held)}")
        for task in self._tasks:
            task.cancel()


@contextlib.asynccontextmanager
async def running_topology(
    seed: int,
    behaviours: Sequence[str],
    resumes: bool,
    listed: int | None = None,
    make: Callable[[StreamHostCluster, str, str], StreamHost] | None = None,
    settings: str | None = None,
) -> AsyncIterator[Topology]:
    """Stand-in hosts of these behaviours and a node that knows the first `listed` of them, or all."""
    topology = Topology(seed, resumes)
    build = make or (lambda world, ident, behaviour: StreamHost(world, ident, behaviour))
    with tempfile.TemporaryDirectory(prefix="tansyladder-lab-") as folder:
        topology.hosts = [build(topology.host_cluster, f"s{i}", b) for i, b in enumerate(behaviours)]
        for host in topology.hosts:
            await host.start()
        await topology.discovery.start()
        await topology.discovery.tell("up", *topology.hosts[:listed])
        chosen = (RESUME_SETTINGS if resumes else "") if settings is None else settings
        topology.node = LabNode(Path(folder), topology.discovery.address, topology.discovery.listed(), chosen)
        endings: list[Callable[[], Awaitable[object]]] = [topology.node.stop, topology.discovery.close]
        endings += [host.close for host in topology.hosts]
        try:
            await topology.node.start()
            yield topology
        finally:
            await topology.close()
            for ending in endings:
                await ending()
