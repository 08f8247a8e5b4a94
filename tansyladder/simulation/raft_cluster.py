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


class InvariantViolation(Exception):
    """A promise was broken; the message says which, with the moment."""


class SimulatedDisk:
    """What is synced, and what was written since; a crash takes the latter back."""

    def __init__(self, ident: str) -> None:
        self.kept = PersistentState(HardState(disk_id=ident))

    def write(self, writes: list[Write]) -> None:
        """Synced when it returns."""
        for write in writes:
            kept = self.kept
            match write:
                case HardState():
                    self.kept = PersistentState(write, kept.snapshot, kept.entries)
                case Snapshot():
                    rest = kept.entries[max(0, write.index - kept.snapshot.index) :]
                    self.kept = PersistentState(kept.hard_state, write, rest)
                case LogSuffix():
                    before = kept.entries[: write.index - kept.snapshot.index - 1]
                    self.kept = PersistentState(kept.hard_state, kept.snapshot, (*before, *write.entries))


class SumStateMachine:
    """A state that shows any difference of order: the list of what came."""

    def __init__(self) -> None:
        self.came: list[bytes] = []

    def apply(self, data: bytes) -> bytes:
        self.came.append(data)
        return str(len(self.came)).encode()

    def snapshot(self) -> bytes:
        return b",".join(self.came)

    def restore(self, dumped: bytes) -> None:
        self.came = dumped.split(b",") if dumped else []


@dataclass
class FaultRates:
    """How bad the network and the nodes are."""

    loss: float = 0.05
    doubled: float = 0.05
    delay: tuple[int, int] = (1 * MS, 40 * MS)
    crash_every: int = 3 * S  # on the mean, of all nodes together; 0: never
    down: tuple[int, int] = (200 * MS, 3 * S)
    wiped: float = 0.2  # of the crashes that take the disk with them
    older: float = 0.0  # of the crashes after which an older copy of the disk is there
    doubted: float = 0.0  # of the other starts, those at which nothing shows that the disk is the newest
    cut_every: int = 3 * S
    cut: tuple[int, int] = (300 * MS, 4 * S)


@dataclass
class SimulatedNode:
    """One simulated node."""

    name: str
    disk: SimulatedDisk
    copy: PersistentState  # of the disk, taken some time ago
    core: RaftNode | None = None  # none while it is down
    sums: SumStateMachine = field(default_factory=SumStateMachine)
    start: int = 0  # counts starts, so that messages to an earlier one are lost
    waits: int = 0  # counts wake-ups, so that only the newest is one


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
        self._net, self._fate, self._load, seeds = (numpy.random.default_rng(part) for part in parts)
        self.now, self.faults, self._synced = 0, faults or FaultRates(), synced
        self._components = components
        self.names = [f"n{i}" for i in range(voters + learners)]
        self.voters, self.learners = self.names[:voters], self.names[voters:]
        self._seeds = seeds
        self._disks = itertools.count(1)
        self.nodes = {name: self._new_node(name) for name in self.names}
        self._queue: list[tuple[int, int, Callable[[], object]]] = []
        self._order = itertools.count()
        self._cuts: set[tuple[str, str]] = set()  # ways on which nothing arrives
        self.leaders: dict[int, str] = {}  # by term
        self.committed: list[LogEntry] = []  # as first seen
        self.answered: dict[str, bytes] = {}  # requests that were answered with a result
        self._open: dict[str, str] = {}
        self._asked = itertools.count(1)
        counted = ("crashes", "wiped", "older", "doubted", "cuts", "asked", "unknown", "messages")
        self.counts = dict.fromkeys(counted, 0)
        for name in self.names:
            self._up(name)

    def _new_node(self, name: str) -> SimulatedNode:
        disk = self._new_disk()
        return SimulatedNode(name, disk, disk.kept)

    def _new_disk(self) -> SimulatedDisk:
        return SimulatedDisk(f"d{next(self._disks)}")

    # --- time

    def at(self, moment: int, call: Callable[[], object]) -> None:
        heapq.heappush(self._queue, (max(moment, self.now), next(self._order), call))

    def run(self, until: int) -> None:
        """Play all that is due by a moment. Broken: a promise did not hold."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, call = heapq.heappop(self._queue)
            call()
        self.now = until

    # --- nodes

    def _up(self, name: str) -> None:
        node = self.nodes[name]
        node.start, node.sums = node.start + 1, self._new_state()
        rng = Random(int(self._seeds.integers(1 << 60)))
        membership = Membership(name, self.voters, self.learners)
        node.core = RaftNode(membership, node.disk.kept, node.sums, rng, self.now, self._components)
        self._begin(node)
        self._step(node)

    def _new_state(self) -> SumStateMachine:
        """What the log of a node decides, at a start."""
        return SumStateMachine()

    def _begin(self, node: SimulatedNode) -> None:
        """A node has started, and nothing has come yet."""

    def crash(self, name: str, wipe: bool) -> None:
        """It is gone, with its disk or without."""
        node = self.nodes[name]
        node.core = None
        self.counts["crashes"] += 1
        if wipe:
            self.counts["wiped"] += 1
            node.disk = self._new_disk()
            node.copy = node.disk.kept

    def set_back(self, name: str) -> None:
        """A node that is down finds an older copy of its disk."""
        node = self.nodes[name]
        if node.disk.kept != node.copy:
            self.counts["older"] += 1
            node.disk.kept = node.copy
            self._doubt(node)

    def _doubt(self, node: SimulatedNode) -> None:
        """As at a start that finds no witness for its disk."""
        self.counts["doubted"] += 1
        node.disk.write([msgspec.structs.replace(node.disk.kept.hard_state, stale_disk_suspected=True)])

    def _step(self, node: SimulatedNode, *received: tuple[str, Message]) -> None:
        core = node.core
        if core is None:
            return
        before, log, base = core.commit_index, list(core.log.entries), core.log.snapshot.index
        out = core.handle(self.now, received)
        log += [entry for write in out.writes if isinstance(write, LogSuffix) for entry in write.entries]
        if self._synced:
            node.disk.write(out.writes)
        else:  # terms and votes are on their way still: what a crash takes where syncs are not waited for
            founders = node.disk.kept.hard_state.initial_disks
            node.disk.write(
                [w for w in out.writes if not isinstance(w, HardState) or w.initial_disks != founders]
            )
        self._check(node, before, log, base)
        self._carry(node, out)
        node.waits += 1
        self.at(core.next_deadline, partial(self._wake, node, node.waits, node.start))

    def _wake(self, node: SimulatedNode, wait: int, start: int) -> None:
        if (node.waits, node.start) == (wait, start):
            self._step(node)

    def _carry(self, node: SimulatedNode, out: Effects) -> None:
        for to, message in out.messages:
            self.counts["messages"] += 1
            copies = 1 + (self._net.random() < self.faults.doubled)
            for _ in range(copies):
                if self._net.random() >= self.faults.loss:
                    delay = int(self._net.integers(*self.faults.delay))
                    self.at(self.now + delay, partial(self._arrive, node.name, to, message))
        for answer in out.results:
            self._open.pop(answer.request_id, None)
            if answer.result is None:
                self.counts["unknown"] += 1
            else:
                self.answered[answer.request_id] = answer.result

    def _arrive(self, sender: str, to: str, message: Message) -> None:
        if (sender, to) not in self._cuts:
            self._step(self.nodes[to], (sender, message))

    def propose(self, name: str) -> str:
        """One more proposal at a node."""
        request = f"r{next(self._asked)}"
        self.counts["asked"] += 1
        self._open[request] = name
        self._step(self.nodes[name], (name, ProposalRequest(request, request.encode())))
        return request

    # --- checkers

    def _check(self, node: SimulatedNode, before: int, log: list[LogEntry], base: int) -> None:
        """`log`: what there was of it behind `base`, and was added: a snapshot may have taken its place."""
        core = node.core
        assert core is not None
        if core.role is Role.LEADER and self.leaders.setdefault(core.term, node.name) != node.name:
            raise InvariantViolation(f"{self.now}: two leaders in term {core.term}")
        for index in range(before + 1, core.commit_index + 1):
            if index <= len(self.committed):
                try:
                    entry = core.log.entry(index) if index > core.log.snapshot.index else None
                except IndexError:
                    entry = None
                if entry is not None and entry != self.committed[index - 1]:
                    first = self.committed[index - 1]
                    raise InvariantViolation(
                        f"{self.now}: {node.name} commits {entry} at {index}, not {first}"
                    )
            else:
                gone = index <= core.log.snapshot.index
                self.committed.append(log[index - base - 1] if gone else core.log.entry(index))
        came = [e.data for e in self.committed[: core.last_applied] if e.kind is EntryKind.COMMAND]
        if node.sums.came != came:
            raise InvariantViolation(f"{self.now}: {node.name} has another state at {core.last_applied}")

    def finish(self) -> None:
        """Faults over, all up. Broken: an answered proposal is gone, or none goes through in time."""
        self._cuts.clear()
        self.faults = FaultRates(0.0, 0.0, crash_every=0, cut_every=0)
        for name in self.names:
            if self.nodes[name].core is None:
                self._up(name)
        end = self.now + LIVE
        while self.now < end:
            asked = [self.propose(name) for name in self.names]
            self.run(self.now + S)
            if all(request in self.answered for request in asked):
                break
        else:
            raise InvariantViolation(f"{self.now}: no proposal goes through at all nodes")
        self.run(self.now + 2 * S)
        logged = {e.request_id for e in self.committed}
        for request in self.answered:
            if request not in logged:
                raise InvariantViolation(f"{self.now}: {request} was answered and is in no log")
        for node in self.nodes.values():
            if node.core is not None and node.core.commit_index != len(self.committed):
                raise InvariantViolation(
                    f"{self.now}: {node.name} is at {node.core.commit_index} of {len(self.committed)}"
                )

    # --- fate

    def storm(self, seconds: float, load: int = 50 * MS) -> None:
        """Faults and proposals for so long. A majority of the voters keeps its disks between two wipes."""
        end = self.now + int(seconds * S)
        self._plan(self.faults.crash_every, end, self._random_crash)
        self._plan(self.faults.cut_every, end, self._random_cut)
        if self.faults.older:
            self._plan(COPY, end, self._copy)
        self._plan(load, end, lambda: self.propose(self.names[self._load.integers(len(self.names))]))
        self.run(end)

    def _plan(self, every: int, end: int, call: Callable[[], object]) -> None:
        if not every:
            return
        moment = self.now
        while (moment := moment + int(self._fate.exponential(every)) + 1) < end:
            self.at(moment, call)

    def _random_crash(self) -> None:
        name = self.names[self._fate.integers(len(self.names))]
        if self.nodes[name].core is None:
            return
        # A disk may go while all other voters are up on disks that count; more at once is a majority lost.
        others = [self.nodes[v].core for v in self.voters if v != name]
        spared = bool(others) and all(core is not None and core.is_electable for core in others)
        fate = self._fate.random()
        self.crash(name, bool(spared and fate < self.faults.wiped))
        if spared and 0 <= fate - self.faults.wiped < self.faults.older:
            self.set_back(name)
        elif self.faults.doubted and self._fate.random() < self.faults.doubted:
            self._doubt(self.nodes[name])
        self.at(self.now + int(self._fate.integers(*self.faults.down)), lambda: self._back(name))

    def _copy(self) -> None:
        node = self.nodes[self.names[self._fate.integers(len(self.names))]]
        node.copy = node.disk.kept

    def _back(self, name: str) -> None:
        if self.nodes[name].core is None:
            self._up(name)

    def _random_cut(self) -> None:
        """A node from all others, one pair, or one way of a pair."""
        self.counts["cuts"] += 1
        one, other = self._fate.choice(self.names, 2, replace=False)
        kind = self._fate.integers(3)
        ways = {(one, other)}
        if kind == 1:
            ways |= {(other, one)}
        elif kind == 2:
            ways = {way for name in self.names if name != one for way in ((one, name), (name, one))}
        ways = {(str(a), str(b)) for a, b in ways}
        self._cuts |= ways
        end = self.now + int(self._fate.integers(*self.faults.cut))
        self.at(end, lambda: self._cuts.difference_update(ways))


def play(
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
    world.storm(seconds)
    world.finish()
    return world
