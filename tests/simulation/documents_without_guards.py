"""Components of replicated documents that each lack one guard, to show that the invariants detect it."""

from __future__ import annotations

from enum import Enum, auto
from typing import NamedTuple

import msgspec

from tansyladder.replication.document_messages import (
    ChangeOutcome,
    ChangeResult,
    Commit,
    DocumentCommand,
    LeaseGrant,
    Prepared,
    ValidationVote,
)
from tansyladder.replication.documents import Documents, PendingChange, node_name
from tansyladder.replication.lease_coordinator import LeaseCoordinator
from tansyladder.replication.lease_holder import LeaseHolder
from tansyladder.simulation.document_node import DocumentComponents


class DocumentGuard(Enum):
    """The guards of the rule that a version is in force at all nodes or at none."""

    PREPARED_WAIT = auto()
    DELAYED_EFFECT = auto()
    REJECTION = auto()
    ACCEPTANCE_WAIT = auto()
    LEASE_FREEZE = auto()
    ROUND_CHECK = auto()
    LEASE_SHORTENING = auto()
    INCARNATION_CHECK = auto()


class DocumentsWithoutPreparedWait(Documents):
    """Commits a change while a participant that isn't prepared still has a lease."""

    def unprepared_holders(self, change: PendingChange, at_us: int) -> set[str]:  # noqa: ARG002 - no wait
        return set()


class DocumentsWithoutDelayedEffect(Documents):
    """Puts a version in force at the time of its commit instead of the end of the last lease."""

    def _apply_commit(self, change: PendingChange, commit: Commit) -> ChangeResult:
        result = super()._apply_commit(change, commit)
        if result.outcome is ChangeOutcome.DONE:
            versions = self._versions[change.name]
            versions[-1] = msgspec.structs.replace(versions[-1], effective_at_us=commit.timestamp_us)
        return result


class DocumentsWithoutRejection(Documents):
    """Counts a rejection as an acceptance."""

    def _apply_validation_vote(self, change: PendingChange, vote: ValidationVote) -> ChangeResult:
        return super()._apply_validation_vote(change, msgspec.structs.replace(vote, validation_error=""))


class DocumentsWithoutAcceptanceWait(Documents):
    """Prepares a change before all nodes have accepted it."""

    def missing_acceptances(self, change: PendingChange, holders: set[str]) -> set[str]:  # noqa: ARG002
        return set()


class DocumentsWithoutLeaseFreeze(Documents):
    """Grants leases also while a change is prepared."""

    def _apply_lease_grant(self, grant: LeaseGrant) -> ChangeResult:
        change = self.change
        self.change = None
        try:
            return super()._apply_lease_grant(grant)
        finally:
            self.change = change


class CoordinatorWithoutLeaseFreeze(LeaseCoordinator):
    """Proposes lease grants also while a change is prepared, so that there are grants to apply."""

    def next_commands(self, now_us: int) -> list[DocumentCommand]:
        return super().next_commands(now_us) + self._renew_leases(now_us)


class DocumentsWithoutRoundCheck(Documents):
    """Counts a lease that was shortened in an earlier round as shortened in the present one."""

    def _apply_prepared(self, change: PendingChange, prepared: Prepared) -> ChangeResult:
        return super()._apply_prepared(change, msgspec.structs.replace(prepared, round=change.round))


class HolderWithoutLeaseShortening(LeaseHolder):
    """Reports a shortened lease, but makes decisions until the end of the full lease."""

    _full_end_us = 0

    def lease_end_us(self) -> int:
        return max(self._documents.leases.get(self.incarnation, 0), self._full_end_us)

    def prepare(self, now_us: int) -> Prepared | None:
        self._full_end_us = max(self._full_end_us, self._documents.leases.get(self.incarnation, 0))
        return super().prepare(now_us)


class HolderWithoutIncarnationCheck(LeaseHolder):
    """Makes decisions under a lease that was granted to an earlier incarnation of its node."""

    def lease_end_us(self) -> int:
        name = node_name(self.incarnation)
        leases = self._documents.leases
        ends_us = [end_us for incarnation, end_us in leases.items() if node_name(incarnation) == name]
        return max(ends_us, default=0)


class GuardRemoval(NamedTuple):
    """The components without a guard, and the history and violation that reveal its removal."""

    components: DocumentComponents
    seed: int  # a seed whose history reveals the removal; 0 if none of 40 histories reveals it
    violation: str  # a part of the violation's description


REMOVALS: dict[DocumentGuard, GuardRemoval] = {
    DocumentGuard.PREPARED_WAIT: GuardRemoval(
        DocumentComponents(documents=DocumentsWithoutPreparedWait), 5, "decides under"
    ),
    DocumentGuard.DELAYED_EFFECT: GuardRemoval(
        DocumentComponents(documents=DocumentsWithoutDelayedEffect), 1, "decides under"
    ),
    DocumentGuard.REJECTION: GuardRemoval(
        DocumentComponents(documents=DocumentsWithoutRejection), 1, "after a rejection"
    ),
    DocumentGuard.ACCEPTANCE_WAIT: GuardRemoval(
        DocumentComponents(documents=DocumentsWithoutAcceptanceWait), 1, "after a rejection"
    ),
    DocumentGuard.LEASE_FREEZE: GuardRemoval(
        DocumentComponents(documents=DocumentsWithoutLeaseFreeze, coordinator=CoordinatorWithoutLeaseFreeze),
        0,
        "decides under",
    ),
    DocumentGuard.ROUND_CHECK: GuardRemoval(
        DocumentComponents(documents=DocumentsWithoutRoundCheck), 0, "decides under"
    ),
    DocumentGuard.LEASE_SHORTENING: GuardRemoval(
        DocumentComponents(lease_holder=HolderWithoutLeaseShortening), 0, "decides under"
    ),
    DocumentGuard.INCARNATION_CHECK: GuardRemoval(
        DocumentComponents(lease_holder=HolderWithoutIncarnationCheck), 0, "decides under"
    ),
}
