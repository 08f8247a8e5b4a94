"""Raft nodes over a network that delays, drops, duplicates, reorders and cuts, with crashes and lost disks.

One event loop on a virtual clock; the same seed gives the same history to the byte. `ConsensusChecker` checks
each step: one leader in a term, committed entries that never change, the same state from the same entries. At
the end, when faults are over, every proposal that was answered is in every log, and a new one goes through in
time.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

import numpy

from tansyladder.raft.effects import Effects
from tansyladder.raft.messages import Message, ProposalRequest
from tansyladder.raft.node import STANDARD_COMPONENTS, RaftComponents, RaftNode
from tansyladder.raft.node_state import Membership
from tansyladder.raft.persistent_state import PersistentState
from tansyladder.replication.units import MILLISECOND_US, SECOND_US
from tansyladder.simulation.consensus_checker import (
    ConsensusChecker,
    InvariantViolationError,
    LogBeforeStep,
)
from tansyladder.simulation.event_loop import EventLoop
from tansyladder.simulation.fault_rates import (
    NO_FAULTS,
    FaultRates,
    draw_delays,
    draw_disk_faults,
    draw_links,
)
from tansyladder.simulation.simulated_disk import SimulatedDisk

CONVERGENCE_TIMEOUT_US = 10 * SECOND_US  # after the last fault by when a proposal must go through
DISK_BACKUP_INTERVAL_US = 500 * MILLISECOND_US  # mean, between two copies that are taken of disks
PROPOSAL_INTERVAL_US = 50 * MILLISECOND_US  # mean
NODE_SEED_RANGE = 1 << 60
COUNTED = ("crashes", "wiped", "older", "doubted", "cuts", "asked", "unknown", "messages")


class RecordingStateMachine:
    """A state that shows any difference of order: the list of all commands."""

    def __init__(self) -> None:
        """Begin without commands."""
        self.commands: list[bytes] = []

    def apply(self, data: bytes) -> bytes:
        """Record a command, and answer how many there are."""
        self.commands.append(data)
        return str(len(self.commands)).encode()

    def snapshot(self) -> bytes:
        """Encode all commands."""
        return b",".join(self.commands)

    def restore(self, dumped: bytes) -> None:
        """Take the commands of a snapshot."""
        self.commands = dumped.split(b",") if dumped else []


@dataclass
class SimulatedNode:
    """One node of the cluster."""

    name: str
    disk: SimulatedDisk
    raft: RaftNode | None = None  # None while the node is down
    state_machine: RecordingStateMachine = field(default_factory=RecordingStateMachine)
    incarnation: int = 0  # counts starts
    timer_number: int = 0  # counts timers, of which only the newest is good
    _backup: PersistentState = field(init=False)  # a copy of the disk, taken some time ago

    def __post_init__(self) -> None:
        """Take the first copy."""
        self.back_up_disk()

    def back_up_disk(self) -> None:
        """Take a copy of the disk."""
        self._backup = self.disk.persisted

    def roll_back_disk(self) -> bool:
        """Put the copy in place of the disk; False: they are the same."""
        is_older = self.disk.persisted != self._backup
        self.disk.persisted = self._backup
        return is_older

    def replace_disk(self, disk: SimulatedDisk) -> None:
        """Lose the disk and its copy."""
        self.disk = disk
        self.back_up_disk()


class SimulatedCluster:
    """A cluster, its network, its faults and its checker."""

    def __init__(
        self,
        seed: int,
        voters: int = 3,
        learners: int = 1,
        faults: FaultRates | None = None,
        components: RaftComponents = STANDARD_COMPONENTS,
        is_synced: bool = True,
    ) -> None:
        """Start all nodes. `voters`, `learners`: how many; `is_synced`: of disks."""
        generators = [numpy.random.default_rng(part) for part in numpy.random.SeedSequence(seed).spawn(4)]
        self._network_rng, self._fault_rng, self._load_rng, self._node_seed_rng = generators
        self._loop = EventLoop()
        self._checker = ConsensusChecker()
        self.committed_entries = self._checker.committed_entries
        self._components = components
        self._is_synced = is_synced
        self._disk_numbers = itertools.count(1)
        self._request_numbers = itertools.count(1)
        self._cut_links: set[tuple[str, str]] = set()  # sender and recipient between which nothing arrives
        self.faults = faults or FaultRates()
        self.names = [f"n{number}" for number in range(voters + learners)]
        self.voters = self.names[:voters]
        self.learners = self.names[voters:]
        self.results: dict[str, bytes] = {}  # of the requests that were answered with one
        self.counts = dict.fromkeys(COUNTED, 0)
        self.nodes = {name: SimulatedNode(name, self._make_disk()) for name in self.names}
        for name in self.names:
            self.start_node(name)

    @property
    def now(self) -> int:
        """The virtual time, in microseconds."""
        return self._loop.now

    def call_at(self, time_us: int, call: Callable[[], object]) -> None:
        """Schedule a call."""
        self._loop.call_at(time_us, call)

    def run_until(self, time_us: int) -> None:
        """Play all that is due by a time. InvariantViolationError: a promise is broken."""
        self._loop.run_until(time_us)

    def start_node(self, name: str) -> None:
        """Start a node that is down."""
        node = self.nodes[name]
        node.incarnation += 1
        node.state_machine = self._make_state_machine()
        rng = Random(int(self._node_seed_rng.integers(NODE_SEED_RANGE)))
        membership = Membership(name, self.voters, self.learners)
        node.raft = RaftNode(
            membership, node.disk.persisted, node.state_machine, rng, self.now, self._components
        )
        self._on_node_started(node)
        self._step_node(node)

    def crash(self, name: str, wipe: bool) -> None:
        """Stop a node; with `wipe` its disk is lost."""
        node = self.nodes[name]
        node.raft = None
        self.counts["crashes"] += 1
        if wipe:
            self.counts["wiped"] += 1
            node.replace_disk(self._make_disk())

    def roll_back_disk(self, name: str) -> None:
        """Put the older copy in place of the disk of a node that is down."""
        node = self.nodes[name]
        if node.roll_back_disk():
            self.counts["older"] += 1
            self.suspect_disk(node)

    def suspect_disk(self, node: SimulatedNode) -> None:
        """Do what a start does that finds nothing to show that its disk is the newest."""
        self.counts["doubted"] += 1
        node.disk.suspect()

    def propose(self, name: str) -> str:
        """Make a proposal at a node, and return its request id."""
        request_id = f"r{next(self._request_numbers)}"
        self.counts["asked"] += 1
        self._step_node(self.nodes[name], (name, ProposalRequest(request_id, request_id.encode())))
        return request_id

    def inject_faults(self, seconds: float, mean_proposal_interval_us: int = PROPOSAL_INTERVAL_US) -> None:
        """Play faults and proposals for a time; a majority of voters keeps its disks between two losses."""
        end = self.now + int(seconds * SECOND_US)
        self._call_randomly(self.faults.mean_crash_interval_us, end, self._crash_random_node)
        self._call_randomly(self.faults.mean_cut_interval_us, end, self._cut_random_links)
        if self.faults.disk_rollback_rate:
            self._call_randomly(DISK_BACKUP_INTERVAL_US, end, self._back_up_random_disk)
        self._call_randomly(mean_proposal_interval_us, end, self._propose_at_random_node)
        self.run_until(end)

    def converge(self) -> None:
        """End all faults and check that the cluster works again.

        InvariantViolationError: an answered proposal is lost, or none goes through in time.
        """
        self._cut_links.clear()
        self.faults = NO_FAULTS
        for name in self.names:
            self._restart(name)
        end = self.now + CONVERGENCE_TIMEOUT_US
        while self.now < end:
            proposed = [self.propose(name) for name in self.names]
            self.run_until(self.now + SECOND_US)
            if all(request_id in self.results for request_id in proposed):
                break
        else:
            raise InvariantViolationError(self.now, "no proposal goes through at all nodes")
        self.run_until(self.now + 2 * SECOND_US)
        running = [node.raft for node in self.nodes.values() if node.raft is not None]
        self._checker.check_converged(running, self.results, self.now)

    def _make_disk(self) -> SimulatedDisk:
        return SimulatedDisk(f"d{next(self._disk_numbers)}", self._is_synced)

    def _make_state_machine(self) -> RecordingStateMachine:
        """Make the state machine of a node that starts; for subclasses."""
        return RecordingStateMachine()

    def _on_node_started(self, node: SimulatedNode) -> None:
        """Do more for a node that has started; for subclasses."""

    def _announces_commits_at_once(self, node: SimulatedNode) -> bool:  # noqa: ARG002 - for subclasses
        """Whether a node that leads sends a new commit index at once; a subclass decides it by node."""
        return False

    def _step_node(self, node: SimulatedNode, *received: tuple[str, Message]) -> None:
        raft = node.raft
        if raft is None:
            return
        before = LogBeforeStep.of(raft)
        announces_at_once = self._announces_commits_at_once(node)
        effects = raft.handle(self.now, received, announces_commits_at_once=announces_at_once)
        node.disk.write(effects.writes)
        self._checker.check_step(raft, node.state_machine.commands, before, effects.writes, self.now)
        self._deliver(node, effects)
        node.timer_number += 1
        on_timer = partial(self._on_timer, node, node.timer_number, node.incarnation)
        self.call_at(raft.next_deadline, on_timer)

    def _on_timer(self, node: SimulatedNode, timer_number: int, incarnation: int) -> None:
        if (node.timer_number, node.incarnation) == (timer_number, incarnation):
            self._step_node(node)

    def _deliver(self, node: SimulatedNode, effects: Effects) -> None:
        """Send messages over the network, and record results."""
        for recipient, message in effects.messages:
            self.counts["messages"] += 1
            for delay in draw_delays(self._network_rng, self.faults):
                self.call_at(self.now + delay, partial(self._on_message, node.name, recipient, message))
        for result in effects.results:
            if result.result is None:
                self.counts["unknown"] += 1
            else:
                self.results[result.request_id] = result.result

    def _on_message(self, sender: str, to: str, message: Message) -> None:
        if (sender, to) not in self._cut_links:
            self._step_node(self.nodes[to], (sender, message))

    def _call_randomly(self, mean_interval_us: int, end: int, call: Callable[[], object]) -> None:
        self._loop.call_randomly(self._fault_rng, mean_interval_us, end, call)

    def _random_name(self, rng: numpy.random.Generator) -> str:
        return self.names[rng.integers(len(self.names))]

    def _propose_at_random_node(self) -> None:
        self.propose(self._random_name(self._load_rng))

    def _crash_random_node(self) -> None:
        name = self._random_name(self._fault_rng)
        if self.nodes[name].raft is None:
            return
        # A disk may be lost while all other voters count; with two losses at once a majority could be lost.
        others = [self.nodes[voter].raft for voter in self.voters if voter != name]
        may_lose_disk = bool(others) and all(raft is not None and raft.is_electable for raft in others)
        disk_faults = draw_disk_faults(self._fault_rng, self.faults, may_lose_disk)
        self.crash(name, wipe=disk_faults.is_lost)
        if disk_faults.is_rolled_back:
            self.roll_back_disk(name)
        elif disk_faults.is_suspected:
            self.suspect_disk(self.nodes[name])
        downtime_us = int(self._fault_rng.integers(*self.faults.downtime_range_us))
        self.call_at(self.now + downtime_us, partial(self._restart, name))

    def _restart(self, name: str) -> None:
        if self.nodes[name].raft is None:
            self.start_node(name)

    def _back_up_random_disk(self) -> None:
        self.nodes[self._random_name(self._fault_rng)].back_up_disk()

    def _cut_random_links(self) -> None:
        self.counts["cuts"] += 1
        links = draw_links(self._fault_rng, self.names)
        self._cut_links |= links
        duration_us = int(self._fault_rng.integers(*self.faults.cut_duration_range_us))
        self.call_at(self.now + duration_us, partial(self._cut_links.difference_update, links))


def simulate(cluster: SimulatedCluster, seconds: float = 20.0) -> SimulatedCluster:
    """Play faults for a time, and check the cluster to its end.

    InvariantViolationError: a promise is broken.
    """
    cluster.inject_faults(seconds)
    cluster.converge()
    return cluster
