"""A cluster under test: nodes and hosts as real processes, clients, and the links between them."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import secrets
import tempfile
from collections.abc import AsyncIterator
from dataclasses import KW_ONLY, dataclass
from datetime import timedelta
from pathlib import Path

from tansyladder.lab.chaos.history import Event, EventKind, History, Party, merge
from tansyladder.lab.chaos.host_process import HostProcess
from tansyladder.lab.chaos.links import Link, LoadBalancer
from tansyladder.lab.chaos.node import ChaosNode
from tansyladder.lab.chaos.peer_network import PeerNetwork
from tansyladder.lab.chaos.recording_client import RecordingClient
from tansyladder.lab.clients import Client
from tansyladder.lab.connections import LOOPBACK
from tansyladder.lab.discovery_server import DiscoveryServer, Phase
from tansyladder.lab.errors import LabTimeoutError
from tansyladder.lab.node import POLICY_SETTINGS, LabNode
from tansyladder.lab.report import Report, clock
from tansyladder.lab.topology import connect_all
from tansyladder.lab.waiting import wait_until

START_TIMEOUT = 30.0  # seconds in which all clients must be served, and all nodes must know a leader
QUIESCE_TIMEOUT = 3.0  # seconds to wait for the last lines to be confirmed
ORPHAN_TIMEOUT = 3.0  # seconds to wait until hosts have closed connections without a client
LEADER_POLL_INTERVAL = 0.05  # seconds between two reads of the nodes' logs
HOST_POLL_INTERVAL = 0.1  # seconds between two requests for the hosts' connection counts
KEY_BYTES = 32
# Operator settings of every node; LabNode replaces FOLDER by the node's folder.
SETTINGS = """(resume (enabled true) (expires "30 s") (max_suspended 2000) (keys (1 "{key}")))
(store (enabled true) (directory "FOLDER/store"))
"""


@dataclass(frozen=True, slots=True)
class ClusterSettings:
    """The size of a cluster, and what all of its nodes have in common."""

    node_count: int
    host_count: int
    seed: int
    _: KW_ONLY
    has_peers: bool = True  # whether the nodes are peers of each other; else each is on its own
    operator_settings: str = ""  # added to SETTINGS for every node


@dataclass
class ClusterEndpoint:
    """A host as one node's discovery service lists it: under the address of the link from that node to it."""

    host_id: str
    address: str

    def record_drain_announcement(self) -> None:
        """Do nothing: the hosts run in another process, and chaos runs do not drain them."""


class ChaosCluster:
    """The nodes, hosts, clients and links of one run. Owned by one event loop; not thread-safe."""

    def __init__(
        self,
        folder: Path,
        settings: ClusterSettings,
        *,
        hosts: HostProcess | None = None,
        peers: PeerNetwork | None = None,
    ) -> None:
        """Create a cluster without starting it; `hosts` and `peers` are created where they are not given."""
        self.folder = folder
        self.settings = settings
        self.report = Report()
        self.history = History()
        self.full_history: list[Event] = []  # the merged history of all processes; empty until `close`
        self.hosts = hosts or HostProcess(
            settings.host_count, settings.node_count, settings.seed, folder / "hosts.jsonl"
        )
        self.peers = peers or PeerNetwork(settings.node_count)
        self.nodes: list[ChaosNode] = []
        self.clients: list[Client] = []
        self.host_links: list[list[Link]] = []  # by node, and then by host
        self.client_links: list[Link] = []  # by node
        self.load_balancer = LoadBalancer(self.history, [])
        self._discovery_servers: list[DiscoveryServer] = []
        self._client_tasks: list[asyncio.Task[None]] = []

    # --- start and shutdown

    async def start(self) -> None:
        """Start hosts, nodes and links, and wait until all nodes listen and, if peers, know a leader."""
        await self.hosts.start()
        settings = self.settings
        common_settings = SETTINGS.format(key=secrets.token_hex(KEY_BYTES)) + settings.operator_settings
        peer_settings = await self.peers.start() if settings.has_peers else [""] * settings.node_count
        for number in range(settings.node_count):
            await self._add_node(number, common_settings + peer_settings[number])
        await asyncio.gather(*(node.process.start() for node in self.nodes))
        if settings.has_peers:
            await self._wait_for_leader()
        self.load_balancer = LoadBalancer(self.history, [link.address for link in self.client_links])
        await self.load_balancer.start()

    async def _add_node(self, number: int, operator_settings: str) -> None:
        """Create a node, and start its discovery service and its links to hosts and clients."""
        host_links = [Link(addresses[number]) for addresses in self.hosts.addresses]
        for link in host_links:
            await link.start()
        self.host_links.append(host_links)
        discovery = DiscoveryServer()
        await discovery.start()
        endpoints = [ClusterEndpoint(f"s{host}", link.address) for host, link in enumerate(host_links)]
        await discovery.set_phase(Phase.UP, *endpoints)
        self._discovery_servers.append(discovery)
        name = f"n{number}"
        folder = self.folder / name
        folder.mkdir()
        process = LabNode(
            folder,
            discovery.address,
            discovery.listed(),
            operator_settings,
            name,
            POLICY_SETTINGS | {"balancers": self.settings.node_count},
        )
        self.nodes.append(ChaosNode(number, process, self.history))
        client_link = Link(f"{LOOPBACK}:{process.port}")
        await client_link.start()
        self.client_links.append(client_link)

    async def _wait_for_leader(self) -> None:
        """Wait until the log of each node names a leader other than `none`. Raises LabTimeoutError."""

        def knows_leader(node: ChaosNode) -> bool:
            return b" leader=n" in node.process.log.read_bytes().replace(b"=none", b"")

        if not await wait_until(
            lambda: all(knows_leader(node) for node in self.nodes), START_TIMEOUT, LEADER_POLL_INTERVAL
        ):
            raise LabTimeoutError(f"not every node's log names a leader after {START_TIMEOUT:g} s")

    async def close(self) -> None:
        """Shut everything down, each process by its own id, and merge all histories into `full_history`."""
        for node in self.nodes:
            node.continue_if_paused()
        await self._close_clients()
        await self.load_balancer.close()
        await asyncio.gather(*(node.close() for node in self.nodes))
        for link in (*self.client_links, *itertools.chain.from_iterable(self.host_links)):
            await link.close()
        await self.peers.close()
        for discovery in self._discovery_servers:
            await discovery.close()
        await self.hosts.close()
        self.full_history = merge(self.history.events, self.hosts.load_history())

    async def _close_clients(self) -> None:
        """Close all clients, and wait until their tasks have ended."""
        for client in self.clients:
            await client.leave()
        for task in self._client_tasks:
            task.cancel()
        await asyncio.gather(*self._client_tasks, return_exceptions=True)

    # --- clients

    async def connect_clients(self, count: int) -> None:
        """Add clients, and wait until all of them have a served session. Raises LabTimeoutError."""
        first_number = len(self.clients)
        new_clients: list[Client] = [
            RecordingClient(self.history, self.report, self.load_balancer.port, number, self.settings.seed)
            for number in range(first_number, first_number + count)
        ]
        self.clients += new_clients
        try:
            await asyncio.wait_for(connect_all(new_clients, self._client_tasks), START_TIMEOUT)
        except TimeoutError as err:
            raise LabTimeoutError(
                f"{self._served_count()} of {len(self.clients)} clients are served after {START_TIMEOUT:g} s"
            ) from err

    async def wait_until_all_connected(self, timeout: float) -> bool:
        """Wait until all clients are served, for at most `timeout` seconds; return whether they are."""
        return await wait_until(lambda: self._served_count() == len(self.clients), timeout)

    async def quiesce(self) -> None:
        """Stop all clients from sending, wait until their lines are confirmed, and record what is connected.

        This is an event for each served client, and the connection count of each host.
        """
        for client in self.clients:
            client.stop_sending()
        await wait_until(
            lambda: not any(client.unconfirmed_line_count for client in self.clients), QUIESCE_TIMEOUT
        )
        connection_counts = await self._wait_until_orphans_are_closed()
        for client in self.clients:
            if client.is_served:
                self.history.record(
                    Party.CONTROLLER,
                    EventKind.CLIENT_CONNECTED,
                    client=client.number,
                    session_count=client.session_count,
                )
        for host, count in enumerate(connection_counts):
            self.history.record(
                Party.CONTROLLER, EventKind.HOST_CONNECTION_COUNT, host=f"s{host}", number=count
            )

    async def _wait_until_orphans_are_closed(self) -> list[int]:
        """Wait until hosts have at most one connection per served client; return the count of each host.

        Gives up after ORPHAN_TIMEOUT.
        """
        deadline = clock() + timedelta(seconds=ORPHAN_TIMEOUT)
        while True:
            counts = await self.hosts.connection_counts()
            if sum(counts) <= self._served_count() or clock() >= deadline:
                return counts
            await asyncio.sleep(HOST_POLL_INTERVAL)

    def _served_count(self) -> int:
        return sum(client.is_served for client in self.clients)

    def clients_on(self, node: int) -> set[int]:
        """Return the numbers of the clients whose newest connection was forwarded to a node."""
        events = self.history.events
        nodes = {event.connection_id: event.node for event in events if event.kind == EventKind.FORWARDED}
        newest = {event.client: event.connection_id for event in events if event.kind == EventKind.OPEN_SENT}
        return {client for client, connection_id in newest.items() if nodes.get(connection_id) == node}


@contextlib.asynccontextmanager
async def running_cluster(
    node_count: int, host_count: int, seed: int, *, has_peers: bool = True, operator_settings: str = ""
) -> AsyncIterator[ChaosCluster]:
    """Start a cluster, and close it at the end of the block; its `full_history` is complete then."""
    settings = ClusterSettings(
        node_count, host_count, seed, has_peers=has_peers, operator_settings=operator_settings
    )
    with tempfile.TemporaryDirectory(prefix="tansyladder-chaos-") as folder:
        cluster = ChaosCluster(Path(folder), settings)
        try:
            await cluster.start()
            yield cluster
        finally:
            await cluster.close()
