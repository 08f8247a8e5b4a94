"""Fleets that agree on documents, on the simulated network: who decides under which number, and when.

Each node has a clock of its own that is off by a little, decides now and then for a client, and may be
stopped and go on with all that has come meanwhile in its buffers: it decides first, and hears then. The
history says who decided under what, who found what sound, and what became of each change; the promises are
read from it.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from operator import attrgetter

import msgspec
import numpy

from tansyladder.invariants import check_invariant
from tansyladder.raft.messages import Message, ProposalRequest
from tansyladder.raft.node import STANDARD_COMPONENTS, RaftComponents
from tansyladder.raft.node_state import Role
from tansyladder.replication.document_messages import (
    ChangeOutcome,
    ChangeResult,
    DocumentCommand,
    LeaseRenewal,
    Proposal,
    ValidationVote,
)
from tansyladder.replication.documents import Documents, DocumentsSnapshot
from tansyladder.replication.lease_coordinator import LeaseCoordinator
from tansyladder.replication.lease_holder import LeaseHolder
from tansyladder.replication.units import MILLISECOND_US, SECOND_US
from tansyladder.simulation.raft_cluster import FaultRates, SimulatedCluster, SimulatedNode, SumStateMachine

NAME = "rules"
DECIDES = 15 * MILLISECOND_US  # between two clients of a node
AGAIN = 150 * MILLISECOND_US  # after which what was proposed, and is not in the log, is proposed again
HERE = 1 * SECOND_US  # between two words of a node that it is there
TICK = 20 * MILLISECOND_US  # between two looks of a leader at the change that is under way
FETCH = (
    5 * MILLISECOND_US,
    800 * MILLISECOND_US,
)  # until a node has a document's content, and has checked it
LIVE = (
    60 * SECOND_US
)  # after the last fault by when a change must go through: a lease, and arming again in between


class DocumentStateMachine(SumStateMachine):
    """The documents, and what shows any difference of order."""

    def __init__(self, voters: Sequence[str], make: Callable[[Sequence[str]], Documents]) -> None:
        super().__init__()
        self.documents = make(voters)

    def apply(self, data: bytes) -> bytes:
        super().apply(data)
        try:
            told = msgspec.msgpack.decode(data, type=DocumentCommand)
        except msgspec.MsgspecError:
            return b""  # the fleet's other load
        return msgspec.msgpack.encode(self.documents.apply(told))

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode((self.came, self.documents.snapshot()))

    def restore(self, dumped: bytes) -> None:
        self.came, kept = msgspec.msgpack.decode(dumped, type=tuple[list[bytes], DocumentsSnapshot])
        self.documents.restore(kept)


@dataclass
class DocumentNode:
    """What a node has beside its agreement, of this start."""

    follower: LeaseHolder
    steward: LeaseCoordinator
    documents: Documents
    began: int
    fetched: dict[int, str] = field(default_factory=dict)  # by number: the fault, or none
    said: dict[str, int] = field(default_factory=dict)  # what was proposed, and when


@dataclass(frozen=True)
class Decision:
    """A client of a node was served; `number`: under which, 0: under none that was ever agreed."""

    at: int
    node: str
    number: int
    stamp: int  # by the node's own clock


class SimulatedDocumentCluster(SimulatedCluster):
    """Nodes that decide for clients under the number that holds."""

    def __init__(
        self,
        seed: int,
        voters: int = 3,
        learners: int = 2,
        faults: FaultRates | None = None,
        components: RaftComponents = STANDARD_COMPONENTS,
        documents: Callable[[Sequence[str]], Documents] = Documents,
        follower: Callable[[str, Documents], LeaseHolder] = LeaseHolder,
        steward: type[LeaseCoordinator] = LeaseCoordinator,
        skew: int = 25 * MILLISECOND_US,
        bad: float = 0.15,
        stops_every: int = 4 * SECOND_US,
    ) -> None:
        """`skew`: of a clock, either way; `bad`: documents with a fault that some node finds."""
        self.seats: dict[str, DocumentNode] = {}
        self.decided: list[Decision] = []
        self.turned_away: list[tuple[int, str]] = []
        self.offered: dict[str, bool] = {}  # by ask: whether every node finds it sound
        self.found: dict[int, str] = {}  # by number: the ask, as it was first seen
        self.ends: dict[str, ChangeResult] = {}
        self.no_to: set[int] = set()  # numbers that some node found a fault in
        self._documents, self._follower, self._steward = documents, follower, steward
        self._bad, self._stops_every = bad, stops_every
        self._stopped: dict[str, list[tuple[str, Message]]] = {}
        self._contents: dict[str, set[int]] = defaultdict(
            set
        )  # by node: numbers whose content is on its disk
        self.skews: dict[str, int] = {}
        self.skew = skew
        super().__init__(seed, voters, learners, faults, components)
        self.counts |= {"stops": 0, "decisions": 0}
        for name in self.names:
            self.at(int(self._load.integers(DECIDES)), partial(self._decide, name))

    # --- one node

    def _clock(self, name: str) -> int:
        if name not in self.skews:
            self.skews[name] = int(self._net.integers(-self.skew, self.skew + 1))
        return self.now + self.skews[name] + 100 * SECOND_US

    def _new_state(self) -> SumStateMachine:
        return DocumentStateMachine(self.voters, self._documents)

    def _begin(self, node: SimulatedNode) -> None:
        start = f"{node.name}/{node.start}"
        assert isinstance(node.sums, DocumentStateMachine)
        documents = node.sums.documents
        seat = DocumentNode(
            self._follower(start, documents), self._steward(start, documents), documents, self.now
        )
        self.seats[node.name] = seat
        self._tick(node.name, node.start)
        self._say_here(node.name, node.start)

    def _tick(self, name: str, start: int) -> None:
        node = self.nodes[name]
        if node.start != start or node.core is None:
            return
        if name not in self._stopped:
            self._look(node)
        self.at(self.now + TICK, partial(self._tick, name, start))

    def _say_here(self, name: str, start: int) -> None:
        node = self.nodes[name]
        if node.start != start or node.core is None:
            return
        if name not in self._stopped:
            for other in self.names:
                self._send(name, other, LeaseRenewal(self.seats[name].follower.incarnation))
        self.at(self.now + HERE, partial(self._say_here, name, start))

    def _send(self, name: str, to: str, here: LeaseRenewal) -> None:
        if to == name:
            self.seats[name].steward.record_renewal(here.incarnation, self._clock(name))
        elif self._net.random() >= self.faults.loss:
            self.at(
                self.now + int(self._net.integers(*self.faults.delay)), partial(self._heard, name, to, here)
            )

    def _heard(self, sender: str, to: str, here: LeaseRenewal) -> None:
        if (sender, to) not in self._cuts and to not in self._stopped and self.nodes[to].core is not None:
            self.seats[to].steward.record_renewal(here.incarnation, self._clock(to))

    def _arrive(self, sender: str, to: str, message: Message) -> None:
        if to in self._stopped:
            if (sender, to) not in self._cuts:
                self._stopped[to].append((sender, message))
        else:
            super()._arrive(sender, to, message)

    def _wake(self, node: SimulatedNode, wait: int, start: int) -> None:
        if node.name in self._stopped:
            self.at(self.now + TICK, partial(self._wake, node, wait, start))
        else:
            super()._wake(node, wait, start)

    def _step(self, node: SimulatedNode, *received: tuple[str, Message]) -> None:
        if node.name in self._stopped:  # the rig's own proposals to it
            self._stopped[node.name] += received
            return
        if node.core is not None and node.name in self.seats:
            node.core.announces_commits_at_once = self.seats[node.name].steward.is_urgent(
                self._clock(node.name)
            )
        super()._step(node, *received)
        if node.core is not None and node.name in self.seats:
            self._arm(node)

    def _arm(self, node: SimulatedNode) -> None:
        """At once after entries: a lease is cut before anything else is said."""
        told = self.seats[node.name].follower.prepare(self._clock(node.name))
        if told is not None:
            self._say(node, told, f"armed {told.number} {told.round}")

    def _say(self, node: SimulatedNode, entry: DocumentCommand, key: str) -> None:
        """Propose an entry of the node's own; once more where it is not in the log after a while."""
        seat = self.seats[node.name]
        if self.now - seat.said.get(key, -AGAIN) >= AGAIN:
            seat.said[key] = self.now
            request = f"{seat.follower.incarnation}:{key}:{self.now}"
            data = msgspec.msgpack.encode(entry)
            self.at(self.now, partial(self._propose_entry, node, node.start, request, data))

    def _propose_entry(self, node: SimulatedNode, start: int, request: str, data: bytes) -> None:
        if node.start == start:
            self._step(node, (node.name, ProposalRequest(request, data)))

    def _look(self, node: SimulatedNode) -> None:
        core, seat, clock = node.core, self.seats[node.name], self._clock(node.name)
        assert core is not None
        change = seat.follower.change_to_validate()
        if change is not None:
            self.found.setdefault(change.number, change.idempotency_key)
            if change.number not in seat.fetched:
                seat.fetched[change.number] = "?"
                after = self.now + int(self._net.integers(*FETCH))
                self.at(
                    after, partial(self._fetched, node, node.start, change.number, change.idempotency_key)
                )
            elif seat.fetched[change.number] != "?":
                verdict = ValidationVote(
                    change.number, seat.follower.incarnation, clock, seat.fetched[change.number]
                )
                self._say(node, verdict, f"verdict {change.number}")
        for version in seat.documents.versions(NAME)[-1:]:  # one that it was not there for
            if version.number not in self._contents[node.name] and version.number not in seat.fetched:
                seat.fetched[version.number] = "?"
                after = self.now + int(self._net.integers(*FETCH))
                self.at(after, partial(self._brought, node, node.start, version.number))
        self._arm(node)
        for ask, ruled in seat.documents.results.items():
            first = self.ends.setdefault(ask, ruled)
            check_invariant(first == ruled, "two_ends_of_a_change")
        if core.role is Role.LEADER:
            for entry in seat.steward.next_commands(clock):
                self._say(node, entry, type(entry).__name__)
        else:
            seat.steward.reset()

    def _fetched(self, node: SimulatedNode, start: int, number: int, ask: str) -> None:
        if node.start == start and node.core is not None:
            sound = self.offered[ask] or node.name != self.names[hash_of(ask) % len(self.names)]
            self.seats[node.name].fetched[number] = "" if sound else "rules.zones: no such zone"
            self._contents[node.name].add(number)
            if not sound:
                self.no_to.add(number)

    def _brought(self, node: SimulatedNode, start: int, number: int) -> None:
        if node.start == start:
            self._contents[node.name].add(number)

    def _decide(self, name: str) -> None:
        node = self.nodes[name]
        if node.core is not None and name not in self._stopped:
            self._serve(name)
        self.at(self.now + DECIDES, partial(self._decide, name))

    def _serve(self, name: str) -> None:
        seat, clock = self.seats[name], self._clock(name)
        self.counts["decisions"] += 1
        version = seat.documents.version_at(NAME, clock)
        if seat.follower.has_lease(clock) and (version is None or version.number in self._contents[name]):
            self.decided.append(Decision(self.now, name, version.number if version else 0, clock))
        else:
            self.turned_away.append((self.now, name))

    # --- what happens to them

    def offer(self, name: str, sound: bool = True) -> str:
        """Somebody asks a node for a change; the ask, to look for in `ends`."""
        ask = f"ask{len(self.offered)}"
        self.offered[ask] = sound
        self._ask(name, ask, self.now + LIVE)
        return ask

    def _ask(self, name: str, ask: str, until: int) -> None:
        """Again until it is heard that it is over: an answer that was lost may have been a yes."""
        if ask in self.ends or self.now > until:
            return
        node = self.nodes[name]
        if node.core is not None and name not in self._stopped:
            offer = Proposal(
                NAME, ask.encode(), 100, ask, self.seats[name].follower.incarnation, self._clock(name)
            )
            self._say(node, offer, f"offer {ask}")
        self.at(self.now + 2 * AGAIN, partial(self._ask, name, ask, until))

    def stop(self, name: str, length: int) -> None:
        """It stands still, and then goes on with all that has come in its buffers: clients first."""
        if name not in self._stopped and self.nodes[name].core is not None:
            self.counts["stops"] += 1
            self._stopped[name] = []
            self.at(self.now + length, partial(self._go_on, name, self.nodes[name].start))

    def _go_on(self, name: str, start: int) -> None:
        came, node = self._stopped.pop(name, []), self.nodes[name]
        if node.core is None or node.start != start:
            return
        self._serve(name)
        for one in came:
            self._step(node, one)

    def crash(self, name: str, wipe: bool) -> None:
        self._stopped.pop(name, None)
        if wipe:
            self._contents[name].clear()
        super().crash(name, wipe)

    def trouble(self, seconds: float) -> None:
        """Faults, changes and clients for so long."""
        end = self.now + int(seconds * SECOND_US)

        def one(draw: numpy.random.Generator) -> str:
            return self.names[draw.integers(len(self.names))]

        def length() -> int:
            return int(self._fate.integers(SECOND_US // 5, 12 * SECOND_US))

        if self._stops_every:
            self._plan(self._stops_every, end, lambda: self.stop(one(self._fate), length()))
        self._plan(
            3 * SECOND_US, end, lambda: self.offer(one(self._load), bool(self._load.random() >= self._bad))
        )
        self.storm(seconds, 500 * MILLISECOND_US)

    def settle(self) -> None:
        """Faults over, all up: a change goes through everywhere in time."""
        self._cuts.clear()
        self.faults = FaultRates(0.0, 0.0, crash_every=0, cut_every=0)
        for name in self.names:
            if self.nodes[name].core is None:
                self._up(name)
        self.run(self.now + 13 * SECOND_US)  # the last of the stops has ended
        self.quiet_from = self.now
        until = self.now + 2 * LIVE
        last = ""
        while self.now < until and not (
            last and self.ends.get(last, ChangeResult(ChangeOutcome.UNKNOWN)).outcome == ChangeOutcome.DONE
        ):
            if not last or last in self.ends:
                last = self.offer(self.names[0])
            self.run(self.now + SECOND_US)
        self.run(self.now + 3 * SECOND_US)
        self.last = last


def hash_of(text: str) -> int:
    """The same at each run."""
    return sum(text.encode())


def found(fleet: SimulatedDocumentCluster) -> list[str]:
    """The promises, each read from the history of a fleet that has settled."""
    out: list[str] = []
    for order in ("stamp", "at"):  # by their own clocks; and in truth, but for what these differ by
        newest, first = 0, 0
        room = 2 * fleet.skew if order == "at" else 0
        for decision in sorted(fleet.decided, key=attrgetter(order)):
            if decision.number > newest:
                newest, first = decision.number, getattr(decision, order)
            elif decision.number < newest and getattr(decision, order) > first + room:
                out.append(f"{decision.at}: {decision.node} decides under {decision.number} after {newest}")
                break
    used = {decision.number for decision in fleet.decided}
    asks = {number: fleet.ends.get(ask) for number, ask in fleet.found.items()}
    for number in sorted(used - {0}):
        ended = asks.get(number)
        if ended is None or ended.outcome != ChangeOutcome.DONE:
            out.append(f"number {number} is decided under and ended {ended}")
    out += [f"number {number} holds after a no" for number in sorted(used & fleet.no_to)]
    if fleet.ends.get(fleet.last, ChangeResult(ChangeOutcome.UNKNOWN)).outcome != ChangeOutcome.DONE:
        out.append(f"no change goes through: {fleet.last} {fleet.ends.get(fleet.last)}")
    else:
        now_under = {name: 0 for name in fleet.names}
        for decision in fleet.decided:
            if decision.at > fleet.now - SECOND_US:
                now_under[decision.node] = decision.number
        if len(set(now_under.values())) > 1:
            out.append(f"at the end nodes follow {now_under}")
        late = [at for at, _ in fleet.turned_away if at > fleet.now - 2 * SECOND_US]
        if late:
            out.append(f"{len(late)} clients turned away with nothing wrong")
    return out


def play(seed: int, seconds: float = 40.0, **how: object) -> SimulatedDocumentCluster:
    """One history to its end."""
    fleet = SimulatedDocumentCluster(seed, **how)  # type: ignore[arg-type]
    fleet.trouble(seconds)
    fleet.settle()
    return fleet
