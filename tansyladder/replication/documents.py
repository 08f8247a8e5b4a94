"""Agreed documents: content with a name and a number that only grows, which holds at all nodes or at none.

What decides, and what follows it, stand here; no I/O, no clock. Times are microseconds of Unix time, told by
who proposes. The log holds digests; the content goes between nodes by itself, once.

A node decides under a document only as long as it holds a *lease*, which an entry of the log gives to one
start of it. So whoever is down, cut off or stopped can't act on what it knows for longer than that, and who
starts anew has none, whatever its disk says, until an entry that was made after its start has reached it.

A change goes in three steps. *Offered*: every node that holds a lease gets the content, keeps it, checks it,
and says yes or no; one no is a no. *Armed*: once all who hold a lease have said yes, each of them cuts its
own lease to a short one, and says so. *Held*: once all of these have, the entry that puts the document in
force names the moment from which it is, which is when the last lease ends that was held under the one
before. Who has heard of that entry by then goes from the one to the other at that moment; who has not has no
lease any more, and can get none without having heard of it. Who does not answer at all holds a change up
until its lease has ended.

All of it is by the nodes' own clocks: what is decided under one number is stamped before what is under the
next. What two clocks differ by is the error that this has.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from enum import IntEnum

import msgspec

MOST_SIZE = 1 << 20  # bytes of content
MOST_NAMES = 64
MOST_STARTS = 1024  # that hold a lease, or did until a moment ago
ENDS_KEPT = 128  # changes whose end is told to who asks again
BEFORE = 8  # earlier versions of a document that are known

S, MS = 1_000_000, 1000


class Proposal(msgspec.Struct, frozen=True, array_like=True, tag="offer"):
    """Somebody wants a document changed. `ask` names the wish: said again, it is the same one."""

    name: str
    digest: bytes
    size: int
    ask: str
    by: str
    at: int


class ValidationVote(msgspec.Struct, frozen=True, array_like=True, tag="verdict"):
    """A node has the content on its disk and finds it sound, or says with the fault's path why not."""

    number: int
    by: str
    at: int
    fault: str = ""


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag="arm"):
    """All have said yes: from here on leases are short."""

    number: int
    by: str
    at: int
    short: int


class Prepared(msgspec.Struct, frozen=True, array_like=True, tag="armed"):
    """A node has cut its lease to the short one, counted from `at`, in that round."""

    number: int
    round: int
    by: str
    at: int


class Commit(msgspec.Struct, frozen=True, array_like=True, tag="hold"):
    """All have armed, or hold no lease: the document is to be in force."""

    number: int
    by: str
    at: int


class Abort(msgspec.Struct, frozen=True, array_like=True, tag="drop"):
    """The change is off; or with no reason: its leases need not be short for now."""

    number: int
    by: str
    at: int
    why: str = ""


class LeaseGrant(msgspec.Struct, frozen=True, array_like=True, tag="lease"):
    """These starts of nodes were heard of a moment ago, and may decide for so long."""

    to: tuple[str, ...]
    length: int
    by: str
    at: int


class LeaseRelease(msgspec.Struct, frozen=True, array_like=True, tag="leave"):
    """A node decides nothing any more, and gives back its lease."""

    by: str
    at: int


Entry = Proposal | ValidationVote | Prepare | Prepared | Commit | Abort | LeaseGrant | LeaseRelease


class LeaseRenewal(msgspec.Struct, frozen=True, array_like=True, tag="here"):
    """To the leader, beside the log: a node's start is there, and wants to go on deciding."""

    start: str


class ChangeResult(msgspec.Struct, frozen=True, array_like=True):
    """What became of an entry: `done`, or a word for why not; the number that it is about."""

    word: str
    number: int = 0
    why: str = ""


class ChangePhase(IntEnum):
    """How far a change is."""

    OFFERED = 1
    ARMED = 2


class Version(msgspec.Struct, frozen=True, array_like=True):
    """A document that holds, or did; `since`: the moment from which it does."""

    number: int
    digest: bytes
    size: int
    since: int


def holding_at(versions: Sequence[Version], at: int) -> Version | None:
    """Of a document's versions, the newest last, the one that holds at a moment."""
    return next((version for version in reversed(versions) if version.since <= at), None)


class PendingChange(msgspec.Struct, array_like=True):
    """The change that is under way: one in the whole fleet."""

    name: str
    number: int  # counts the changes of all documents
    digest: bytes
    size: int
    ask: str
    at: int
    stage: ChangePhase = ChangePhase.OFFERED
    yes: set[str] = msgspec.field(default_factory=set)
    round: int = 0  # counts the times that it was armed
    armed_at: int = 0
    short: int = 0
    must: set[str] = msgspec.field(default_factory=set)  # who held a lease when it was armed
    armed: set[str] = msgspec.field(default_factory=set)


class DocumentsSnapshot(msgspec.Struct, array_like=True):
    """All of the state, in the order of a snapshot."""

    number: int = 0
    held: dict[str, list[Version]] = {}  # the newest last
    change: PendingChange | None = None
    leases: dict[str, int] = {}  # by start: until when
    ends: list[tuple[str, ChangeResult]] = []
    latest: int = 0


def node_of(start: str) -> str:
    """The node's name in the name of one of its starts."""
    return start.partition("/")[0]


class Documents:
    """The state that the log decides: the same entries give the same state everywhere."""

    def __init__(self, voters: Sequence[str]) -> None:
        """`voters`: of the log, by name: most of them must have a document's content before it holds."""
        self._voters = frozenset(voters)
        self._number = 0
        self._held: dict[str, list[Version]] = {}
        self.change: PendingChange | None = None
        self.leases: dict[str, int] = {}
        self.ends: OrderedDict[str, ChangeResult] = OrderedDict()
        self.latest = 0  # the latest time that an entry told

    # --- what others may look at

    def version(self, name: str, at: int) -> Version | None:
        """The version that holds at a moment."""
        return holding_at(self._held.get(name, ()), at)

    def versions(self, name: str) -> tuple[Version, ...]:
        """Those that are known, the newest last: it may hold from a moment to come."""
        return tuple(self._held.get(name, ()))

    def names(self) -> list[str]:
        """Of all documents."""
        return sorted(self._held)

    def digests(self) -> set[bytes]:
        """Of all content that may be asked for."""
        found = {v.digest for versions in self._held.values() for v in versions}
        return found | ({self.change.digest} if self.change else set())

    # --- entries

    def apply(self, told: Entry) -> ChangeResult:
        """Take in an entry."""
        self.latest = max(self.latest, told.at)
        match told:
            case Proposal():
                return self._offer(told)
            case LeaseGrant():
                return self._lease(told)
            case LeaseRelease():
                self.leases.pop(told.by, None)
                return ChangeResult("done")
        change = self.change
        if change is None or change.number != told.number:
            return ChangeResult("over", told.number)
        match told:
            case ValidationVote():
                return self._verdict(change, told)
            case Prepare():
                return self._arm(change, told)
            case Prepared():
                return self._armed(change, told)
            case Commit():
                return self._hold(change, told)
        return self._drop(change, told)

    def _offer(self, told: Proposal) -> ChangeResult:
        if told.ask in self.ends:
            return self.ends[told.ask]
        if self.change is not None:
            same = self.change.ask == told.ask
            return ChangeResult(
                "under way" if same else "busy", self.change.number, "" if same else self.change.name
            )
        if not 0 < told.size <= MOST_SIZE:
            return ChangeResult("refused", 0, f"size: from 1 to {MOST_SIZE} bytes")
        if told.name not in self._held and len(self._held) >= MOST_NAMES:
            return ChangeResult("refused", 0, f"name: there are {MOST_NAMES} documents")
        self._number += 1
        self.change = PendingChange(told.name, self._number, told.digest, told.size, told.ask, told.at)
        return ChangeResult("under way", self._number)

    def _lease(self, told: LeaseGrant) -> ChangeResult:
        if self.change is not None and self.change.stage is ChangePhase.ARMED:
            return ChangeResult("armed")  # what is held now is counted on to end
        leases = dict(self.leases)  # anew: other threads read the one that there was
        for start in told.to:
            if start in leases or len(leases) < MOST_STARTS:
                leases[start] = max(told.at + told.length, leases.get(start, 0))
        # One that ended so long ago holds nothing up on any clock.
        self.leases = {start: until for start, until in leases.items() if until > self.latest - told.length}
        return ChangeResult("done")

    def _verdict(self, change: PendingChange, told: ValidationVote) -> ChangeResult:
        if told.fault:
            return self._end(
                change, ChangeResult("refused", change.number, f"{node_of(told.by)}: {told.fault}")
            )
        change.yes.add(told.by)
        return ChangeResult("done", change.number)

    def _arm(self, change: PendingChange, told: Prepare) -> ChangeResult:
        holding = {start for start, until in self.leases.items() if until > told.at}
        if change.stage is ChangePhase.ARMED or self.waited_for(change, holding):
            return ChangeResult("early", change.number)
        change.round, change.must, change.armed = change.round + 1, holding, set()
        change.armed_at, change.short = told.at, told.short
        change.stage = ChangePhase.ARMED
        return ChangeResult("done", change.number)

    def waited_for(self, change: PendingChange, holding: set[str]) -> set[str]:
        """Who has to say yes still; among them voters, as long as most of them have not."""
        voters = {node_of(start) for start in change.yes} & self._voters
        missing = set() if len(voters) * 2 > len(self._voters) else self._voters - voters
        return (holding - change.yes) | missing

    def _armed(self, change: PendingChange, told: Prepared) -> ChangeResult:
        if change.stage is not ChangePhase.ARMED or change.round != told.round or told.by not in change.must:
            return ChangeResult("over", change.number)
        # Its own word of when its lease ends; what an earlier entry gave is void from that moment.
        self.leases[told.by] = min(self.leases.get(told.by, 0), told.at + change.short)
        change.armed.add(told.by)
        return ChangeResult("done", change.number)

    def _hold(self, change: PendingChange, told: Commit) -> ChangeResult:
        if change.stage is not ChangePhase.ARMED or self.unarmed(change, told.at):
            return ChangeResult("early", change.number)
        since = max([told.at, *self.leases.values()])
        held = [*self._held.get(change.name, ()), Version(change.number, change.digest, change.size, since)]
        self._held[change.name] = held[-BEFORE - 1 :]
        return self._end(change, ChangeResult("done", change.number))

    def unarmed(self, change: PendingChange, at: int) -> set[str]:
        """Who may decide under the document before for longer than a short lease."""
        return {s for s in change.must - change.armed if self.leases.get(s, 0) > at}

    def _drop(self, change: PendingChange, told: Abort) -> ChangeResult:
        if told.why:
            return self._end(change, ChangeResult("dropped", change.number, told.why))
        change.stage = ChangePhase.OFFERED
        return ChangeResult("done", change.number)

    def _end(self, change: PendingChange, ruled: ChangeResult) -> ChangeResult:
        self.change = None
        self.ends[change.ask] = ruled
        while len(self.ends) > ENDS_KEPT:
            self.ends.popitem(last=False)
        return ruled

    # --- snapshots

    def dump(self) -> DocumentsSnapshot:
        return DocumentsSnapshot(
            self._number, self._held, self.change, self.leases, list(self.ends.items()), self.latest
        )

    def load(self, kept: DocumentsSnapshot) -> None:
        self._number, self._held, self.change = kept.number, dict(kept.held), kept.change
        self.leases, self.ends, self.latest = dict(kept.leases), OrderedDict(kept.ends), kept.latest


class LeaseHolder:
    """One start of a node: what it may decide under, and what it owes to a change."""

    def __init__(self, me: str, documents: Documents) -> None:
        """`me`: the node and its start; the documents as far as this node has heard the log."""
        self.me, self._documents = me, documents
        self._armed = (0, 0)  # number and round that it has armed for
        self._bound = 0  # when its lease ends at the latest, as long as the log does not have that

    def until(self) -> int:
        """When its lease ends, by its own clock."""
        until = self._documents.leases.get(self.me, 0)
        change = self._documents.change
        if (
            change is not None
            and (change.number, change.round) == self._armed
            and self.me not in change.armed
        ):
            until = min(until, self._bound)
        return until

    def may_decide(self, at: int) -> bool:
        """Whether this start holds a lease at a moment of its own clock."""
        return at < self.until()

    def version(self, name: str, at: int) -> Version | None:
        """What it decides under, where it may."""
        return self._documents.version(name, at)

    def check(self) -> PendingChange | None:
        """The change that it has to fetch, check and say its verdict on."""
        change = self._documents.change
        return change if change is not None and self.me not in change.yes else None

    def arm(self, at: int) -> Prepared | None:
        """After entries were taken in: what it has to say of its lease, which is cut by then."""
        change = self._documents.change
        if change is None or change.stage is not ChangePhase.ARMED:
            return None
        if self.me in change.armed or self.me not in change.must:
            return None
        if self._armed != (change.number, change.round):
            self._armed, self._bound = (change.number, change.round), at + change.short
        return Prepared(change.number, change.round, self.me, self._bound - change.short)


class LeaseCoordinator:
    """What the leader does for leases and for the change that is under way; others' stewards rest.

    Nothing rests on it: what it proposes too early, or as a leader of the past, the log turns down.
    """

    LENGTH = 30 * S  # of a lease
    SHORT = 300 * MS
    CHECK = 10 * S  # in which who is heard of has to say yes or no
    AGAIN = 100 * MS  # between two entries of one kind
    PATIENCE = 180 * MS  # for all to arm, before leases are given anew
    PAUSE = 200 * MS  # until they are cut again; doubles with each round that was called off

    def __init__(self, me: str, documents: Documents, length: int = LENGTH) -> None:
        """`length`: of a lease."""
        self._me, self._documents, self._length = me, documents, length
        self._heard: dict[str, int] = {}  # by start
        self._said: dict[type, int] = {}
        self._later = 0  # when to arm again
        self._failed = self._round = 0  # rounds of this change that were called off; the last of them

    def hear(self, start: str, at: int) -> None:
        """A node's start has said that it is there."""
        if start in self._heard or len(self._heard) < MOST_STARTS:
            self._heard[start] = at

    def rest(self) -> None:
        """This node does not lead: what it has heard will be old when it does."""
        self._heard.clear()
        self._said.clear()

    def urgent(self, at: int) -> bool:
        """Whether what the log decides is waited for: a change is under way, or leases are short still."""
        leases = self._documents.leases
        return self._documents.change is not None or any(leases.get(s, 0) < at + S for s in self._heard)

    def step(self, at: int) -> list[Entry]:
        """What to propose now."""
        self._heard = {start: seen for start, seen in self._heard.items() if at - seen < self._length}
        change = self._documents.change
        if change is None:
            self._failed = self._later = self._round = 0
            return self._grant(at)
        if change.stage is ChangePhase.ARMED:
            if not self._documents.unarmed(change, at):
                return self._once(Commit(change.number, self._me, at), at)
            if at - change.armed_at <= self.PATIENCE:
                return []
            # Who armed is to have a long lease again, before the short one ends; who did not may be gone.
            if self._round != change.round:
                self._round = change.round
                self._later = at + (self.PAUSE << min(self._failed, 5))
                self._failed += 1
            return self._once(Abort(change.number, self._me, at), at)
        return self._grant(at) + self._urge(change, at)

    def _urge(self, change: PendingChange, at: int) -> list[Entry]:
        """Arm a change that all have said yes to; drop one that somebody who is there says nothing to."""
        leases = self._documents.leases
        holding = {start for start, until in leases.items() if until > at}
        missing = self._documents.waited_for(change, holding)
        if not missing:
            # Who is silent will not arm: its lease is to end first.
            if at < self._later or any(at - self._heard.get(s, 0) > self._length // 4 for s in holding):
                return []
            return self._once(Prepare(change.number, self._me, at, self.SHORT), at)
        late = sorted(
            node_of(start) for start in missing if at - self._heard.get(start, 0) < self._length // 4
        )
        if late and at - change.at > self.CHECK:
            return self._once(Abort(change.number, self._me, at, f"no answer of {late[0]}"), at)
        if at - change.at > 2 * (self._length + self.CHECK):
            return self._once(
                Abort(change.number, self._me, at, f"no answer of {min(map(node_of, missing))}"), at
            )
        return []

    def _grant(self, at: int) -> list[Entry]:
        leases, fresh = self._documents.leases, self._length // 4
        to = [
            start
            for start, seen in self._heard.items()
            if at - seen < fresh and leases.get(start, 0) - at < self._length * 2 // 3
        ]
        return self._once(LeaseGrant(tuple(sorted(to)), self._length, self._me, at), at) if to else []

    def _once(self, entry: Entry, at: int) -> list[Entry]:
        """An entry, unless its like was proposed a moment ago."""
        if at - self._said.get(type(entry), -self.AGAIN) < self.AGAIN:
            return []
        self._said[type(entry)] = at
        return [entry]
