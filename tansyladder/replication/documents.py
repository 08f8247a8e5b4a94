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

from tansyladder.replication.document_messages import (
    Abort,
    ChangeResult,
    Commit,
    DocumentCommand,
    LeaseGrant,
    LeaseRelease,
    Prepare,
    Prepared,
    Proposal,
    ValidationVote,
)

MAX_CONTENT_BYTES = 1 << 20  # bytes of content


MAX_DOCUMENTS = 64


MAX_LEASES = 1024  # that hold a lease, or did until a moment ago


MAX_RESULTS = 128  # changes whose end is told to who asks again


MAX_PREVIOUS_VERSIONS = 8  # earlier versions of a document that are known


class ChangePhase(IntEnum):
    """How far a change is."""

    PROPOSED = 1
    PREPARED = 2


class Version(msgspec.Struct, frozen=True, array_like=True):
    """A document that holds, or did; `since`: the moment from which it does."""

    number: int
    digest: bytes
    size: int
    effective_at_us: int


def version_in_force(versions: Sequence[Version], at: int) -> Version | None:
    """Of a document's versions, the newest last, the one that holds at a moment."""
    return next((version for version in reversed(versions) if version.effective_at_us <= at), None)


class PendingChange(msgspec.Struct, array_like=True):
    """The change that is under way: one in the whole fleet."""

    name: str
    number: int  # counts the changes of all documents
    digest: bytes
    size: int
    idempotency_key: str
    proposed_at_us: int
    phase: ChangePhase = ChangePhase.PROPOSED
    accepted_by: set[str] = msgspec.field(default_factory=set)
    round: int = 0  # counts the times that it was armed
    prepare_started_at_us: int = 0
    short_lease_us: int = 0
    participants: set[str] = msgspec.field(default_factory=set)  # who held a lease when it was armed
    prepared_by: set[str] = msgspec.field(default_factory=set)


class DocumentsSnapshot(msgspec.Struct, array_like=True):
    """All of the state, in the order of a snapshot."""

    change_count: int = 0
    versions: dict[str, list[Version]] = {}  # the newest last
    change: PendingChange | None = None
    leases: dict[str, int] = {}  # by start: until when
    results: list[tuple[str, ChangeResult]] = []
    latest_timestamp_us: int = 0


def node_name(start: str) -> str:
    """The node's name in the name of one of its starts."""
    return start.partition("/")[0]


class Documents:
    """The state that the log decides: the same entries give the same state everywhere."""

    def __init__(self, voters: Sequence[str]) -> None:
        """`voters`: of the log, by name: most of them must have a document's content before it holds."""
        self._voters = frozenset(voters)
        self._change_count = 0
        self._versions: dict[str, list[Version]] = {}
        self.change: PendingChange | None = None
        self.leases: dict[str, int] = {}
        self.results: OrderedDict[str, ChangeResult] = OrderedDict()
        self.latest_timestamp_us = 0  # the latest time that an entry told

    # --- what others may look at

    def version_at(self, name: str, at: int) -> Version | None:
        """The version that holds at a moment."""
        return version_in_force(self._versions.get(name, ()), at)

    def versions(self, name: str) -> tuple[Version, ...]:
        """Those that are known, the newest last: it may hold from a moment to come."""
        return tuple(self._versions.get(name, ()))

    def names(self) -> list[str]:
        """Of all documents."""
        return sorted(self._versions)

    def referenced_digests(self) -> set[bytes]:
        """Of all content that may be asked for."""
        found = {v.digest for versions in self._versions.values() for v in versions}
        return found | ({self.change.digest} if self.change else set())

    # --- entries

    def apply(self, told: DocumentCommand) -> ChangeResult:
        """Take in an entry."""
        self.latest_timestamp_us = max(self.latest_timestamp_us, told.timestamp_us)
        match told:
            case Proposal():
                return self._apply_proposal(told)
            case LeaseGrant():
                return self._apply_lease_grant(told)
            case LeaseRelease():
                self.leases.pop(told.node, None)
                return ChangeResult("done")
        change = self.change
        if change is None or change.number != told.number:
            return ChangeResult("over", told.number)
        match told:
            case ValidationVote():
                return self._apply_validation_vote(change, told)
            case Prepare():
                return self._apply_prepare(change, told)
            case Prepared():
                return self._apply_prepared(change, told)
            case Commit():
                return self._apply_commit(change, told)
        return self._apply_abort(change, told)

    def _apply_proposal(self, told: Proposal) -> ChangeResult:
        if told.idempotency_key in self.results:
            return self.results[told.idempotency_key]
        if self.change is not None:
            same = self.change.idempotency_key == told.idempotency_key
            return ChangeResult(
                "under way" if same else "busy", self.change.number, "" if same else self.change.name
            )
        if not 0 < told.size <= MAX_CONTENT_BYTES:
            return ChangeResult("refused", 0, f"size: from 1 to {MAX_CONTENT_BYTES} bytes")
        if told.name not in self._versions and len(self._versions) >= MAX_DOCUMENTS:
            return ChangeResult("refused", 0, f"name: there are {MAX_DOCUMENTS} documents")
        self._change_count += 1
        self.change = PendingChange(
            told.name, self._change_count, told.digest, told.size, told.idempotency_key, told.timestamp_us
        )
        return ChangeResult("under way", self._change_count)

    def _apply_lease_grant(self, told: LeaseGrant) -> ChangeResult:
        if self.change is not None and self.change.phase is ChangePhase.PREPARED:
            return ChangeResult("armed")  # what is held now is counted on to end
        leases = dict(self.leases)  # anew: other threads read the one that there was
        for start in told.incarnations:
            if start in leases or len(leases) < MAX_LEASES:
                leases[start] = max(told.timestamp_us + told.duration_us, leases.get(start, 0))
        # One that ended so long ago holds nothing up on any clock.
        self.leases = {
            start: until
            for start, until in leases.items()
            if until > self.latest_timestamp_us - told.duration_us
        }
        return ChangeResult("done")

    def _apply_validation_vote(self, change: PendingChange, told: ValidationVote) -> ChangeResult:
        if told.fault:
            return self._finish_change(
                change, ChangeResult("refused", change.number, f"{node_name(told.node)}: {told.fault}")
            )
        change.accepted_by.add(told.node)
        return ChangeResult("done", change.number)

    def _apply_prepare(self, change: PendingChange, told: Prepare) -> ChangeResult:
        holding = {start for start, until in self.leases.items() if until > told.timestamp_us}
        if change.phase is ChangePhase.PREPARED or self.missing_acceptances(change, holding):
            return ChangeResult("early", change.number)
        change.round, change.participants, change.prepared_by = change.round + 1, holding, set()
        change.prepare_started_at_us, change.short_lease_us = told.timestamp_us, told.short_lease_us
        change.phase = ChangePhase.PREPARED
        return ChangeResult("done", change.number)

    def missing_acceptances(self, change: PendingChange, holding: set[str]) -> set[str]:
        """Who has to say yes still; among them voters, as long as most of them have not."""
        voters = {node_name(start) for start in change.accepted_by} & self._voters
        missing = set() if len(voters) * 2 > len(self._voters) else self._voters - voters
        return (holding - change.accepted_by) | missing

    def _apply_prepared(self, change: PendingChange, told: Prepared) -> ChangeResult:
        if (
            change.phase is not ChangePhase.PREPARED
            or change.round != told.round
            or told.node not in change.participants
        ):
            return ChangeResult("over", change.number)
        # Its own word of when its lease ends; what an earlier entry gave is void from that moment.
        self.leases[told.node] = min(self.leases.get(told.node, 0), told.timestamp_us + change.short_lease_us)
        change.prepared_by.add(told.node)
        return ChangeResult("done", change.number)

    def _apply_commit(self, change: PendingChange, told: Commit) -> ChangeResult:
        if change.phase is not ChangePhase.PREPARED or self.unprepared_holders(change, told.timestamp_us):
            return ChangeResult("early", change.number)
        since = max([told.timestamp_us, *self.leases.values()])
        held = [
            *self._versions.get(change.name, ()),
            Version(change.number, change.digest, change.size, since),
        ]
        self._versions[change.name] = held[-MAX_PREVIOUS_VERSIONS - 1 :]
        return self._finish_change(change, ChangeResult("done", change.number))

    def unprepared_holders(self, change: PendingChange, at: int) -> set[str]:
        """Who may decide under the document before for longer than a short lease."""
        return {s for s in change.participants - change.prepared_by if self.leases.get(s, 0) > at}

    def _apply_abort(self, change: PendingChange, told: Abort) -> ChangeResult:
        if told.reason:
            return self._finish_change(change, ChangeResult("dropped", change.number, told.reason))
        change.phase = ChangePhase.PROPOSED
        return ChangeResult("done", change.number)

    def _finish_change(self, change: PendingChange, ruled: ChangeResult) -> ChangeResult:
        self.change = None
        self.results[change.idempotency_key] = ruled
        while len(self.results) > MAX_RESULTS:
            self.results.popitem(last=False)
        return ruled

    # --- snapshots

    def snapshot(self) -> DocumentsSnapshot:
        return DocumentsSnapshot(
            self._change_count,
            self._versions,
            self.change,
            self.leases,
            list(self.results.items()),
            self.latest_timestamp_us,
        )

    def restore(self, kept: DocumentsSnapshot) -> None:
        self._change_count, self._versions, self.change = kept.change_count, dict(kept.versions), kept.change
        self.leases, self.results, self.latest_timestamp_us = (
            dict(kept.leases),
            OrderedDict(kept.results),
            kept.latest_timestamp_us,
        )
