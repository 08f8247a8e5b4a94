"""The replicated state machine of documents, which are named contents with numbered versions.

A version is in force at all nodes or at none. This module applies the commands of the log; it has no I/O and
no clock. Times are microseconds of Unix time by the clock of the node that proposed the command. The log
holds only digests; nodes transfer contents outside the log (`content_transfer`).

A node makes decisions under a document only while it holds a lease. The log grants the lease to one
incarnation of the node. A node that is down, partitioned or paused therefore can't act on an old version for
longer than its lease. A node that restarts has no lease, whatever is on its disk, until it has applied a
grant that was made after its start.

A change is a two-phase commit over the lease holders:

1. Proposed: every lease holder fetches the content, stores it, validates it and votes. One rejection aborts
   the change.
2. Prepared: once all lease holders have accepted, each of them shortens its own lease and reports this.
3. Committed: once all of them have reported, the change is committed. The new version takes effect when the
   last lease that is held under the previous version ends. A node that has applied the commit by then
   switches at that moment. Any other node no longer has a lease, and can't get one before it has applied the
   commit.

A node that doesn't respond delays a change until its lease has ended. Decisions are ordered by the clocks of
the nodes that make them, so this order is only as exact as the synchronization of these clocks.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Mapping, Sequence
from enum import IntEnum
from typing import NamedTuple

import msgspec

from tansyladder.replication.document_messages import (
    Abort,
    ChangeCommand,
    ChangeOutcome,
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

MAX_CONTENT_BYTES = 1 << 20
MAX_DOCUMENTS = 64
MAX_LEASES = 1024  # including those that ended less than one lease duration ago
MAX_RESULTS = 128  # results of finished changes, kept for repeated proposals
MAX_PREVIOUS_VERSIONS = 8  # per document, in addition to the newest


class ChangePhase(IntEnum):
    """The phase of a change; snapshots store the values of the first two."""

    PROPOSED = 1
    PREPARED = 2
    COMMITTED = 3
    ABORTED = 4


# A change may be aborted in either of the first two phases; an aborted round returns it to the first one.
_TRANSITIONS: Mapping[ChangePhase, frozenset[ChangePhase]] = {
    ChangePhase.PROPOSED: frozenset({ChangePhase.PROPOSED, ChangePhase.PREPARED, ChangePhase.ABORTED}),
    ChangePhase.PREPARED: frozenset({ChangePhase.PROPOSED, ChangePhase.COMMITTED, ChangePhase.ABORTED}),
    ChangePhase.COMMITTED: frozenset(),
    ChangePhase.ABORTED: frozenset(),
}


class Version(msgspec.Struct, frozen=True, array_like=True):
    """A version of a document, in force from `effective_at_us` until the next one takes effect."""

    number: int
    digest: bytes
    size: int  # bytes
    effective_at_us: int


def version_in_force(versions: Sequence[Version], at_us: int) -> Version | None:
    """Return the version in force at a given time; `versions` are those of one document, the newest last."""
    return next((version for version in reversed(versions) if version.effective_at_us <= at_us), None)


class PrepareRound(NamedTuple):
    """Identifies a round of preparing a change."""

    change_number: int
    round: int


class PendingChange(msgspec.Struct, array_like=True):
    """The change that is in progress; there is at most one in the whole cluster."""

    name: str
    number: int  # counts the changes of all documents
    digest: bytes
    size: int  # bytes
    idempotency_key: str
    proposed_at_us: int
    phase: ChangePhase = ChangePhase.PROPOSED
    accepted_by: set[str] = msgspec.field(default_factory=set)  # incarnations
    round: int = 0  # counts the rounds of preparing
    prepare_started_at_us: int = 0
    short_lease_us: int = 0
    participants: set[str] = msgspec.field(default_factory=set)  # lease holders when the round began
    prepared_by: set[str] = msgspec.field(default_factory=set)

    @property
    def prepare_round(self) -> PrepareRound:
        """The newest round of preparing."""
        return PrepareRound(self.number, self.round)

    def can_enter(self, phase: ChangePhase) -> bool:
        """Whether a phase may follow the present one."""
        return phase in _TRANSITIONS[self.phase]

    def enter(self, phase: ChangePhase) -> None:
        """Enter a phase; the caller must have checked `can_enter`."""
        self.phase = phase

    def begin_round(self, participants: set[str], prepare: Prepare) -> None:
        """Enter the prepared phase with a new round."""
        self.round += 1
        self.participants = participants
        self.prepared_by = set()
        self.prepare_started_at_us = prepare.timestamp_us
        self.short_lease_us = prepare.short_lease_us
        self.enter(ChangePhase.PREPARED)


class DocumentsSnapshot(msgspec.Struct, array_like=True):
    """The whole state. It is encoded as an array, so the order of the fields must not change."""

    change_count: int = 0
    versions: dict[str, list[Version]] = {}  # by document, the newest last
    change: PendingChange | None = None
    leases: dict[str, int] = {}  # end of the lease by incarnation, Unix time in microseconds
    results: list[tuple[str, ChangeResult]] = []  # by idempotency key, the oldest first
    latest_timestamp_us: int = 0


def node_name(incarnation: str) -> str:
    """Return the name of the node that an incarnation belongs to."""
    return incarnation.partition("/")[0]


def _exceeded_limit(proposal: Proposal, known_names: Collection[str]) -> str:
    """Return the limit that a proposal exceeds; empty if it exceeds none."""
    if not 0 < proposal.size <= MAX_CONTENT_BYTES:
        return f"size: from 1 to {MAX_CONTENT_BYTES} bytes"
    if proposal.name not in known_names and len(known_names) >= MAX_DOCUMENTS:
        return f"name: there are {MAX_DOCUMENTS} documents"
    return ""


def _extended_leases(leases: Mapping[str, int], grant: LeaseGrant) -> dict[str, int]:
    """Return the leases extended by a grant, as a copy because other threads may be reading them."""
    extended = dict(leases)
    for incarnation in grant.incarnations:
        if incarnation in extended or len(extended) < MAX_LEASES:
            end_us = grant.timestamp_us + grant.duration_us
            extended[incarnation] = max(end_us, extended.get(incarnation, 0))
    return extended


class Documents:
    """The replicated state machine of documents and leases.

    The same commands lead to the same state at every node. Owned by the Raft thread; other threads may read
    `results` and `leases`, and see the state before or after a command.
    """

    def __init__(self, voters: Sequence[str]) -> None:
        """Start without documents; a majority of `voters` must have stored a content before its commit."""
        self._voters = frozenset(voters)
        self._change_count = 0
        self._versions: dict[str, list[Version]] = {}
        self.change: PendingChange | None = None
        self.leases: dict[str, int] = {}
        self.results: OrderedDict[str, ChangeResult] = OrderedDict()
        self.latest_timestamp_us = 0

    # --- queries

    def version_at(self, name: str, at_us: int) -> Version | None:
        """Return the version of a document in force at a given time; None before its first one."""
        return version_in_force(self._versions.get(name, ()), at_us)

    def versions(self, name: str) -> tuple[Version, ...]:
        """Return a document's known versions, the newest last; the newest may not be in force yet."""
        return tuple(self._versions.get(name, ()))

    def names(self) -> list[str]:
        """Return the names of all documents, sorted."""
        return sorted(self._versions)

    def referenced_digests(self) -> set[bytes]:
        """Return the digests of all known versions and of the pending change."""
        digests = {version.digest for versions in self._versions.values() for version in versions}
        if self.change is not None:
            digests.add(self.change.digest)
        return digests

    def lease_holders(self, at_us: int) -> set[str]:
        """Return the incarnations that hold a lease at a given time."""
        return {incarnation for incarnation, end_us in self.leases.items() if end_us > at_us}

    def missing_acceptances(self, change: PendingChange, holders: set[str]) -> set[str]:
        """Return lease holders yet to accept and, by name, voters while no majority of these has accepted."""
        accepting_voters = {node_name(incarnation) for incarnation in change.accepted_by} & self._voters
        has_majority = len(accepting_voters) * 2 > len(self._voters)
        missing_voters = set() if has_majority else self._voters - accepting_voters
        return (holders - change.accepted_by) | missing_voters

    def unprepared_holders(self, change: PendingChange, at_us: int) -> set[str]:
        """Return the participants that may still decide under the previous version, on a long lease."""
        unprepared = change.participants - change.prepared_by
        return {incarnation for incarnation in unprepared if self.leases.get(incarnation, 0) > at_us}

    # --- commands

    def apply(self, command: DocumentCommand) -> ChangeResult:
        """Apply a command of the log."""
        self.latest_timestamp_us = max(self.latest_timestamp_us, command.timestamp_us)
        match command:
            case Proposal():
                return self._apply_proposal(command)
            case LeaseGrant():
                return self._apply_lease_grant(command)
            case LeaseRelease():
                self.leases.pop(command.node, None)
                return ChangeResult(ChangeOutcome.DONE)
        return self._apply_to_change(command)

    def _apply_to_change(self, command: ChangeCommand) -> ChangeResult:
        """Apply a command about the pending change; return `STALE` if it concerns another change."""
        change = self.change
        if change is None or change.number != command.number:
            return ChangeResult(ChangeOutcome.STALE, command.number)
        match command:
            case ValidationVote():
                return self._apply_validation_vote(change, command)
            case Prepare():
                return self._apply_prepare(change, command)
            case Prepared():
                return self._apply_prepared(change, command)
            case Commit():
                return self._apply_commit(change, command)
        return self._apply_abort(change, command)

    def _apply_proposal(self, proposal: Proposal) -> ChangeResult:
        """Begin a change unless another one is pending; a repeated proposal gets the result of its change."""
        if proposal.idempotency_key in self.results:
            return self.results[proposal.idempotency_key]
        if self.change is not None:
            if self.change.idempotency_key == proposal.idempotency_key:
                return ChangeResult(ChangeOutcome.IN_PROGRESS, self.change.number)
            return ChangeResult(ChangeOutcome.BUSY, self.change.number, self.change.name)
        fault = _exceeded_limit(proposal, self._versions.keys())
        if fault:
            return ChangeResult(ChangeOutcome.REJECTED, 0, fault)
        self._change_count += 1
        self.change = PendingChange(
            name=proposal.name,
            number=self._change_count,
            digest=proposal.digest,
            size=proposal.size,
            idempotency_key=proposal.idempotency_key,
            proposed_at_us=proposal.timestamp_us,
        )
        return ChangeResult(ChangeOutcome.IN_PROGRESS, self._change_count)

    def _apply_lease_grant(self, grant: LeaseGrant) -> ChangeResult:
        """Extend leases, and forget those that ended long ago; `LEASES_FROZEN` in the prepared phase."""
        if self.change is not None and self.change.phase is ChangePhase.PREPARED:
            return ChangeResult(ChangeOutcome.LEASES_FROZEN)  # the commit relies on the current lease ends
        # A lease that ended one lease duration ago has ended by every node's clock.
        oldest_end_us = self.latest_timestamp_us - grant.duration_us
        leases = _extended_leases(self.leases, grant)
        self.leases = {
            incarnation: end_us for incarnation, end_us in leases.items() if end_us > oldest_end_us
        }
        return ChangeResult(ChangeOutcome.DONE)

    def _apply_validation_vote(self, change: PendingChange, vote: ValidationVote) -> ChangeResult:
        """Record an acceptance, or abort the change at the first rejection."""
        if vote.validation_error:
            reason = f"{node_name(vote.node)}: {vote.validation_error}"
            result = ChangeResult(ChangeOutcome.REJECTED, change.number, reason)
            return self._finish_change(change, ChangePhase.ABORTED, result)
        change.accepted_by.add(vote.node)
        return ChangeResult(ChangeOutcome.DONE, change.number)

    def _apply_prepare(self, change: PendingChange, prepare: Prepare) -> ChangeResult:
        """Begin a round with all lease holders; return `TOO_EARLY` before all have accepted the change."""
        holders = self.lease_holders(prepare.timestamp_us)
        if not change.can_enter(ChangePhase.PREPARED) or self.missing_acceptances(change, holders):
            return ChangeResult(ChangeOutcome.TOO_EARLY, change.number)
        change.begin_round(holders, prepare)
        return ChangeResult(ChangeOutcome.DONE, change.number)

    def _apply_prepared(self, change: PendingChange, prepared: Prepared) -> ChangeResult:
        """Shorten a participant's lease; return `STALE` for another round or another node."""
        is_current = change.phase is ChangePhase.PREPARED and change.round == prepared.round
        if not is_current or prepared.node not in change.participants:
            return ChangeResult(ChangeOutcome.STALE, change.number)
        # The node has already shortened its lease, so the end that was granted earlier no longer applies.
        short_end_us = prepared.timestamp_us + change.short_lease_us
        self.leases[prepared.node] = min(self.leases.get(prepared.node, 0), short_end_us)
        change.prepared_by.add(prepared.node)
        return ChangeResult(ChangeOutcome.DONE, change.number)

    def _apply_commit(self, change: PendingChange, commit: Commit) -> ChangeResult:
        """Add the version, in force once the last lease ends; return `TOO_EARLY` before all are prepared."""
        if not change.can_enter(ChangePhase.COMMITTED) or self.unprepared_holders(
            change, commit.timestamp_us
        ):
            return ChangeResult(ChangeOutcome.TOO_EARLY, change.number)
        effective_at_us = max([commit.timestamp_us, *self.leases.values()])
        version = Version(change.number, change.digest, change.size, effective_at_us)
        versions = [*self._versions.get(change.name, ()), version]
        self._versions[change.name] = versions[-MAX_PREVIOUS_VERSIONS - 1 :]
        result = ChangeResult(ChangeOutcome.DONE, change.number)
        return self._finish_change(change, ChangePhase.COMMITTED, result)

    def _apply_abort(self, change: PendingChange, abort: Abort) -> ChangeResult:
        """Abort the change for a reason; without one, only its round."""
        if abort.reason:
            result = ChangeResult(ChangeOutcome.ABORTED, change.number, abort.reason)
            return self._finish_change(change, ChangePhase.ABORTED, result)
        change.enter(ChangePhase.PROPOSED)
        return ChangeResult(ChangeOutcome.DONE, change.number)

    def _finish_change(self, change: PendingChange, phase: ChangePhase, result: ChangeResult) -> ChangeResult:
        """End the pending change, and keep its result for repeated proposals."""
        change.enter(phase)
        self.change = None
        self.results[change.idempotency_key] = result
        while len(self.results) > MAX_RESULTS:
            self.results.popitem(last=False)
        return result

    # --- snapshots

    def snapshot(self) -> DocumentsSnapshot:
        """Return the whole state. It shares objects with this instance: encode it before the next `apply`."""
        return DocumentsSnapshot(
            change_count=self._change_count,
            versions=self._versions,
            change=self.change,
            leases=self.leases,
            results=list(self.results.items()),
            latest_timestamp_us=self.latest_timestamp_us,
        )

    def restore(self, snapshot: DocumentsSnapshot) -> None:
        """Replace the whole state by that of a snapshot."""
        self._change_count = snapshot.change_count
        self._versions = dict(snapshot.versions)
        self.change = snapshot.change
        self.leases = dict(snapshot.leases)
        self.results = OrderedDict(snapshot.results)
        self.latest_timestamp_us = snapshot.latest_timestamp_us
