"""What the leader proposes for leases and for the change that is under way."""

from __future__ import annotations

from tansyladder.replication.document_messages import Abort, Commit, DocumentCommand, LeaseGrant, Prepare
from tansyladder.replication.documents import MAX_LEASES, ChangePhase, Documents, PendingChange, node_name
from tansyladder.replication.units import MILLISECOND_US, SECOND_US


class LeaseCoordinator:
    """What the leader does for leases and for the change that is under way; others' stewards rest.

    Nothing rests on it: what it proposes too early, or as a leader of the past, the log turns down.
    """

    LEASE_DURATION_US = 30 * SECOND_US  # of a lease
    SHORT_LEASE_US = 300 * MILLISECOND_US
    VALIDATION_TIMEOUT_US = 10 * SECOND_US  # in which who is heard of has to say yes or no
    REPROPOSE_INTERVAL_US = 100 * MILLISECOND_US  # between two entries of one kind
    PREPARE_TIMEOUT_US = 180 * MILLISECOND_US  # for all to arm, before leases are given anew
    PREPARE_BACKOFF_US = (
        200 * MILLISECOND_US
    )  # until they are cut again; doubles with each round that was called off

    def __init__(self, me: str, documents: Documents, length: int = LEASE_DURATION_US) -> None:
        """`length`: of a lease."""
        self._incarnation, self._documents, self._lease_duration_us = me, documents, length
        self._last_renewal_us: dict[str, int] = {}  # by start
        self._proposed_at_us: dict[type, int] = {}
        self._prepare_not_before_us = 0  # when to arm again
        self._aborted_rounds = self._last_aborted_round = (
            0  # rounds of this change that were called off; the last of them
        )

    def record_renewal(self, start: str, at: int) -> None:
        """A node's start has said that it is there."""
        if start in self._last_renewal_us or len(self._last_renewal_us) < MAX_LEASES:
            self._last_renewal_us[start] = at

    def reset(self) -> None:
        """This node does not lead: what it has heard will be old when it does."""
        self._last_renewal_us.clear()
        self._proposed_at_us.clear()

    def is_urgent(self, at: int) -> bool:
        """Whether what the log decides is waited for: a change is under way, or leases are short still."""
        leases = self._documents.leases
        return self._documents.change is not None or any(
            leases.get(s, 0) < at + SECOND_US for s in self._last_renewal_us
        )

    def next_commands(self, at: int) -> list[DocumentCommand]:
        """What to propose now."""
        self._last_renewal_us = {
            start: seen
            for start, seen in self._last_renewal_us.items()
            if at - seen < self._lease_duration_us
        }
        change = self._documents.change
        if change is None:
            self._aborted_rounds = self._prepare_not_before_us = self._last_aborted_round = 0
            return self._renew_leases(at)
        if change.phase is ChangePhase.PREPARED:
            if not self._documents.unprepared_holders(change, at):
                return self._propose_once(Commit(change.number, self._incarnation, at), at)
            if at - change.prepare_started_at_us <= self.PREPARE_TIMEOUT_US:
                return []
            # Who armed is to have a long lease again, before the short one ends; who did not may be gone.
            if self._last_aborted_round != change.round:
                self._last_aborted_round = change.round
                self._prepare_not_before_us = at + (self.PREPARE_BACKOFF_US << min(self._aborted_rounds, 5))
                self._aborted_rounds += 1
            return self._propose_once(Abort(change.number, self._incarnation, at), at)
        return self._renew_leases(at) + self._advance_proposed(change, at)

    def _advance_proposed(self, change: PendingChange, at: int) -> list[DocumentCommand]:
        """Arm a change that all have said yes to; drop one that somebody who is there says nothing to."""
        leases = self._documents.leases
        holding = {start for start, until in leases.items() if until > at}
        missing = self._documents.missing_acceptances(change, holding)
        if not missing:
            # Who is silent will not arm: its lease is to end first.
            if at < self._prepare_not_before_us or any(
                at - self._last_renewal_us.get(s, 0) > self._lease_duration_us // 4 for s in holding
            ):
                return []
            return self._propose_once(Prepare(change.number, self._incarnation, at, self.SHORT_LEASE_US), at)
        late = sorted(
            node_name(start)
            for start in missing
            if at - self._last_renewal_us.get(start, 0) < self._lease_duration_us // 4
        )
        if late and at - change.proposed_at_us > self.VALIDATION_TIMEOUT_US:
            return self._propose_once(
                Abort(change.number, self._incarnation, at, f"no answer of {late[0]}"), at
            )
        if at - change.proposed_at_us > 2 * (self._lease_duration_us + self.VALIDATION_TIMEOUT_US):
            return self._propose_once(
                Abort(change.number, self._incarnation, at, f"no answer of {min(map(node_name, missing))}"),
                at,
            )
        return []

    def _renew_leases(self, at: int) -> list[DocumentCommand]:
        leases, fresh = self._documents.leases, self._lease_duration_us // 4
        to = [
            start
            for start, seen in self._last_renewal_us.items()
            if at - seen < fresh and leases.get(start, 0) - at < self._lease_duration_us * 2 // 3
        ]
        return (
            self._propose_once(
                LeaseGrant(tuple(sorted(to)), self._lease_duration_us, self._incarnation, at), at
            )
            if to
            else []
        )

    def _propose_once(self, entry: DocumentCommand, at: int) -> list[DocumentCommand]:
        """An entry, unless its like was proposed a moment ago."""
        if (
            at - self._proposed_at_us.get(type(entry), -self.REPROPOSE_INTERVAL_US)
            < self.REPROPOSE_INTERVAL_US
        ):
            return []
        self._proposed_at_us[type(entry)] = at
        return [entry]
