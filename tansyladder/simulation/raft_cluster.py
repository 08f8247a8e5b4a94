"""Agreements over a network that delays, drops, doubles, reorders and cuts, with crashes and lost disks.

One event loop on a virtual clock; the same seed gives the same history to the byte. Checked at each step:
one leader in a term, committed entries that never change, the same state from the same entries. At the end,
faults over: every proposal that was answered is in every log, and a new one goes through in time.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

import msgspec
import numpy

from tansyladder.raft.effects import Effects
from tansyladder.raft.messages import EntryKind, LogEntry, Message, ProposalRequest
from tansyladder.raft.node import STANDARD_COMPONENTS, RaftComponents, RaftNode
from tansyladder.raft.node_state import Membership, Role
from tansyladder.raft.persistent_state import HardState, LogSuffix, PersistentState, Snapshot, Write

MS, S = 1000, 1_000_000
LIVE = 10 * S  # after the last fault by when a proposal must go through
COPY = 500 * MS  # between two copies that are taken of a disk


class InvariantViolationError(Exception):
    """A promise was broken; the message says which, with the moment."""


class SimulatedDisk:
    """What is synced, and what was written since; a crash takes the latter back."""

    def __init__(self, ident: str) -> None:
        self.persisted = PersistentState(HardState(disk_id=ident))

    def write(self, writes: list[Write]) -> None:
        """Synced when it returns."""
        for write in writes:
            kept = self.persisted
            match write:
                case HardState():
                    self.persisted = PersistentState(write, kept.snapshot, kept.entries)
                case Snapshot():
                    rest = kept.entries[max(0, write.index - kept.snapshot.index) :]
                    self.persisted = PersistentState(kept.hard_state, write, rest)
                case LogSuffix():
                    before = kept.entries[: write.index - kept.snapshot.index - 1]
                    self.persisted = PersistentState(
                        kept.hard_state, kept.snapshot, (*before, *write.entries)
                    )


class RecordingStateMachine:
    """A state that shows any difference of order: the list of what came."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    def apply(self, data: bytes) -> bytes:
        self.commands.append(data)
        return str(len(self.commands)).encode()

    def snapshot(self) -> bytes:
        return b",".join(self.commands)

    def restore(self, dumped: bytes) -> None:
        self.commands = dumped.split(b",") if dumped else []


@dataclass
class FaultRates:
    """How bad the network and the nodes are."""

    loss_rate: float = 0.05
    duplication_rate: float = 0.05
    delay_range_us: tuple[int, int] = (1 * MS, 40 * MS)
    mean_crash_interval_us: int = 3 * S  # on the mean, of all nodes together; 0: never
    downtime_range_us: tuple[int, int] = (200 * MS, 3 * S)
    disk_loss_rate: float = 0.2  # of the crashes that take the disk with them
    disk_rollback_rate: float = 0.0  # of the crashes after which an older copy of the disk is there
    disk_suspicion_rate: float = (
        0.0  # of the other starts, those at which nothing shows that the disk is the newest
    )
    mean_cut_interval_us: int = 3 * S
    cut_duration_range_us: tuple[int, int] = (300 * MS, 4 * S)


@dataclass
class SimulatedNode:
    """One simulated node."""

    name: str
    disk: SimulatedDisk
    backup: PersistentState  # of the disk, taken some time ago
    raft: RaftNode | None = None  # none while it is down
    state_machine: RecordingStateMachine = field(default_factory=RecordingStateMachine)
    incarnation: int = 0  # counts starts, so that messages to an earlier one are lost
    timer_number: int = 0  # counts wake-ups, so that only the newest is one


class SimulatedCluster:
    """A fleet, its network and its checkers."""

    def __init__(
        self,
        seed: int,
        voters: int = 3,
        learners: int = 1,
        faults: FaultRates | None = None,
        components: RaftComponents = STANDARD_COMPONENTS,
        synced: bool = True,
    ) -> None:
        """`components`: of the nodes; `synced`: whether writes outlive crashes."""
        parts = numpy.random.SeedSequence(seed).spawn(4)
        self._network_rng, self._fault_rng, self._load_rng, seeds = (
            numpy.random.default_rng(part) for part in parts
        )
        self.now, self.faults, self._synced = 0, faults or FaultRates(), synced
        self._components = components
        self.names = [f"n{i}" for i in range(voters + learners)]
        self.voters, self.learners = self.names[:voters], self.names[voters:]
        self._node_seed_rng = seeds
        self._disks = itertools.count(1)
        self.nodes = {name: self._new_node(name) for name in self.names}
        self._queue: list[tuple[int, int, Callable[[], object]]] = []
        self._order = itertools.count()
        self._cut_links: set[tuple[str, str]] = set()  # ways on which nothing arrives
        self.leaders_by_term: dict[int, str] = {}  # by term
        self.committed_entries: list[LogEntry] = []  # as first seen
        self.results: dict[str, bytes] = {}  # requests that were answered with a result
        self._open: dict[str, str] = {}
        self._asked = itertools.count(1)
        counted = ("crashes", "wiped", "older", "doubted", "cuts", "asked", "unknown", "messages")
        self.counts = dict.fromkeys(counted, 0)
        for name in self.names:
            self.start_node(name)

    def _new_node(self, name: str) -> SimulatedNode:
        disk = self._new_disk()
        return SimulatedNode(name, disk, disk.persisted)

    def _new_disk(self) -> SimulatedDisk:
        return SimulatedDisk(f"d{next(self._disks)}")

    # --- time

    def call_at(self, moment: int, call: Callable[[], object]) -> None:
        heapq.heappush(self._queue, (max(moment, self.now), next(self._order), call))

    def run_until(self, until: int) -> None:
        """Play all that is due by a moment. Broken: a promise did not hold."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, call = heapq.heappop(self._queue)
            call()
        self.now = until

    # --- nodes

    def start_node(self, name: str) -> None:
        node = self.nodes[name]
        node.incarnation, node.state_machine = node.incarnation + 1, self._make_state_machine()
        rng = Random(int(self._node_seed_rng.integers(1 << 60)))
        membership = Membership(name, self.voters, self.learners)
        node.raft = RaftNode(
            membership, node.disk.persisted, node.state_machine, rng, self.now, self._components
        )
        self._on_node_started(node)
        self._step_node(node)

    def _make_state_machine(self) -> RecordingStateMachine:
        """What the log of a node decides, at a start."""
        return RecordingStateMachine()

    def _on_node_started(self, node: SimulatedNode) -> None:
        """A node has started, and nothing has come yet."""

    def crash(self, name: str, wipe: bool) -> None:
        """It is gone, with its disk or without."""
        node = self.nodes[name]
        node.raft = None
        self.counts["crashes"] += 1
        if wipe:
            self.counts["wiped"] += 1
            node.disk = self._new_disk()
            node.backup = node.disk.persisted

    def roll_back_disk(self, name: str) -> None:
        """A node that is down finds an older copy of its disk."""
        node = self.nodes[name]
        if node.disk.persisted != node.backup:
            self.counts["older"] += 1
            node.disk.persisted = node.backup
            self.suspect_disk(node)

    def suspect_disk(self, node: SimulatedNode) -> None:
        """As at a start that finds no witness for its disk."""
        self.counts["doubted"] += 1
        node.disk.write([msgspec.structs.replace(node.disk.persisted.hard_state, stale_disk_suspected=True)])

    def _step_node(self, node: SimulatedNode, *received: tuple[str, Message]) -> None:
        core = node.raft
        if core is None:
            return
        before, log, base = core.commit_index, list(core.log.entries), core.log.snapshot.index
        out = core.handle(self.now, received)
        log += [entry for write in out.writes if isinstance(write, LogSuffix) for entry in write.entries]
        if self._synced:
            node.disk.write(out.writes)
        else:  # terms and votes are on their way still: what a crash takes where syncs are not waited for
            founders = node.disk.persisted.hard_state.initial_disks
            node.disk.write(
                [w for w in out.writes if not isinstance(w, HardState) or w.initial_disks != founders]
            )
        self._check_step(node, before, log, base)
        self._deliver_effects(node, out)
        node.timer_number += 1
        self.call_at(core.next_deadline, partial(self._on_timer, node, node.timer_number, node.incarnation))

    def _on_timer(self, node: SimulatedNode, wait: int, start: int) -> None:
        if (node.timer_number, node.incarnation) == (wait, start):
            self._step_node(node)

    def _deliver_effects(self, node: SimulatedNode, out: Effects) -> None:
        for to, message in out.messages:
            self.counts["messages"] += 1
            copies = 1 + (self._network_rng.random() < self.faults.duplication_rate)
            for _ in range(copies):
                if self._network_rng.random() >= self.faults.loss_rate:
                    delay = int(self._network_rng.integers(*self.faults.delay_range_us))
                    self.call_at(self.now + delay, partial(self._on_message, node.name, to, message))
        for answer in out.results:
            self._open.pop(answer.request_id, None)
            if answer.result is None:
                self.counts["unknown"] += 1
            else:
                self.results[answer.request_id] = answer.result

    def _on_message(self, sender: str, to: str, message: Message) -> None:
        if (sender, to) not in self._cut_links:
            self._step_node(self.nodes[to], (sender, message))

    def propose(self, name: str) -> str:
        """One more proposal at a node."""
        request = f"r{next(self._asked)}"
        self.counts["asked"] += 1
        self._open[request] = name
        self._step_node(self.nodes[name], (name, ProposalRequest(request, request.encode())))
        return request

    # --- checkers

    def _check_step(self, node: SimulatedNode, before: int, log: list[LogEntry], base: int) -> None:
        """`log`: what there was of it behind `base`, and was added: a snapshot may have taken its place."""
        core = node.raft
        assert core is not None
        if core.role is Role.LEADER and self.leaders_by_term.setdefault(core.term, node.name) != node.name:
            raise InvariantViolationError(f"{self.now}: two leaders in term {core.term}")
        for index in range(before + 1, core.commit_index + 1):
            if index <= len(self.committed_entries):
                try:
                    entry = core.log.entry(index) if index > core.log.snapshot.index else None
                except IndexError:
                    entry = None
                if entry is not None and entry != self.committed_entries[index - 1]:
                    first = self.committed_entries[index - 1]
                    raise InvariantViolationError(
                        f"{self.now}: {node.name} commits {entry} at {index}, not {first}"
                    )
            else:
                gone = index <= core.log.snapshot.index
                self.committed_entries.append(log[index - base - 1] if gone else core.log.entry(index))
        came = [e.data for e in self.committed_entries[: core.last_applied] if e.kind is EntryKind.COMMAND]
        if node.state_machine.commands != came:
            raise InvariantViolationError(f"{self.now}: {node.name} has another state at {core.last_applied}")

    def converge(self) -> None:
        """Faults over, all up. Broken: an answered proposal is gone, or none goes through in time."""
        self._cut_links.clear()
        self.faults = FaultRates(0.0, 0.0, mean_crash_interval_us=0, mean_cut_interval_us=0)
        for name in self.names:
            if self.nodes[name].raft is None:
                self.start_node(name)
        end = self.now + LIVE
        while self.now < end:
            asked = [self.propose(name) for name in self.names]
            self.run_until(self.now + S)
            if all(request in self.results for request in asked):
                break
        else:
            raise InvariantViolationError(f"{self.now}: no proposal goes through at all nodes")
        self.run_until(self.now + 2 * S)
        logged = {e.request_id for e in self.committed_entries}
        for request in self.results:
            if request not in logged:
                raise InvariantViolationError(f"{self.now}: {request} was answered and is in no log")
        for node in self.nodes.values():
            if node.raft is not None and node.raft.commit_index != len(self.committed_entries):
                raise InvariantViolationError(
                    f"{self.now}: {node.name} is at {node.raft.commit_index} of {len(self.committed_entries)}"
                )

    # --- fate

    def inject_faults(self, seconds: float, load: int = 50 * MS) -> None:
        """Faults and proposals for so long. A majority of the voters keeps its disks between two wipes."""
        end = self.now + int(seconds * S)
        self._schedule_randomly(self.faults.mean_crash_interval_us, end, self._crash_random_node)
        self._schedule_randomly(self.faults.mean_cut_interval_us, end, self._cut_random_links)
        if self.faults.disk_rollback_rate:
            self._schedule_randomly(COPY, end, self._back_up_disk)
        self._schedule_randomly(
            load, end, lambda: self.propose(self.names[self._load_rng.integers(len(self.names))])
        )
        self.run_until(end)

    def _schedule_randomly(self, every: int, end: int, call: Callable[[], object]) -> None:
        if not every:
            return
        moment = self.now
        while (moment := moment + int(self._fault_rng.exponential(every)) + 1) < end:
            self.call_at(moment, call)

    def _crash_random_node(self) -> None:
        name = self.names[self._fault_rng.integers(len(self.names))]
        if self.nodes[name].raft is None:
            return
        # A disk may go while all other voters are up on disks that count; more at once is a majority lost.
        others = [self.nodes[v].raft for v in self.voters if v != name]
        spared = bool(others) and all(core is not None and core.is_electable for core in others)
        fate = self._fault_rng.random()
        self.crash(name, bool(spared and fate < self.faults.disk_loss_rate))
        if spared and 0 <= fate - self.faults.disk_loss_rate < self.faults.disk_rollback_rate:
            self.roll_back_disk(name)
        elif self.faults.disk_suspicion_rate and self._fault_rng.random() < self.faults.disk_suspicion_rate:
            self.suspect_disk(self.nodes[name])
        self.call_at(
            self.now + int(self._fault_rng.integers(*self.faults.downtime_range_us)),
            lambda: self._restart(name),
        )

    def _back_up_disk(self) -> None:
        node = self.nodes[self.names[self._fault_rng.integers(len(self.names))]]
        node.backup = node.disk.persisted

    def _restart(self, name: str) -> None:
        if self.nodes[name].raft is None:
            self.start_node(name)

    def _cut_random_links(self) -> None:
        """A node from all others, one pair, or one way of a pair."""
        self.counts["cuts"] += 1
        one, other = self._fault_rng.choice(self.names, 2, replace=False)
        kind = self._fault_rng.integers(3)
        ways = {(one, other)}
        if kind == 1:
            ways |= {(other, one)}
        elif kind == 2:
            ways = {way for name in self.names if name != one for way in ((one, name), (name, one))}
        ways = {(str(a), str(b)) for a, b in ways}
        self._cut_links |= ways
        end = self.now + int(self._fault_rng.integers(*self.faults.cut_duration_range_us))
        self.call_at(end, lambda: self._cut_links.difference_update(ways))


def simulate(
    seed: int,
    voters: int = 3,
    learners: int = 1,
    seconds: float = 20.0,
    faults: FaultRates | None = None,
    components: RaftComponents = STANDARD_COMPONENTS,
    synced: bool = True,
) -> SimulatedCluster:
    """One history, checked to its end. Broken: a promise did not hold."""
    world = SimulatedCluster(seed, voters, learners, faults, components, synced)
    world.inject_faults(seconds)
    world.converge()
    return world
