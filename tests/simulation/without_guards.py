"""Agreements with one guard taken out, to show that the checkers find what each guard is for."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from tansyladder.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    CommitPosition,
    Message,
    ProposalRequest,
    ProposalResult,
    RequestVote,
)
from tansyladder.raft.node import Effects, RaftNode
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


class VotesForAnyLog(RaftNode):
    """Without the election restriction."""

    def _on_request_vote(self, sender: str, ask: RequestVote) -> None:
        super()._on_request_vote(sender, RequestVote(ask.term, 1 << 60, 1 << 60, ask.pre_vote, ask.committed))


class VotesTwice(RaftNode):
    """Without the one vote in a term."""

    def _on_request_vote(self, sender: str, ask: RequestVote) -> None:
        if not ask.pre_vote:
            self._hard_state = msgspec.structs.replace(self._hard_state, voted_for="")
        super()._on_request_vote(sender, ask)


class VotesAfterForgetting(RaftNode):
    """Without the names of disks: a voter that lost its disk votes and counts on."""

    @property
    def is_voting(self) -> bool:
        return self.name in self._voters

    def _on_append_entries_response(self, sender: str, told: AppendEntriesResponse) -> None:
        super()._on_append_entries_response(sender, msgspec.structs.replace(told, is_disk_trusted=True))

    def _majority(self, names: set[str]) -> bool:
        return len({*names, self.name}.intersection(self._voters)) * 2 > len(self._voters)

    def _counting(self) -> list[str]:
        return list(self._voters)


class TrustsAnyDisk(RaftNode):
    """Without doubt: a voter on an older copy of its disk votes and counts on."""

    def handle(self, now: int, received: Sequence[tuple[str, Message]] = ()) -> Effects:
        if self._hard_state.stale_disk_suspected:
            self._hard_state = msgspec.structs.replace(self._hard_state, stale_disk_suspected=False)
        return super().handle(now, received)


class TrustsAtOnce(RaftNode):
    """Without the place that the others' logs have reached, and without the end of their terms."""

    def _trust(self) -> None:
        self._persist(stale_disk_suspected=False)


class VotesForShorterLogs(RaftNode):
    """Without the place that the others' logs had reached when its doubt ended."""

    def _trust(self) -> None:
        super()._trust()
        self._persist(vote_floor=(0, 0))


class VotesInDoubtfulTerms(RaftNode):
    """Without leaving out the terms in which it may have voted."""

    def _trust(self) -> None:
        term, vote = self.term, self._hard_state.voted_for
        super()._trust()
        self._hard_state = msgspec.structs.replace(self._hard_state, term=term, voted_for=vote)
        self._effects.writes.append(self._hard_state)


class CountsInDoubt(RaftNode):
    """Without leaving out what a voter holds whose disk may be an older copy."""

    def _on_append_entries_response(self, sender: str, told: AppendEntriesResponse) -> None:
        super()._on_append_entries_response(sender, msgspec.structs.replace(told, is_disk_trusted=True))


class CommitsOldTerms(RaftNode):
    """Without the rule that only entries of the leader's own term are counted."""

    def _own(self, index: int) -> bool:
        return True


class AppendsAnywhere(RaftNode):
    """Without the look whether the entry before fits."""

    def _on_append_entries(self, sender: str, told: AppendEntries) -> None:
        if self.snapshot_index <= told.prev_log_index <= self.last_index:
            told = msgspec.structs.replace(told, prev_log_term=self._term_at(told.prev_log_index))
        super()._on_append_entries(sender, told)


class AnswersEarly(RaftNode):
    """Without the wait for the entry to be committed."""

    def _on_proposal(self, sender: str, told: ProposalRequest) -> None:
        super()._on_proposal(sender, told)
        if self._proposers.pop(self.last_index, None):
            self._decided(sender, ProposalResult(told.request_id, b"done"))


class TakesAnyTerm(RaftNode):
    """Without the look at the term of who says that it leads."""

    def _on_append_entries(self, sender: str, told: AppendEntries) -> None:
        if told.term < self.term and self.leader != self.name:
            told = msgspec.structs.replace(told, term=self.term)
        super()._on_append_entries(sender, told)


class CountsOldAnswers(RaftNode):
    """Without the look at the term of an answer to the leader."""

    def _on_append_entries_response(self, sender: str, told: AppendEntriesResponse) -> None:
        if told.term < self.term:
            told = msgspec.structs.replace(told, term=self.term)
        super()._on_append_entries_response(sender, told)


class NeverStepsDown(RaftNode):
    """Without check-quorum: a leader that nobody hears goes on."""

    def _tick(self) -> None:
        for peer in self._known.values():
            peer.last_contact_at = self._now
        super()._tick()


class LearnsNoCommit(RaftNode):
    """Without learning from votes how far the log is committed: who was admitted may count for nobody."""

    def _learn_commit(self, mark: CommitPosition) -> None:
        pass


GUARDS: dict[str, type[RaftNode]] = {
    core.__name__: core
    for core in (
        VotesForAnyLog,
        VotesTwice,
        VotesAfterForgetting,
        TrustsAnyDisk,
        TrustsAtOnce,
        VotesForShorterLogs,
        VotesInDoubtfulTerms,
        CountsInDoubt,
        CommitsOldTerms,
        AppendsAnywhere,
        AnswersEarly,
        TakesAnyTerm,
        CountsOldAnswers,
        NeverStepsDown,
        LearnsNoCommit,
    )
}


# --- documents


class HoldsWithoutAll(Documents):
    """Without the wait for who has not armed: for its lease to end."""

    def unprepared_holders(self, change: PendingChange, at: int) -> set[str]:
        return set()


class HoldsAtOnce(Documents):
    """Without the moment at which the last lease ends: it holds from when that was proposed."""

    def _apply_commit(self, change: PendingChange, told: Commit) -> ChangeResult:
        ruled = super()._apply_commit(change, told)
        if ruled.outcome == ChangeOutcome.DONE:
            held = self._versions[change.name]
            held[-1] = msgspec.structs.replace(held[-1], effective_at_us=told.timestamp_us)
        return ruled


class TakesNoForYes(Documents):
    """Without the no of one node."""

    def _apply_validation_vote(self, change: PendingChange, told: ValidationVote) -> ChangeResult:
        return super()._apply_validation_vote(change, msgspec.structs.replace(told, fault=""))


class ArmsBeforeAllSaid(Documents):
    """Without the wait for everybody's word."""

    def missing_acceptances(self, change: PendingChange, holding: set[str]) -> set[str]:
        return set()


class GrantsWhileArmed(Documents):
    """Without the rest of leases while they are cut."""

    def _apply_lease_grant(self, told: LeaseGrant) -> ChangeResult:
        change = self.change
        self.change = None
        try:
            return super()._apply_lease_grant(told)
        finally:
            self.change = change


class GrantsAlways(LeaseCoordinator):
    """A leader's part of it, which would hide that."""

    def next_commands(self, at: int) -> list[DocumentCommand]:
        return super().next_commands(at) + self._renew_leases(at)


class CountsOldRounds(Documents):
    """Without the number of the round in which a lease was cut."""

    def _apply_prepared(self, change: PendingChange, told: Prepared) -> ChangeResult:
        return super()._apply_prepared(change, msgspec.structs.replace(told, round=change.round))


class ArmsInWords(LeaseHolder):
    """Without the cut of its own lease: it says so, and goes on to the end that it had."""

    _uncut = 0

    def lease_end_us(self) -> int:
        return max(self._documents.leases.get(self.incarnation, 0), self._uncut)

    def prepare(self, at: int) -> Prepared | None:
        self._uncut = max(self._uncut, self._documents.leases.get(self.incarnation, 0))
        return super().prepare(at)


class KeepsLeaseOverStarts(LeaseHolder):
    """Without the start in the name of a lease: one that was given to the process before is used."""

    def lease_end_us(self) -> int:
        me, leases = node_name(self.incarnation), self._documents.leases
        return max((until for start, until in leases.items() if node_name(start) == me), default=0)


# By name: what is put in place, the seed of a history that finds it, and its words; 0: found in none of 40.
DOCUMENT_GUARDS: dict[str, tuple[dict[str, object], int, str]] = {
    "HoldsWithoutAll": ({"documents": HoldsWithoutAll}, 5, "decides under"),
    "HoldsAtOnce": ({"documents": HoldsAtOnce}, 1, "decides under"),
    "TakesNoForYes": ({"documents": TakesNoForYes}, 1, "after a no"),
    "ArmsBeforeAllSaid": ({"documents": ArmsBeforeAllSaid}, 1, "after a no"),
    "GrantsWhileArmed": ({"documents": GrantsWhileArmed, "steward": GrantsAlways}, 0, "decides under"),
    "CountsOldRounds": ({"documents": CountsOldRounds}, 0, "decides under"),
    "ArmsInWords": ({"follower": ArmsInWords}, 0, "decides under"),
    "KeepsLeaseOverStarts": ({"follower": KeepsLeaseOverStarts}, 0, "decides under"),
}
