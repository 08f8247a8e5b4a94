"""Injects faults into a cluster, and ends them after their duration."""

from __future__ import annotations

import asyncio
import contextlib
import re
import shutil
from collections.abc import Awaitable, Callable, Sequence
from datetime import timedelta

from tansyladder.lab.chaos.cluster import ChaosCluster
from tansyladder.lab.chaos.history import EventKind
from tansyladder.lab.chaos.links import Direction, Link
from tansyladder.lab.chaos.node import ChaosNode
from tansyladder.lab.chaos.schedule import Fault, FaultKind
from tansyladder.lab.report import clock

FLAP_INTERVAL = 0.1  # seconds between two changes of a flapping link
TOKEN_POLL_INTERVAL = 0.001  # seconds between two checks for a forwarded token
LEADER_LOG_LINE = re.compile(rb"event=raft_state role=\w+ term=(\d+) leader=(\w+)")
NEEDS_RUNNING_NODE = frozenset(  # kinds that are skipped if another fault has killed their node
    {
        FaultKind.PAUSE,
        FaultKind.RESTART,
        FaultKind.UPGRADE,
        FaultKind.UPGRADE_KILL,
        FaultKind.FILL_DISK,
        FaultKind.ROLL_BACK_DISK,
    }
)
CUT_DIRECTIONS = {
    FaultKind.CUT_HOSTS: tuple(Direction),
    FaultKind.CUT_TO_HOSTS: (Direction.TO_TARGET,),
    FaultKind.CUT_FROM_HOSTS: (Direction.FROM_TARGET,),
}


class FaultInjector:
    """Injects faults into one cluster. Owned by one event loop; not thread-safe."""

    def __init__(self, cluster: ChaosCluster) -> None:
        self._cluster = cluster
        self._handlers: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = {
            FaultKind.KILL: self._kill,
            FaultKind.KILL_ALL: self._kill_all,
            FaultKind.KILL_LEADER: self._kill_leader,
            FaultKind.KILL_TOKEN_RECIPIENT: self._kill_token_recipient,
            FaultKind.KILL_WITH_HOST: self._kill_with_host,
            FaultKind.PAUSE: self._pause,
            FaultKind.RESTART: self._restart,
            FaultKind.UPGRADE: self._upgrade,
            FaultKind.UPGRADE_KILL: self._upgrade,
            FaultKind.SKEW_CLOCK: self._skew_clock,
            FaultKind.LOSE_DISK: self._lose_disk,
            FaultKind.ROLL_BACK_DISK: self._roll_back_disk,
            FaultKind.FILL_DISK: self._fill_disk,
            FaultKind.CUT_HOSTS: self._cut_hosts,
            FaultKind.CUT_TO_HOSTS: self._cut_hosts,
            FaultKind.CUT_FROM_HOSTS: self._cut_hosts,
            FaultKind.CUT_CLIENTS: self._cut_clients,
            FaultKind.CUT_PEERS: self._cut_peers,
            FaultKind.RESET_CLIENTS: self._reset_clients,
            FaultKind.DELAY_HOSTS: self._delay_hosts,
            FaultKind.DELAY_PEERS: self._delay_peers,
            FaultKind.FLAP_PEERS: self._flap_peers,
        }

    async def inject(self, fault: Fault) -> None:
        """Inject a fault, and return once it has ended."""
        if fault.kind in NEEDS_RUNNING_NODE and self._node(fault).is_down:
            return
        await self._handlers[fault.kind](fault)

    def _node(self, fault: Fault) -> ChaosNode:
        return self._cluster.nodes[fault.node]

    # --- processes

    async def _kill(self, fault: Fault) -> None:
        await _kill_for(fault.duration_s, [self._node(fault)])

    async def _kill_all(self, fault: Fault) -> None:
        await _kill_for(fault.duration_s, self._cluster.nodes)

    async def _kill_leader(self, fault: Fault) -> None:
        await _kill_for(fault.duration_s, [find_leader(self._cluster)])

    async def _kill_token_recipient(self, fault: Fault) -> None:
        recipient = await _next_token_recipient(self._cluster, fault.duration_s)
        await _kill_for(fault.duration_s, [recipient] if recipient is not None else [])

    async def _kill_with_host(self, fault: Fault) -> None:
        host = fault.node % self._cluster.settings.host_count
        self._cluster.hosts.kill_host(host)
        await _kill_for(fault.duration_s, [self._node(fault)])
        self._cluster.hosts.restart_host(host)

    async def _pause(self, fault: Fault) -> None:
        node = self._node(fault)
        node.pause()
        await asyncio.sleep(fault.duration_s)
        node.resume()

    async def _restart(self, fault: Fault) -> None:
        node = self._node(fault)
        await node.shut_down()
        await node.restart()

    async def _upgrade(self, fault: Fault) -> None:
        old_process = await self._node(fault).upgrade()
        if fault.kind is FaultKind.UPGRADE_KILL:
            await asyncio.sleep(fault.duration_s)
            with contextlib.suppress(ProcessLookupError):  # the old process has ended already
                old_process.kill()
        await old_process.wait()

    async def _skew_clock(self, fault: Fault) -> None:
        node = self._node(fault)
        await node.kill()
        await node.restart(clock_offset=fault.value)
        await asyncio.sleep(fault.duration_s)
        await node.kill()
        await node.restart()

    # --- disks

    async def _lose_disk(self, fault: Fault) -> None:
        node = self._node(fault)
        await node.kill()
        shutil.rmtree(node.process.folder / "store")
        await asyncio.sleep(fault.duration_s)
        await node.restart()

    async def _roll_back_disk(self, fault: Fault) -> None:
        node = self._node(fault)
        store = node.process.folder / "store"
        backup = store.with_name("copy")
        shutil.copytree(store, backup)
        await asyncio.sleep(fault.duration_s / 2)
        await node.kill()
        shutil.rmtree(store)
        backup.rename(store)
        await asyncio.sleep(fault.duration_s / 2)
        await node.restart()

    async def _fill_disk(self, fault: Fault) -> None:
        node = self._node(fault)
        node.record(EventKind.DISK_FULL)
        node.process.limit_file_size()
        await asyncio.sleep(fault.duration_s)
        await node.kill()
        await node.restart()

    # --- links

    async def _cut_hosts(self, fault: Fault) -> None:
        await self._cut_links(
            fault, self._cluster.host_links[fault.node], EventKind.LINK_CUT, *CUT_DIRECTIONS[fault.kind]
        )

    async def _cut_clients(self, fault: Fault) -> None:
        await self._cut_links(fault, [self._cluster.client_links[fault.node]], EventKind.LINK_CUT)

    async def _cut_peers(self, fault: Fault) -> None:
        await self._cut_links(fault, self._cluster.peers.links_of(fault.node), EventKind.PEER_LINKS_CUT)

    async def _cut_links(
        self, fault: Fault, links: Sequence[Link], kind: EventKind, *directions: Direction
    ) -> None:
        """Cut links in the given directions, or in both if none is given, for the duration of a fault."""
        self._node(fault).record(kind)
        for link in links:
            link.cut(*directions)
        await asyncio.sleep(fault.duration_s)
        self._recover(fault, links)

    async def _reset_clients(self, fault: Fault) -> None:
        self._node(fault).record(EventKind.CONNECTIONS_RESET)
        self._cluster.client_links[fault.node].reset()
        await asyncio.sleep(fault.duration_s)
        self._recover(fault, [])

    async def _delay_hosts(self, fault: Fault) -> None:
        await self._delay_links(fault, self._cluster.host_links[fault.node])

    async def _delay_peers(self, fault: Fault) -> None:
        await self._delay_links(fault, self._cluster.peers.links_of(fault.node))

    async def _delay_links(self, fault: Fault, links: Sequence[Link]) -> None:
        """Delay the bytes on links for the duration of a fault."""
        self._node(fault).record(EventKind.LINK_DELAYED)
        for link in links:
            link.delay_by(fault.value)
        await asyncio.sleep(fault.duration_s)
        self._recover(fault, links)

    async def _flap_peers(self, fault: Fault) -> None:
        links = self._cluster.peers.links_of(fault.node)
        self._node(fault).record(EventKind.PEER_LINKS_FLAPPING)
        for link in links:
            link.cut()
        deadline = clock() + timedelta(seconds=fault.duration_s)
        while clock() < deadline:
            for link in links:
                link.recover()
            await asyncio.sleep(FLAP_INTERVAL)
            for link in links:
                link.reset()
                link.cut()
            await asyncio.sleep(FLAP_INTERVAL)
        self._recover(fault, links)

    def _recover(self, fault: Fault, links: Sequence[Link]) -> None:
        """End all faults of links, and record that the node has recovered."""
        for link in links:
            link.recover()
        self._node(fault).record(EventKind.RECOVERED)


async def _kill_for(seconds: float, nodes: Sequence[ChaosNode]) -> None:
    """Kill nodes at the same time, and restart them after a number of seconds."""
    await asyncio.gather(*(node.kill() for node in nodes))
    await asyncio.sleep(seconds)
    await asyncio.gather(*(node.restart() for node in nodes))


def find_leader(cluster: ChaosCluster) -> ChaosNode:
    """Return the running node that is the leader of the newest term by its own log; else any running node."""

    def leader_term(node: ChaosNode) -> int:
        states = LEADER_LOG_LINE.findall(node.process.log.read_bytes())
        if not states:
            return -1
        term, leader = states[-1]
        return int(term) if leader == f"n{node.number}".encode() else -1

    return max((node for node in cluster.nodes if not node.is_down), key=leader_term)


async def _next_token_recipient(cluster: ChaosCluster, timeout: float) -> ChaosNode | None:
    """Wait until a token is forwarded to a running node, and return that node; None after the timeout."""
    deadline = clock() + timedelta(seconds=timeout)
    events = cluster.history.events
    first_unseen = len(events)
    with_token: set[str] = set()  # connection ids
    while clock() < deadline:
        for event in events[first_unseen:]:
            if event.kind == EventKind.OPEN_SENT and event.token:
                with_token.add(event.connection_id)
            elif event.kind == EventKind.FORWARDED and event.connection_id in with_token:
                node = cluster.nodes[event.node]
                if not node.is_down:
                    return node
        first_unseen = len(events)
        await asyncio.sleep(TOKEN_POLL_INTERVAL)
    return None
