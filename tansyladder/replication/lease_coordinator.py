"""The leader's proposals: lease grants, and the next step of the pending change."""

from __future__ import annotations

from tansyladder.replication.document_messages import Abort, Commit, DocumentCommand, LeaseGrant, Prepare
from tansyladder.replication.documents import MAX_LEASES, ChangePhase, Documents, PendingChange, node_name
from tansyladder.replication.proposal_throttle import ProposalThrottle
from tansyladder.replication.units import MILLISECOND_US, SECOND_US

MAX_BACKOFF_DOUBLINGS = 5  # limits the backoff between two rounds of preparing to 6.4 s
ROUND_ONLY_REASON = ""  # an abort with this reason ends only the round


class LeaseCoordinator:
    """Proposes lease grants and the steps of the pending change.

    It derives them from the replicated state and the renewals. Safety doesn't depend on it: the state machine
    rejects commands that a coordinator proposes too early or as a former leader. Owned by the Raft thread.
    Times are microseconds of Unix time by the leader's clock.
    """

    LEASE_DURATION_US = 30 * SECOND_US
    SHORT_LEASE_US = 300 * MILLISECOND_US  # while a change is prepared
    VALIDATION_TIMEOUT_US = 10 * SECOND_US  # within which a node that is up must vote
    REPROPOSE_INTERVAL_US = 100 * MILLISECOND_US  # between two commands of one type
    PREPARE_TIMEOUT_US = 180 * MILLISECOND_US  # per round; below SHORT_LEASE_US, to leave time for renewals
    PREPARE_BACKOFF_US = 200 * MILLISECOND_US  # after the first aborted round; doubles with each

    def __init__(
        self, incarnation: str, documents: Documents, lease_duration_us: int = LEASE_DURATION_US
    ) -> None:
        """Start without renewals; `incarnation` is that of the coordinator's own node."""
        self._incarnation = incarnation
        self._documents = documents
        self._lease_duration_us = lease_duration_us
        self._renewal_window_us = lease_duration_us // 4  # a node that is silent for longer counts as down
        self._last_renewal_us: dict[str, int] = {}  # by incarnation
        self._throttle = ProposalThrottle(self.REPROPOSE_INTERVAL_US)
        self._prepare_not_before_us = 0
        self._aborted_round_count = 0  # rounds of the pending change
        self._last_aborted_round = 0

    def record_renewal(self, incarnation: str, now_us: int) -> None:
        """Record that a node has asked to renew its lease."""
        if incarnation in self._last_renewal_us or len(self._last_renewal_us) < MAX_LEASES:
            self._last_renewal_us[incarnation] = now_us

    def reset(self) -> None:
        """Forget all renewals while this node doesn't lead, as they would be outdated once it does."""
        self._last_renewal_us.clear()
        self._throttle.reset()

    def is_urgent(self, now_us: int) -> bool:
        """Whether nodes are waiting for commits: a change is pending, or a lease to renew ends within 1 s."""
        leases = self._documents.leases
        return self._documents.change is not None or any(
            leases.get(incarnation, 0) < now_us + SECOND_US for incarnation in self._last_renewal_us
        )

    def next_commands(self, now_us: int) -> list[DocumentCommand]:
        """Return the commands to propose now."""
        self._last_renewal_us = {
            incarnation: renewed_at_us
            for incarnation, renewed_at_us in self._last_renewal_us.items()
            if now_us - renewed_at_us < self._lease_duration_us
        }
        change = self._documents.change
        if change is None:
            self._aborted_round_count = 0
            self._prepare_not_before_us = 0
            self._last_aborted_round = 0
            return self._renew_leases(now_us)
        if change.phase is ChangePhase.PREPARED:
            return self._advance_prepared(change, now_us)
        return self._renew_leases(now_us) + self._advance_proposed(change, now_us)

    def _advance_prepared(self, change: PendingChange, now_us: int) -> list[DocumentCommand]:
        """Commit once each participant is prepared or has no lease; abort a round that takes too long."""
        if not self._documents.unprepared_holders(change, now_us):
            return self._propose_once(Commit(change.number, self._incarnation, now_us), now_us)
        if now_us - change.prepare_started_at_us <= self.PREPARE_TIMEOUT_US:
            return []
        # The unprepared nodes may be down. Abort the round, so that the prepared nodes get long leases again
        # before their short ones end.
        if self._last_aborted_round != change.round:
            self._last_aborted_round = change.round
            doublings = min(self._aborted_round_count, MAX_BACKOFF_DOUBLINGS)
            self._prepare_not_before_us = now_us + (self.PREPARE_BACKOFF_US << doublings)
            self._aborted_round_count += 1
        return self._propose_once(Abort(change.number, self._incarnation, now_us, ROUND_ONLY_REASON), now_us)

    def _advance_proposed(self, change: PendingChange, now_us: int) -> list[DocumentCommand]:
        """Begin to prepare a change that all have accepted; abort it if a node doesn't vote in time.

        A node that is up has `VALIDATION_TIMEOUT_US` to vote. If all missing nodes seem to be down, the limit
        is twice the sum of the lease duration and that timeout.
        """
        holders = self._documents.lease_holders(now_us)
        missing = self._documents.missing_acceptances(change, holders)
        if not missing:
            return self._prepare(change, holders, now_us)
        pending_us = now_us - change.proposed_at_us
        overdue = {
            incarnation
            for incarnation in missing
            if self._time_since_renewal_us(incarnation, now_us) < self._renewal_window_us
        }
        if overdue and pending_us > self.VALIDATION_TIMEOUT_US:
            return self._abort_for_missing_votes(change, overdue, now_us)
        if pending_us > 2 * (self._lease_duration_us + self.VALIDATION_TIMEOUT_US):
            return self._abort_for_missing_votes(change, missing, now_us)
        return []

    def _prepare(self, change: PendingChange, holders: set[str], now_us: int) -> list[DocumentCommand]:
        """Begin a round after the backoff; if a lease holder seems to be down, its lease must end first."""
        if now_us < self._prepare_not_before_us:
            return []
        if any(self._time_since_renewal_us(holder, now_us) > self._renewal_window_us for holder in holders):
            return []
        prepare = Prepare(change.number, self._incarnation, now_us, self.SHORT_LEASE_US)
        return self._propose_once(prepare, now_us)

    def _abort_for_missing_votes(
        self, change: PendingChange, missing: set[str], now_us: int
    ) -> list[DocumentCommand]:
        """Abort a change for which votes are missing; the reason gives the first of these nodes by name."""
        reason = f"no answer of {min(map(node_name, missing))}"
        return self._propose_once(Abort(change.number, self._incarnation, now_us, reason), now_us)

    def _renew_leases(self, now_us: int) -> list[DocumentCommand]:
        """Grant a lease to each node that has asked recently and has used a third of its current lease."""
        leases = self._documents.leases
        renewed = [
            incarnation
            for incarnation in self._last_renewal_us
            if self._time_since_renewal_us(incarnation, now_us) < self._renewal_window_us
            and leases.get(incarnation, 0) - now_us < self._lease_duration_us * 2 // 3
        ]
        if not renewed:
            return []
        grant = LeaseGrant(tuple(sorted(renewed)), self._lease_duration_us, self._incarnation, now_us)
        return self._propose_once(grant, now_us)

    def _time_since_renewal_us(self, incarnation: str, now_us: int) -> int:
        """Return the time since a node's last renewal, or since 1970 if it has sent none."""
        return now_us - self._last_renewal_us.get(incarnation, 0)

    def _propose_once(self, command: DocumentCommand, now_us: int) -> list[DocumentCommand]:
        """Return the command, unless one of its type was proposed within `REPROPOSE_INTERVAL_US`."""
        return [command] if self._throttle.allows(type(command), now_us) else []
