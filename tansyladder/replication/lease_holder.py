"""What one start of a node may decide under, and what it owes to a change."""

from __future__ import annotations

from tansyladder.replication.document_messages import Prepared
from tansyladder.replication.documents import ChangePhase, Documents, PendingChange, Version


class LeaseHolder:
    """One start of a node: what it may decide under, and what it owes to a change."""

    def __init__(self, me: str, documents: Documents) -> None:
        """`me`: the node and its start; the documents as far as this node has heard the log."""
        self.incarnation, self._documents = me, documents
        self._prepared_round = (0, 0)  # number and round that it has armed for
        self._lease_limit_us = 0  # when its lease ends at the latest, as long as the log does not have that

    def lease_end_us(self) -> int:
        """When its lease ends, by its own clock."""
        until = self._documents.leases.get(self.incarnation, 0)
        change = self._documents.change
        if (
            change is not None
            and (change.number, change.round) == self._prepared_round
            and self.incarnation not in change.prepared_by
        ):
            until = min(until, self._lease_limit_us)
        return until

    def has_lease(self, at: int) -> bool:
        """Whether this start holds a lease at a moment of its own clock."""
        return at < self.lease_end_us()

    def version_at(self, name: str, at: int) -> Version | None:
        """What it decides under, where it may."""
        return self._documents.version_at(name, at)

    def change_to_validate(self) -> PendingChange | None:
        """The change that it has to fetch, check and say its verdict on."""
        change = self._documents.change
        return change if change is not None and self.incarnation not in change.accepted_by else None

    def prepare(self, at: int) -> Prepared | None:
        """After entries were taken in: what it has to say of its lease, which is cut by then."""
        change = self._documents.change
        if change is None or change.phase is not ChangePhase.PREPARED:
            return None
        if self.incarnation in change.prepared_by or self.incarnation not in change.participants:
            return None
        if self._prepared_round != (change.number, change.round):
            self._prepared_round, self._lease_limit_us = (
                (change.number, change.round),
                at + change.short_lease_us,
            )
        return Prepared(
            change.number, change.round, self.incarnation, self._lease_limit_us - change.short_lease_us
        )
