"""Sets up and closes one node with stand-in hosts, a discovery service and clients."""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from dataclasses import KW_ONLY, dataclass
from pathlib import Path

from tansyladder.lab.clients import LINE_INTERVAL, Client, ClientSettings
from tansyladder.lab.discovery_server import DiscoveryServer, Phase
from tansyladder.lab.errors import LabTimeoutError
from tansyladder.lab.host_cluster import StreamHostCluster
from tansyladder.lab.hosts import FRAME_INTERVAL, StreamHost
from tansyladder.lab.node import LabNode
from tansyladder.lab.report import Invariant, Report
from tansyladder.lab.waiting import wait_until

RESUME_SETTINGS = '(resume (enabled true) (expires "30 s") (max_suspended 2000))\n'
CONCURRENT_CONNECTS = 24  # clients that connect at the same time; limits the burst at the start
CONNECT_TIMEOUT = 30.0  # seconds within which a client must have a session
QUIESCE_TIMEOUT = 3.0  # seconds within which sent lines must arrive and connections must end


@dataclass(frozen=True, slots=True)
class TopologySettings:
    """The settings of a run."""

    seed: int
    host_count: int
    _: KW_ONLY
    resumes: bool  # whether the node and its clients resume sessions
    listed_count: int | None = None  # how many hosts the node knows at its start; None for all
    frame_interval: float = FRAME_INTERVAL  # seconds between two frames of a session
    line_interval: float = LINE_INTERVAL  # seconds between two lines of a client
    operator_settings: str | None = None  # of the node; None for those that `resumes` requires


async def connect_all(
    clients: Sequence[Client], tasks: list[asyncio.Task[None]], client_timeout: float | None = None
) -> None:
    """Start clients, at most CONCURRENT_CONNECTS at a time, and wait until each of them is served.

    Their tasks are appended to `tasks`. Raises TimeoutError if a client is not served in `client_timeout`
    seconds.
    """
    semaphore = asyncio.Semaphore(CONCURRENT_CONNECTS)

    async def connect(client: Client) -> None:
        async with semaphore:
            tasks.append(asyncio.ensure_future(client.run()))
            await asyncio.wait_for(client.wait_until_served(), client_timeout)

    await asyncio.gather(*(connect(client) for client in clients))


class Topology:
    """The node and the stand-ins of one run. Owned by one event loop; not thread-safe."""

    node: LabNode

    def __init__(self, settings: TopologySettings) -> None:
        self.settings = settings
        self.report = Report()
        self.host_cluster = StreamHostCluster(self.report, settings.seed)
        self.discovery = DiscoveryServer()
        self.hosts = [
            StreamHost(self.host_cluster, f"s{index}", frame_interval=settings.frame_interval)
            for index in range(settings.host_count)
        ]
        self.clients: list[Client] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self, folder: Path) -> None:
        """Start the hosts and discovery, and write the node's configuration to a folder."""
        settings = self.settings
        for host in self.hosts:
            await host.start()
        await self.discovery.start()
        await self.discovery.set_phase(Phase.UP, *self.hosts[: settings.listed_count])
        operator_settings = settings.operator_settings
        if operator_settings is None:
            operator_settings = RESUME_SETTINGS if settings.resumes else ""
        self.node = LabNode(folder, self.discovery.address, self.discovery.listed(), operator_settings)

    async def connect_clients(self, count: int) -> None:
        """Add clients, and wait until each has a session that is served. Raises LabTimeoutError."""
        client_settings = ClientSettings(
            self.settings.seed, resumes=self.settings.resumes, line_interval=self.settings.line_interval
        )
        first_number = len(self.clients)
        new_clients = [
            Client(self.report, self.node.port, number, client_settings)
            for number in range(first_number, first_number + count)
        ]
        self.clients += new_clients
        try:
            await connect_all(new_clients, self._tasks, CONNECT_TIMEOUT)
        except TimeoutError as err:
            state = f"{self.node.log_tail()}\n{self.report.as_text()}"
            raise LabTimeoutError(
                f"not all of {count} new clients are served within {CONNECT_TIMEOUT:g} s", state
            ) from err

    async def quiesce(self) -> None:
        """Stop all clients from sending; count lines that are unconfirmed after QUIESCE_TIMEOUT as lost."""
        for client in self.clients:
            client.stop_sending()
        if await wait_until(
            lambda: not any(client.unconfirmed_line_count for client in self.clients), QUIESCE_TIMEOUT
        ):
            return
        for client in self.clients:
            if count := client.unconfirmed_line_count:
                self.report.record_violation(
                    Invariant.NO_LINE_LOST, f"client {client.number}: {count} lines unconfirmed"
                )

    async def close(self) -> None:
        """End all clients, and check that the hosts have no connections afterwards."""
        for client in self.clients:
            await client.leave()
        await wait_until(lambda: not any(host.streams for host in self.hosts), QUIESCE_TIMEOUT)
        for host in self.hosts:
            if host.streams:
                self.report.record_violation(
                    Invariant.NO_ORPHANED_CONNECTION, f"{host.host_id}: {len(host.streams)} connections left"
                )
        for task in self._tasks:
            task.cancel()


@contextlib.asynccontextmanager
async def running_topology(settings: TopologySettings) -> AsyncIterator[Topology]:
    """Start a node with stand-ins, and close everything at the end of the block."""
    topology = Topology(settings)
    with tempfile.TemporaryDirectory(prefix="tansyladder-lab-") as folder:
        await topology.start(Path(folder))
        closers: list[Callable[[], Awaitable[object]]] = [topology.node.stop, topology.discovery.close]
        closers += [host.close for host in topology.hosts]
        try:
            await topology.node.start()
            yield topology
        finally:
            await topology.close()
            for close in closers:
                await close()
