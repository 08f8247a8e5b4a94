"""A fleet: real nodes, hosts in a process of their own, a link for every way, a front and clients."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import re
import secrets
import shutil
import signal
import sys
import tempfile
from collections.abc import AsyncIterator
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

from tansyladder.lab.chaos.history import Event, History, load, merged
from tansyladder.lab.chaos.links import Front, Link
from tansyladder.lab.chaos.schedule import Fault, FaultKind
from tansyladder.lab.clients import Client
from tansyladder.lab.discovery_server import DiscoveryServer
from tansyladder.lab.node import LabNode, spare_port
from tansyladder.lab.report import Report, clock
from tansyladder.lab.topology import CONCURRENT_CONNECTS, TopologyError

SILENCE = 2.0  # seconds without a line after which a client takes its connection for dead
START = 30.0  # seconds in which all clients must stand
ORPHANED = 3.0  # seconds after which a host has no connection that is for nobody, all being sound
END = 5.0  # seconds in which the hosts' process must end
FLAP = 0.1  # seconds
OF_A_LIVE_ONE = (
    FaultKind.STOP,
    FaultKind.RESTART,
    FaultKind.UPGRADE,
    FaultKind.UPGRADE_KILL,
    FaultKind.FULL_DISK,
    FaultKind.OLD_DISK,
)
LEADS = re.compile(rb"event=raft_state role=\w+ term=(\d+) leader=(\w+)")
SETTINGS = """(resume (enabled true) (expires "30 s") (parked 2000) (keys (1 "{key}")))
(store (enabled true) (directory "FOLDER/store"))
"""
PEERS = """(peers (enabled true) (fleet "lab") (key "{key}") (voters "{voters}") (listen "{listen}")
 (members {members}))
"""


@dataclass
class ClusterEndpoint:
    """A host as one node knows it: by the address of the link between the two."""

    ident: str
    address: str
    told: timedelta | None = None


class RecordingClient(Client):
    """A client that writes down what it does and meets, and is patient with a fleet in trouble."""

    tries = 60

    def __init__(self, history: History, report: Report, port: int, number: int, seed: int) -> None:
        super().__init__(report, port, number, seed, True, silence=SILENCE)
        self.history = history

    def saw(self, what: str, **fields: object) -> None:
        fields.pop("session", None)
        self.history.add("client", what, client=self.number, life=self.session_count, **fields)


class ChaosCluster:
    """All parties of one run, and the faults that are put between them."""

    def __init__(
        self, folder: Path, nodes: int, hosts: int, seed: int, peers: bool = True, settings: str = ""
    ) -> None:
        """`settings`: of each node, beside those that all fleets have."""
        self._peers, self._settings = peers, settings
        self.folder, self.seed, self.node_count, self.host_count = folder, seed, nodes, hosts
        self.report, self.history = Report(), History()
        self.nodes: list[LabNode] = []
        self.clients: list[Client] = []
        self.host_links: list[list[Link]] = []  # by node, then host
        self.client_links: list[Link] = []  # of clients
        self.peer_links: dict[tuple[int, int], Link] = {}  # from the lower to the higher number
        self._rosters: list[DiscoveryServer] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._hosts: asyncio.subprocess.Process | None = None
        self._down: set[int] = set()
        self._stopped: set[int] = set()
        self._turns = [asyncio.Lock() for _ in range(nodes)]  # one fault at a time kills or starts a node

    # --- start and end

    async def start(self) -> None:
        """Hosts, links, lists, nodes and the front, until all nodes listen."""
        words = [
            "-m",
            "tansyladder.lab.chaos.hosts",
            str(self.host_count),
            str(self.node_count),
            str(self.seed),
        ]
        self._hosts = await asyncio.create_subprocess_exec(
            sys.executable,
            *words,
            str(self.folder / "hosts.jsonl"),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        assert self._hosts.stdout is not None
        doors: list[list[str]] = json.loads(await asyncio.wait_for(self._hosts.stdout.readline(), START))
        settings = SETTINGS.format(key=secrets.token_hex(32))
        peers = await self._join_peers() if self._peers else [""] * self.node_count
        for number in range(self.node_count):
            links = [Link(doors[host][number]) for host in range(self.host_count)]
            for link in links:
                await link.start()
            self.host_links.append(links)
            roster = DiscoveryServer()
            await roster.start()
            await roster.tell("up", *(ClusterEndpoint(f"s{i}", link.address) for i, link in enumerate(links)))
            self._rosters.append(roster)
            folder = self.folder / f"n{number}"
            folder.mkdir()
            chosen = settings + peers[number] + self._settings
            node = LabNode(folder, roster.address, roster.listed(), chosen, f"n{number}", self.node_count)
            self.nodes.append(node)
            link = Link(f"127.0.0.1:{node.port}")
            await link.start()
            self.client_links.append(link)
        await asyncio.gather(*(node.start() for node in self.nodes))
        if self._peers:
            await self._agreed()
        self.load_balancer = Front(self.history, [link.address for link in self.client_links])
        await self.load_balancer.start()

    async def _agreed(self) -> None:
        """Wait until every node knows who leads."""
        until = clock() + timedelta(seconds=START)
        while not all(b" leader=n" in node.log.read_bytes().replace(b"=none", b"") for node in self.nodes):
            if clock() > until:
                raise TopologyError("the nodes did not agree on a leader")
            await asyncio.sleep(0.05)

    async def _join_peers(self) -> list[str]:
        """A link for each pair of nodes, and each one's settings for its peers."""
        reached = [f"127.0.0.1:{spare_port()}" for _ in range(self.node_count)]
        for low, high in itertools.combinations(range(self.node_count), 2):
            link = self.peer_links[low, high] = Link(reached[high])
            await link.start()
        key = secrets.token_hex(32)
        voters = " ".join(f"n{i}" for i in range(min(5, self.node_count - 1 + self.node_count % 2)))
        out = []
        for me in range(self.node_count):
            links = [self.peer_links[me, i].address if i > me else reached[i] for i in range(self.node_count)]
            members = " ".join(f'(n{i} "{at}")' for i, at in enumerate(links))
            out.append(PEERS.format(key=key, voters=voters, listen=reached[me], members=members))
        return out

    async def close(self) -> list[Event]:
        """End all that was started, each by its own id, and give the whole history."""
        for number in self._stopped - self._down:
            self.nodes[number].signal(signal.SIGCONT)
        for client in self.clients:
            await client.leave()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if hasattr(self, "front"):
            await self.load_balancer.close()
        await asyncio.gather(*(node.stop() for n, node in enumerate(self.nodes) if n not in self._down))
        hosts = [link for links in self.host_links for link in links]
        for link in (*self.client_links, *self.peer_links.values(), *hosts):
            await link.close()
        for roster in self._rosters:
            await roster.close()
        if self._hosts is not None:
            assert self._hosts.stdin is not None
            self._hosts.stdin.close()
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._hosts.wait(), END)
            if self._hosts.returncode is None:
                self._hosts.kill()
                await self._hosts.wait()
        written = self.folder / "hosts.jsonl"
        return merged(self.history.events, load(written) if written.exists() else [])

    async def connect_clients(self, count: int) -> None:
        """So many clients more, each with a session that stands."""
        gate = asyncio.Semaphore(CONCURRENT_CONNECTS)
        new: list[Client] = [
            RecordingClient(self.history, self.report, self.load_balancer.port, number, self.seed)
            for number in range(len(self.clients), len(self.clients) + count)
        ]
        self.clients += new

        async def come(client: Client) -> None:
            async with gate:
                self._tasks.append(asyncio.ensure_future(client.run()))
                await client.up.wait()

        try:
            await asyncio.wait_for(asyncio.gather(*(come(c) for c in new)), START)
        except TimeoutError as err:
            raise TopologyError("not all clients got in") from err

    async def wait_until_all_connected(self, seconds: float) -> bool:
        """Wait until all clients are served, but no longer than this."""
        until = clock() + timedelta(seconds=seconds)
        while clock() < until and not all(c.up.is_set() for c in self.clients):
            await asyncio.sleep(0.02)
        return all(c.up.is_set() for c in self.clients)

    async def quiesce(self) -> None:
        """All clients fall silent, and their last lines are waited for; then those that stand are noted."""
        for client in self.clients:
            client.quiet = True
        until = clock() + timedelta(seconds=3)
        while clock() < until and any(c.unheard() for c in self.clients):
            await asyncio.sleep(0.02)
        until = clock() + timedelta(seconds=ORPHANED)
        while sum(held := await self._held()) > self._standing() and clock() < until:
            await asyncio.sleep(0.1)
        for client in self.clients:
            if client.up.is_set():
                self.history.add("rig", "standing", client=client.number, life=client.session_count)
        for host, number in enumerate(held):
            self.history.add("rig", "held", host=f"s{host}", number=number)

    def _standing(self) -> int:
        return sum(client.up.is_set() for client in self.clients)

    async def _held(self) -> list[int]:
        """Connections at each host."""
        self._order("held")
        assert self._hosts is not None and self._hosts.stdout is not None
        held: list[int] = json.loads(await asyncio.wait_for(self._hosts.stdout.readline(), START))
        return held

    def _order(self, line: str) -> None:
        assert self._hosts is not None and self._hosts.stdin is not None
        self._hosts.stdin.write(f"{line}\n".encode())

    # --- faults

    def clients_on(self, node: int) -> set[int]:
        """The clients whose newest connection went to a node."""
        went = {e.connection_id: e.node for e in self.history.events if e.kind == "sent_to"}
        last = {e.client: e.connection_id for e in self.history.events if e.kind == "asked"}
        return {client for client, ident in last.items() if went.get(ident) == node}

    async def kill(self, node: int) -> None:
        """SIGKILL."""
        async with self._turns[node]:
            if node not in self._down:
                self.history.add("rig", "killed", node=node)
                self._down.add(node)
                await self.nodes[node].kill()

    async def restart(self, node: int, skew: float = 0.0) -> None:
        """Start a node that was killed, on its disk; `skew`: seconds by which its clock is off."""
        async with self._turns[node]:
            if node in self._down:  # else the end of another fault has started it
                await self.nodes[node].start(skew)
                self._down.discard(node)
                self.history.add("rig", "sound", node=node)

    def pause(self, node: int) -> None:
        """SIGSTOP: it lives, and says nothing."""
        self.history.add("rig", "stopped", node=node)
        self._stopped.add(node)
        self.nodes[node].signal(signal.SIGSTOP)

    def resume(self, node: int) -> None:
        """SIGCONT, with all that has come meanwhile in its buffers."""
        self._stopped.discard(node)
        if node not in self._down:  # else another fault has killed it meanwhile
            self.nodes[node].signal(signal.SIGCONT)
            self.history.add("rig", "sound", node=node)

    def find_leader(self) -> int:
        """The node that was the last to say that it leads, of those that run; else any that runs."""
        up = [number for number in range(self.node_count) if number not in self._down]
        terms = {}
        for number in up:
            said = LEADS.findall(self.nodes[number].log.read_bytes())
            terms[number] = int(said[-1][0]) if said and said[-1][1] == f"n{number}".encode() else -1
        return max(up, key=lambda number: terms[number])

    async def next_token_recipient(self, seconds: float) -> list[int]:
        """The node that is the next to be shown a token; none where that happens to none for so long."""
        until = clock() + timedelta(seconds=seconds)
        seen = len(self.history.events)
        tokens: set[str] = set()
        while clock() < until:
            for event in self.history.events[seen:]:
                if event.kind == "asked" and event.token:
                    tokens.add(event.connection_id)
                elif (
                    event.kind == "sent_to" and event.connection_id in tokens and event.node not in self._down
                ):
                    return [event.node]
            seen = len(self.history.events)
            await asyncio.sleep(0.001)
        return []

    async def inject(self, fault: Fault) -> None:
        """A fault from its beginning to its end."""
        match fault.kind:
            case FaultKind.KILL:
                await self._killed([fault.node], fault.duration_s)
            case kind if kind in OF_A_LIVE_ONE and fault.node in self._down:
                pass  # killed by another fault, as the leader or a taker
            case FaultKind.RESTART:
                async with self._turns[fault.node]:
                    self.history.add("rig", "killed", node=fault.node)
                    self._down.add(fault.node)
                    await self.nodes[fault.node].stop()
                await self.restart(fault.node)
            case FaultKind.UPGRADE | FaultKind.UPGRADE_KILL:
                self.history.add("rig", "upgraded", node=fault.node)
                async with self._turns[fault.node]:
                    old = await self.nodes[fault.node].upgrade()
                if fault.kind is FaultKind.UPGRADE_KILL:
                    await asyncio.sleep(fault.duration_s)
                    with contextlib.suppress(ProcessLookupError):  # it has ended by itself
                        old.kill()
                await old.wait()
            case FaultKind.KILL_ALL:
                await self._killed(list(range(self.node_count)), fault.duration_s)
            case FaultKind.KILL_LEADER:
                await self._killed([self.find_leader()], fault.duration_s)
            case FaultKind.KILL_TAKER:
                await self._killed(await self.next_token_recipient(fault.duration_s), fault.duration_s)
            case FaultKind.KILL_WITH_HOST:
                host = fault.node % self.host_count
                self._order(f"die {host}")
                await self._killed([fault.node], fault.duration_s)
                self._order(f"back {host}")
            case FaultKind.LOSE_DISK | FaultKind.OLD_DISK | FaultKind.FULL_DISK:
                await self._disk(fault)
            case FaultKind.SKEW:
                for skew in (fault.value, 0.0):
                    await self.kill(fault.node)
                    await self.restart(fault.node, skew)
                    await asyncio.sleep(fault.duration_s if skew else 0.0)
            case FaultKind.STOP:
                self.pause(fault.node)
                await asyncio.sleep(fault.duration_s)
                self.resume(fault.node)
            case _:
                await self._link(fault)

    async def _killed(self, nodes: list[int], length: float) -> None:
        await asyncio.gather(*(self.kill(node) for node in nodes))
        await asyncio.sleep(length)
        await asyncio.gather(*(self.restart(node) for node in nodes))

    async def _disk(self, fault: Fault) -> None:
        node, store = fault.node, self.nodes[fault.node].folder / "store"
        copy = store.with_name("copy")
        match fault.kind:
            case FaultKind.LOSE_DISK:
                await self.kill(node)
                shutil.rmtree(store)
                await asyncio.sleep(fault.duration_s)
            case FaultKind.OLD_DISK:
                shutil.copytree(store, copy)
                await asyncio.sleep(fault.duration_s / 2)
                await self.kill(node)
                shutil.rmtree(store)
                copy.rename(store)
                await asyncio.sleep(fault.duration_s / 2)
            case _:
                self.history.add("rig", "full_disk", node=node)
                self.nodes[node].limit_file_size()
                await asyncio.sleep(fault.duration_s)
                await self.kill(node)
        await self.restart(node)

    async def _link(self, fault: Fault) -> None:
        node, links = fault.node, self.host_links[fault.node]
        if fault.kind in (FaultKind.CUT_PEERS, FaultKind.DELAY_PEERS, FaultKind.FLAP_PEERS):
            links = [link for pair, link in self.peer_links.items() if node in pair]
        match fault.kind:
            case FaultKind.RESET:
                self.history.add("rig", "reset", node=node)
                self.client_links[node].reset()
            case FaultKind.CUT_CLIENTS:
                self.history.add("rig", "cut", node=node)
                links = [self.client_links[node]]
                links[0].cut()
            case FaultKind.CUT_PEERS | FaultKind.FLAP_PEERS:
                self.history.add("rig", fault.kind.value, node=node)
                for link in links:
                    link.cut()
            case FaultKind.DELAY | FaultKind.DELAY_PEERS:
                self.history.add("rig", "delayed", node=node)
                for link in links:
                    link.delay = fault.value
            case kind:
                self.history.add("rig", "cut", node=node)
                for link in links:
                    link.cut(up=kind is not FaultKind.CUT_DOWN, down=kind is not FaultKind.CUT_UP)
        if fault.kind is FaultKind.FLAP_PEERS:
            until = clock() + timedelta(seconds=fault.duration_s)
            while clock() < until:
                for link in links:
                    link.mend()
                await asyncio.sleep(FLAP)
                for link in links:
                    link.reset()
                    link.cut()
                await asyncio.sleep(FLAP)
        else:
            await asyncio.sleep(fault.duration_s)
        for link in links:
            link.mend()
        self.history.add("rig", "sound", node=node)


@contextlib.asynccontextmanager
async def running_cluster(
    nodes: int, hosts: int, seed: int, peers: bool = True, settings: str = ""
) -> AsyncIterator[tuple[ChaosCluster, list[Event]]]:
    """A fleet that is up, and a list that has its whole history once the fleet is down."""
    history: list[Event] = []
    with tempfile.TemporaryDirectory(prefix="tansyladder-chaos-") as folder:
        cluster = ChaosCluster(Path(folder), nodes, hosts, seed, peers, settings)
        try:
            await cluster.start()
            yield cluster, history
        finally:
            history += await cluster.close()
