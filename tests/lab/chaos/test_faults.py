"""Each kind of fault has its effect on the node's processes and links, and ends it after its duration."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest

from tansyladder.lab.chaos.cluster import ChaosCluster, ClusterSettings
from tansyladder.lab.chaos.faults import NEEDS_RUNNING_NODE, FaultInjector, find_leader
from tansyladder.lab.chaos.history import EventKind, Party
from tansyladder.lab.chaos.host_process import HostProcess
from tansyladder.lab.chaos.links import Direction, Link
from tansyladder.lab.chaos.node import ChaosNode
from tansyladder.lab.chaos.peer_network import PeerNetwork
from tansyladder.lab.chaos.schedule import Fault, FaultKind
from tansyladder.lab.discovery_server import EndpointList
from tansyladder.lab.node import LabNode

NODE = 1  # the node into which faults are injected; node 0 is the leader
DURATION = 0.15  # seconds
DELAY = 0.2  # seconds, of links and clocks


class FakeNode(LabNode):
    """A node without a process that records the calls of its methods, and at a start the store's content."""

    def __init__(self, folder: Path, name: str, calls: list[str]) -> None:
        folder.mkdir()
        super().__init__(folder, "127.0.0.1:1", EndpointList(), name=name)
        self.log.write_bytes(b"event=raft_state role=leader term=3 leader=n0\n")
        self.store_file = folder / "store" / "log"
        self.store_file.parent.mkdir()
        self.store_file.write_text("old")
        self.name = name
        self.calls = calls
        self.old_process: asyncio.subprocess.Process | None = None

    def record_call(self, call: str) -> None:
        self.calls.append(f"{self.name} {call}")

    async def start(self, clock_offset: float = 0.0) -> None:
        content = self.store_file.read_text() if self.store_file.exists() else "nothing"
        self.record_call(f"start {clock_offset} on {content}")

    async def stop(self) -> int:
        self.record_call("stop")
        return 0

    async def kill(self) -> None:
        self.record_call("kill")

    def signal(self, number: int) -> None:
        self.record_call(signal.Signals(number).name)

    def limit_file_size(self) -> None:
        self.record_call("full")

    async def upgrade(self) -> asyncio.subprocess.Process:
        self.record_call("upgrade")
        self.old_process = await asyncio.create_subprocess_exec("sleep", str(2 * DURATION))
        return self.old_process


class FakeLink(Link):
    """A link without connections that records its faults."""

    def __init__(self, name: str, calls: list[str]) -> None:
        self.name = name
        self.calls = calls
        super().__init__("127.0.0.1:1")
        calls.clear()  # the constructor calls `recover`

    def cut(self, *directions: Direction) -> None:
        names = "".join(f" {direction.name}" for direction in directions or Direction)
        self.calls.append(f"{self.name} cut{names}")

    def recover(self) -> None:
        self.calls.append(f"{self.name} recover" + (f" from {self.delay}" if self.delay else ""))

    def reset(self) -> None:
        self.calls.append(f"{self.name} reset")


class FakeHosts(HostProcess):
    """Hosts that record when they are killed and restarted."""

    def __init__(self, calls: list[str]) -> None:
        super().__init__(2, 2, 1, Path())
        self.calls = calls

    def kill_host(self, host: int) -> None:
        self.calls.append(f"s{host} kill")

    def restart_host(self, host: int) -> None:
        self.calls.append(f"s{host} restart")


class FakePeers(PeerNetwork):
    """The network of two nodes, with one given link between them."""

    def __init__(self, link: FakeLink) -> None:
        super().__init__(2)
        self.link = link

    def links_of(self, node: int) -> list[Link]:
        assert node == NODE
        return [self.link]


def fake_cluster(folder: Path, calls: list[str]) -> ChaosCluster:
    """Return a cluster of two nodes, two hosts and the links between them, all of them fakes."""
    cluster = ChaosCluster(
        folder,
        ClusterSettings(node_count=2, host_count=2, seed=1),
        hosts=FakeHosts(calls),
        peers=FakePeers(FakeLink("n0-n1", calls)),
    )
    for number in range(2):
        cluster.host_links.append([FakeLink(f"n{number}-s{host}", calls) for host in range(2)])
        cluster.client_links.append(FakeLink(f"clients-n{number}", calls))
        process = FakeNode(folder / f"n{number}", f"n{number}", calls)
        cluster.nodes.append(ChaosNode(number, process, cluster.history))
    return cluster


BOTH_DIRECTIONS = "TO_TARGET FROM_TARGET"
RESTARTED = "n1 start 0.0 on new"  # "new" was written to the store during the fault
EXPECTED_CALLS: dict[FaultKind, list[str]] = {
    FaultKind.KILL: ["n1 kill", RESTARTED],
    FaultKind.KILL_ALL: ["n0 kill", "n1 kill", "n0 start 0.0 on old", RESTARTED],
    FaultKind.KILL_LEADER: ["n0 kill", "n0 start 0.0 on old"],
    FaultKind.KILL_TOKEN_RECIPIENT: [],  # no client sends a token
    FaultKind.KILL_WITH_HOST: ["s1 kill", "n1 kill", RESTARTED, "s1 restart"],
    FaultKind.PAUSE: ["n1 SIGSTOP", "n1 SIGCONT"],
    FaultKind.RESTART: ["n1 stop", "n1 start 0.0 on old"],
    FaultKind.UPGRADE: ["n1 upgrade"],
    FaultKind.UPGRADE_KILL: ["n1 upgrade"],
    FaultKind.SKEW_CLOCK: ["n1 kill", f"n1 start {DELAY} on old", "n1 kill", RESTARTED],
    FaultKind.LOSE_DISK: ["n1 kill", "n1 start 0.0 on nothing"],
    FaultKind.ROLL_BACK_DISK: ["n1 kill", "n1 start 0.0 on old"],
    FaultKind.FILL_DISK: ["n1 full", "n1 kill", RESTARTED],
    FaultKind.CUT_HOSTS: [
        f"n1-s0 cut {BOTH_DIRECTIONS}",
        f"n1-s1 cut {BOTH_DIRECTIONS}",
        "n1-s0 recover",
        "n1-s1 recover",
    ],
    FaultKind.CUT_TO_HOSTS: ["n1-s0 cut TO_TARGET", "n1-s1 cut TO_TARGET", "n1-s0 recover", "n1-s1 recover"],
    FaultKind.CUT_FROM_HOSTS: [
        "n1-s0 cut FROM_TARGET",
        "n1-s1 cut FROM_TARGET",
        "n1-s0 recover",
        "n1-s1 recover",
    ],
    FaultKind.CUT_CLIENTS: [f"clients-n1 cut {BOTH_DIRECTIONS}", "clients-n1 recover"],
    FaultKind.CUT_PEERS: [f"n0-n1 cut {BOTH_DIRECTIONS}", "n0-n1 recover"],
    FaultKind.RESET_CLIENTS: ["clients-n1 reset"],
    FaultKind.DELAY_HOSTS: [f"n1-s0 recover from {DELAY}", f"n1-s1 recover from {DELAY}"],
    FaultKind.DELAY_PEERS: [f"n0-n1 recover from {DELAY}"],
    FaultKind.FLAP_PEERS: [
        f"n0-n1 cut {BOTH_DIRECTIONS}",
        "n0-n1 recover",
        "n0-n1 reset",
        f"n0-n1 cut {BOTH_DIRECTIONS}",
        "n0-n1 recover",
    ],
}
EXPECTED_EVENTS: dict[FaultKind, list[EventKind]] = {
    FaultKind.KILL_ALL: [EventKind.KILLED, EventKind.KILLED, EventKind.RECOVERED, EventKind.RECOVERED],
    FaultKind.KILL_TOKEN_RECIPIENT: [],
    FaultKind.PAUSE: [EventKind.PAUSED, EventKind.RECOVERED],
    FaultKind.UPGRADE: [EventKind.UPGRADED],
    FaultKind.UPGRADE_KILL: [EventKind.UPGRADED],
    FaultKind.SKEW_CLOCK: [EventKind.KILLED, EventKind.RECOVERED, EventKind.KILLED, EventKind.RECOVERED],
    FaultKind.FILL_DISK: [EventKind.DISK_FULL, EventKind.KILLED, EventKind.RECOVERED],
    FaultKind.CUT_HOSTS: [EventKind.LINK_CUT, EventKind.RECOVERED],
    FaultKind.CUT_TO_HOSTS: [EventKind.LINK_CUT, EventKind.RECOVERED],
    FaultKind.CUT_FROM_HOSTS: [EventKind.LINK_CUT, EventKind.RECOVERED],
    FaultKind.CUT_CLIENTS: [EventKind.LINK_CUT, EventKind.RECOVERED],
    FaultKind.CUT_PEERS: [EventKind.PEER_LINKS_CUT, EventKind.RECOVERED],
    FaultKind.RESET_CLIENTS: [EventKind.CONNECTIONS_RESET, EventKind.RECOVERED],
    FaultKind.DELAY_HOSTS: [EventKind.LINK_DELAYED, EventKind.RECOVERED],
    FaultKind.DELAY_PEERS: [EventKind.LINK_DELAYED, EventKind.RECOVERED],
    FaultKind.FLAP_PEERS: [EventKind.PEER_LINKS_FLAPPING, EventKind.RECOVERED],
}
KILLED_AND_RECOVERED = [EventKind.KILLED, EventKind.RECOVERED]  # for all other kinds


async def inject(cluster: ChaosCluster, kind: FaultKind) -> None:
    """Inject a fault into NODE, and write to that node's store file during the fault."""
    injection = asyncio.ensure_future(FaultInjector(cluster).inject(Fault(0.0, kind, NODE, DURATION, DELAY)))
    await asyncio.sleep(DURATION / 3)
    store_file = cluster.nodes[NODE].process.folder / "store" / "log"
    if store_file.exists():
        store_file.write_text("new")
    await injection


@pytest.mark.parametrize("kind", FaultKind)
def test_each_fault_makes_the_expected_calls_and_events(kind: FaultKind, tmp_path: Path) -> None:
    calls: list[str] = []
    cluster = fake_cluster(tmp_path, calls)
    asyncio.run(inject(cluster, kind))
    assert calls == EXPECTED_CALLS[kind]
    assert [event.kind for event in cluster.history.events] == EXPECTED_EVENTS.get(kind, KILLED_AND_RECOVERED)


@pytest.mark.parametrize(
    ("kind", "exit_code"), [(FaultKind.UPGRADE, 0), (FaultKind.UPGRADE_KILL, -signal.SIGKILL)]
)
def test_the_old_process_of_an_upgrade_exits_or_is_killed(
    kind: FaultKind, exit_code: int, tmp_path: Path
) -> None:
    cluster = fake_cluster(tmp_path, [])
    asyncio.run(inject(cluster, kind))
    process = cluster.nodes[NODE].process
    assert isinstance(process, FakeNode)
    assert process.old_process is not None
    assert process.old_process.returncode == exit_code


@pytest.mark.parametrize("kind", [kind for kind in FaultKind if kind in NEEDS_RUNNING_NODE])
def test_a_fault_that_needs_a_running_node_is_skipped_while_the_node_is_down(
    kind: FaultKind, tmp_path: Path
) -> None:
    async def run() -> None:
        await cluster.nodes[NODE].kill()
        calls.clear()
        await inject(cluster, kind)

    calls: list[str] = []
    cluster = fake_cluster(tmp_path, calls)
    asyncio.run(run())
    assert calls == []


def test_the_next_node_that_a_token_is_forwarded_to_is_killed(tmp_path: Path) -> None:
    async def run() -> None:
        fault = Fault(0.0, FaultKind.KILL_TOKEN_RECIPIENT, NODE, DURATION)
        injection = asyncio.ensure_future(FaultInjector(cluster).inject(fault))
        await asyncio.sleep(DURATION / 3)
        cluster.history.record(Party.CLIENT, EventKind.OPEN_SENT, connection_id="a", token="T")
        cluster.history.record(Party.LOAD_BALANCER, EventKind.FORWARDED, connection_id="a", node=0)
        await injection

    calls: list[str] = []
    cluster = fake_cluster(tmp_path, calls)
    asyncio.run(run())
    assert calls == ["n0 kill", "n0 start 0.0 on old"]


def test_the_leader_is_found_by_the_logs_of_running_nodes(tmp_path: Path) -> None:
    async def run() -> None:
        assert find_leader(cluster).number == 0
        await cluster.nodes[0].kill()
        assert find_leader(cluster).number == 1  # no running node is the leader: any running node

    cluster = fake_cluster(tmp_path, [])
    asyncio.run(run())
