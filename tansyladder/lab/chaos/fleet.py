"""A fleet: real nodes, hosts in a process of their own, a link for every way, a front and clients."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import secrets
import signal
import sys
import tempfile
from collections.abc import AsyncIterator
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

from tansyladder.lab.chaos.history import Event, History, load, merged
from tansyladder.lab.chaos.links import Front, Link
from tansyladder.lab.chaos.schedule import Fault, Kind
from tansyladder.lab.clients import Client
from tansyladder.lab.node import LabNode, spare_port
from tansyladder.lab.report import Report, clock
from tansyladder.lab.roster import Roster
from tansyladder.lab.scene import AT_ONCE, SceneError

SILENCE = 2.0  # seconds without a line after which a client takes its connection for dead
START = 30.0  # seconds in which all clients must stand
END = 5.0  # seconds in which the hosts' process must end
SETTINGS = """(resume (enabled true) (expires "30 s") (parked 2000) (keys (1 "{key}")))
(store (enabled true) (directory "FOLDER/store"))
"""
PEERS = """(peers (enabled true) (fleet "lab") (key "{key}") (voters "{voters}") (listen "{listen}")
 (members {members}))
"""


@dataclass
class Listed:
    """A host as one node knows it: by the address of the link between the two."""

    ident: str
    address: str
    told: timedelta | None = None


class WatchedClient(Client):
    """A client that writes down what it does and meets, and is patient with a fleet in trouble."""

    tries = 60

    def __init__(self, history: History, report: Report, port: int, number: int, seed: int) -> None:
        super().__init__(report, port, number, seed, True, silence=SILENCE)
        self.history = history

    def saw(self, what: str, **fields: object) -> None:
        fields.pop("session", None)
        self.history.add("client", what, client=self.number, life=self.sessions, **fields)


class Fleet:
    """All parties of one run, and the faults that are put between them."""

    def __init__(self, folder: Path, nodes: int, hosts: int, seed: int, peers: bool = True) -> None:
        self._peers = peers
        self.folder, self.seed, self.size, self.hosts = folder, seed, nodes, hosts
        self.report, self.history = Report(), History()
        self.nodes: list[LabNode] = []
        self.clients: list[Client] = []
        self.to_hosts: list[list[Link]] = []  # by node, then host
        self.to_nodes: list[Link] = []  # of clients
        self.to_peers: dict[tuple[int, int], Link] = {}  # from the lower to the higher number
        self._rosters: list[Roster] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._hosts: asyncio.subprocess.Process | None = None
        self._down: set[int] = set()
        self._stopped: set[int] = set()

    # --- start and end

    async def start(self) -> None:
        """Hosts, links, lists, nodes and the front, until all nodes listen."""
        words = ["-m", "tansyladder.lab.chaos.hosts", str(self.hosts), str(self.size), str(self.seed)]
        self._hosts = await asyncio.create_subprocess_exec(
            sys.executable, *words, str(self.folder / "hosts.jsonl"),
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
        )  # fmt: skip
        assert self._hosts.stdout is not None
        doors: list[list[str]] = json.loads(await asyncio.wait_for(self._hosts.stdout.readline(), START))
        settings = SETTINGS.format(key=secrets.token_hex(32))
        peers = await self._join_peers() if self._peers else [""] * self.size
        for number in range(self.size):
            links = [Link(doors[host][number]) for host in range(self.hosts)]
            for link in links:
                await link.start()
            self.to_hosts.append(links)
            roster = Roster()
            await roster.start()
            await roster.tell("up", *(Listed(f"s{i}", link.address) for i, link in enumerate(links)))
            self._rosters.append(roster)
            folder = self.folder / f"n{number}"
            folder.mkdir()
            chosen = settings + peers[number]
            node = LabNode(folder, roster.address, roster.listed(), chosen, f"n{number}", self.size)
            self.nodes.append(node)
            link = Link(f"127.0.0.1:{node.port}")
            await link.start()
            self.to_nodes.append(link)
        await asyncio.gather(*(node.start() for node in self.nodes))
        if self._peers:
            await self._agreed()
        self.front = Front(self.history, [link.address for link in self.to_nodes])
        await self.front.start()

    async def _agreed(self) -> None:
        """Wait until every node knows who leads."""
        until = clock() + timedelta(seconds=START)
        while not all(b" leader=n" in node.log.read_bytes().replace(b"=none", b"") for node in self.nodes):
            if clock() > until:
                raise SceneError("the nodes did not agree on a leader")
            await asyncio.sleep(0.05)

    async def _join_peers(self) -> list[str]:
        """A link for each pair of nodes, and each one's settings for its peers."""
        reached = [f"127.0.0.1:{spare_port()}" for _ in range(self.size)]
        for low, high in itertools.combinations(range(self.size), 2):
            link = self.to_peers[low, high] = Link(reached[high])
            await link.start()
        key = secrets.token_hex(32)
        voters = " ".join(f"n{i}" for i in range(min(5, self.size - 1 + self.size % 2)))
        out = []
        for me in range(self.size):
            links = [self.to_peers[me, i].address if i > me else reached[i] for i in range(self.size)]
            members = " ".join(f'(n{i} "{at}")' for i, at in enumerate(links))
            out.append(PEERS.format(key=key, voters=voters, listen=reached[me], members=members))
        return out

    async def close(self) -> list[Event]:
        """End all that was started, each by its own id, and give the whole history."""
        for number in list(self._stopped):
            self.nodes[number].signal(signal.SIGCONT)
        for client in self.clients:
            await client.leave()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if hasattr(self, "front"):
            await self.front.close()
        await asyncio.gather(*(node.stop() for n, node in enumerate(self.nodes) if n not in self._down))
        hosts = [link for links in self.to_hosts for link in links]
        for link in (*self.to_nodes, *self.to_peers.values(), *hosts):
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

    async def join(self, count: int) -> None:
        """So many clients, each with a session that stands."""
        gate = asyncio.Semaphore(AT_ONCE)
        for number in range(count):
            self.clients.append(
                WatchedClient(self.history, self.report, self.front.port, number, self.seed)
            )

        async def come(client: Client) -> None:
            async with gate:
                self._tasks.append(asyncio.ensure_future(client.run()))
                await client.up.wait()

        try:
            await asyncio.wait_for(asyncio.gather(*(come(c) for c in self.clients)), START)
        except TimeoutError as err:
            raise SceneError("not all clients got in") from err

    async def until_all_up(self, seconds: float) -> bool:
        """Wait until all clients are served, but no longer than this."""
        until = clock() + timedelta(seconds=seconds)
        while clock() < until and not all(c.up.is_set() for c in self.clients):
            await asyncio.sleep(0.02)
        return all(c.up.is_set() for c in self.clients)

    async def settle(self) -> None:
        """All clients fall silent, and their last lines are waited for; then those that stand are noted."""
        for client in self.clients:
            client.quiet = True
        until = clock() + timedelta(seconds=3)
        while clock() < until and any(c.unheard() for c in self.clients):
            await asyncio.sleep(0.02)
        for client in self.clients:
            if client.up.is_set():
                self.history.add("rig", "standing", client=client.number, life=client.sessions)

    # --- faults

    def clients_at(self, node: int) -> set[int]:
        """The clients whose newest connection went to a node."""
        went = {e.ident: e.node for e in self.history.events if e.what == "sent_to"}
        last = {e.client: e.ident for e in self.history.events if e.what == "asked"}
        return {client for client, ident in last.items() if went.get(ident) == node}

    async def kill(self, node: int) -> None:
        """SIGKILL."""
        self.history.add("rig", "killed", node=node)
        self._down.add(node)
        await self.nodes[node].kill()

    async def restart(self, node: int) -> None:
        """Start a node that was killed, on its disk."""
        await self.nodes[node].start()
        self._down.discard(node)
        self.history.add("rig", "sound", node=node)

    def stop(self, node: int) -> None:
        """SIGSTOP: it lives, and says nothing."""
        self.history.add("rig", "stopped", node=node)
        self._stopped.add(node)
        self.nodes[node].signal(signal.SIGSTOP)

    def go_on(self, node: int) -> None:
        """SIGCONT, with all that has come meanwhile in its buffers."""
        self.nodes[node].signal(signal.SIGCONT)
        self._stopped.discard(node)
        self.history.add("rig", "sound", node=node)

    async def play(self, fault: Fault) -> None:
        """A fault from its beginning to its end."""
        node = fault.node
        links = self.to_hosts[node]
        if fault.kind in (Kind.CUT_PEERS, Kind.DELAY_PEERS):
            links = [link for pair, link in self.to_peers.items() if node in pair]
        match fault.kind:
            case Kind.KILL:
                await self.kill(node)
            case Kind.STOP:
                self.stop(node)
            case Kind.RESET:
                self.history.add("rig", "reset", node=node)
                self.to_nodes[node].reset()
            case Kind.CUT_CLIENTS:
                self.history.add("rig", "cut", node=node)
                self.to_nodes[node].cut()
            case Kind.CUT_PEERS:
                self.history.add("rig", "cut_peers", node=node)
                for link in links:
                    link.cut()
            case Kind.DELAY | Kind.DELAY_PEERS:
                self.history.add("rig", "delayed", node=node)
                for link in links:
                    link.delay = fault.value
            case kind:
                self.history.add("rig", "cut", node=node)
                for link in links:
                    link.cut(up=kind is not Kind.CUT_DOWN, down=kind is not Kind.CUT_UP)
        await asyncio.sleep(fault.length)
        match fault.kind:
            case Kind.KILL:
                await self.restart(node)
            case Kind.STOP:
                self.go_on(node)
            case _:
                for link in (*links, self.to_nodes[node]):
                    link.mend()
                self.history.add("rig", "sound", node=node)


@contextlib.asynccontextmanager
async def fleet(
    nodes: int, hosts: int, seed: int, peers: bool = True
) -> AsyncIterator[tuple[Fleet, list[Event]]]:
    """A fleet that is up, and a list that has its whole history once the fleet is down."""
    history: list[Event] = []
    with tempfile.TemporaryDirectory(prefix="tansyladder-chaos-") as folder:
        whole = Fleet(Path(folder), nodes, hosts, seed, peers)
        try:
            await whole.start()
            yield whole, history
        finally:
            history += await whole.close()

