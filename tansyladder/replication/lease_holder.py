"""The lease of one incarnation of a node, according to the entries that the node has applied."""

from __future__ import annotations

from tansyladder.replication.document_messages import Prepared
from tansyladder.replication.documents import ChangePhase, Documents, PendingChange, PrepareRound


class LeaseHolder:
    """Determines how long a node may make decisions, and shortens its lease for the pending change.

    Owned by the Raft thread. Times are microseconds of Unix time by the node's own clock.
    """

    def __init__(self, incarnation: str, documents: Documents) -> None:
        """Start with a lease that isn't shortened; `documents` is the state that this node has applied."""
        self.incarnation = incarnation
        self._documents = documents
        self._prepared_round = PrepareRound(0, 0)  # the last round for which the lease was shortened
        self._short_lease_end_us = 0  # the end of the shortened lease in that round

    def lease_end_us(self) -> int:
        """Return when the lease ends, or 0 without a lease.

        A shortened end applies as soon as this node has shortened the lease, before the log has the
        `Prepared` command that reports it.
        """
        end_us = self._documents.leases.get(self.incarnation, 0)
        change = self._documents.change
        if change is None or self.incarnation in change.prepared_by:
            return end_us
        if change.prepare_round != self._prepared_round:
            return end_us
        return min(end_us, self._short_lease_end_us)

    def has_lease(self, now_us: int) -> bool:
        """Whether this incarnation may make decisions now."""
        return now_us < self.lease_end_us()

    def change_to_validate(self) -> PendingChange | None:
        """Return the pending change if this incarnation hasn't accepted it yet."""
        change = self._documents.change
        return change if change is not None and self.incarnation not in change.accepted_by else None

    def prepare(self, now_us: int) -> Prepared | None:
        """Shorten the lease if the pending change requires it, and return the command to propose.

        Call this each time commands have been applied, before the node sends anything. Repeated calls return
        the same command until the log has it.
        """
        change = self._documents.change
        if change is None or change.phase is not ChangePhase.PREPARED:
            return None
        if self.incarnation in change.prepared_by or self.incarnation not in change.participants:
            return None
        if self._prepared_round != change.prepare_round:
            self._prepared_round = change.prepare_round
            self._short_lease_end_us = now_us + change.short_lease_us
        shortened_at_us = self._short_lease_end_us - change.short_lease_us
        return Prepared(change.number, change.round, self.incarnation, shortened_at_us)
