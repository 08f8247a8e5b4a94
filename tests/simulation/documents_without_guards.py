"""Parts of agreed documents with one guard taken out, to show that the invariants find what it is for."""

from __future__ import annotations

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


class CommitsWithoutAll(Documents):
    """Without the wait for a participant that isn't prepared, until its lease has ended."""

    def unprepared_holders(self, change: PendingChange, at_us: int) -> set[str]:  # noqa: ARG002 - no wait
        return set()


class TakesEffectAtOnce(Documents):
    """Without the end of the last lease as the moment of effect: it is the moment of the commit."""

    def _apply_commit(self, change: PendingChange, commit: Commit) -> ChangeResult:
        result = super()._apply_commit(change, commit)
        if result.outcome is ChangeOutcome.DONE:
            versions = self._versions[change.name]
            versions[-1] = msgspec.structs.replace(versions[-1], effective_at_us=commit.timestamp_us)
        return result


class CountsRejectionAsAcceptance(Documents):
    """Without the rejection by one node."""

    def _apply_validation_vote(self, change: PendingChange, vote: ValidationVote) -> ChangeResult:
        return super()._apply_validation_vote(change, msgspec.structs.replace(vote, fault=""))


class PreparesBeforeAllAccept(Documents):
    """Without the wait for all acceptances."""

    def missing_acceptances(self, change: PendingChange, holders: set[str]) -> set[str]:  # noqa: ARG002
        return set()


class GrantsWhilePrepared(Documents):
    """Without the rule that no lease is granted while leases are short."""

    def _apply_lease_grant(self, grant: LeaseGrant) -> ChangeResult:
        change = self.change
        self.change = None
        try:
            return super()._apply_lease_grant(grant)
        finally:
            self.change = change


class AlwaysRenewsLeases(LeaseCoordinator):
    """The leader's part in the same rule, which would hide that the state machine has none."""

    def next_commands(self, now_us: int) -> list[DocumentCommand]:
        return super().next_commands(now_us) + self._renew_leases(now_us)


class CountsOldRounds(Documents):
    """Without the number of the round in which a lease was shortened."""

    def _apply_prepared(self, change: PendingChange, prepared: Prepared) -> ChangeResult:
        return super()._apply_prepared(change, msgspec.structs.replace(prepared, round=change.round))


class ClaimsToShortenLease(LeaseHolder):
    """Without the shortening of its own lease: it says so, and goes on to the end that it had."""

    _full_end_us = 0

    def lease_end_us(self) -> int:
        return max(self._documents.leases.get(self.incarnation, 0), self._full_end_us)

    def prepare(self, now_us: int) -> Prepared | None:
        self._full_end_us = max(self._full_end_us, self._documents.leases.get(self.incarnation, 0))
        return super().prepare(now_us)


class KeepsLeaseOverStarts(LeaseHolder):
    """Without the incarnation in a lease: one that was granted to an earlier process is used."""

    def lease_end_us(self) -> int:
        name = node_name(self.incarnation)
        leases = self._documents.leases
        ends_us = [end_us for incarnation, end_us in leases.items() if node_name(incarnation) == name]
        return max(ends_us, default=0)


class MissingGuard(NamedTuple):
    """What is put in place, and how it is found."""

    components: DocumentComponents
    seed: int  # of a history that finds it; 0: found in none of 40
    violation: str  # part of the text


DOCUMENT_GUARDS = {
    "CommitsWithoutAll": MissingGuard(DocumentComponents(documents=CommitsWithoutAll), 5, "decides under"),
    "TakesEffectAtOnce": MissingGuard(DocumentComponents(documents=TakesEffectAtOnce), 1, "decides under"),
    "CountsRejectionAsAcceptance": MissingGuard(
        DocumentComponents(documents=CountsRejectionAsAcceptance), 1, "after a rejection"
    ),
    "PreparesBeforeAllAccept": MissingGuard(
        DocumentComponents(documents=PreparesBeforeAllAccept), 1, "after a rejection"
    ),
    "GrantsWhilePrepared": MissingGuard(
        DocumentComponents(documents=GrantsWhilePrepared, coordinator=AlwaysRenewsLeases), 0, "decides under"
    ),
    "CountsOldRounds": MissingGuard(DocumentComponents(documents=CountsOldRounds), 0, "decides under"),
    "ClaimsToShortenLease": MissingGuard(
        DocumentComponents(lease_holder=ClaimsToShortenLease), 0, "decides under"
    ),
    "KeepsLeaseOverStarts": MissingGuard(
        DocumentComponents(lease_holder=KeepsLeaseOverStarts), 0, "decides under"
    ),
}
