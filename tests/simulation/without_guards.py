"""Components with one guard taken out, to show that the checkers find what each guard is for."""

from __future__ import annotations

from collections.abc import Collection

import msgspec

from tansyladder.raft.commits import CommittedLog
from tansyladder.raft.disk_admission import DiskAdmission
from tansyladder.raft.elections import Elections
from tansyladder.raft.follower import FollowerReplication
from tansyladder.raft.leader import LeaderReplication
from tansyladder.raft.messages import (
    START_OF_LOG,
    AppendEntries,
    AppendEntriesResponse,
    CommitPosition,
    ProposalRequest,
    ProposalResult,
    RequestVote,
)
from tansyladder.raft.node import RaftComponents
from tansyladder.raft.node_state import NodeState
from tansyladder.raft.proposals import ProposalHandler
from tansyladder.raft.voter_disks import VoterDisks
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


class VotesForAnyLog(Elections):
    """Without the election restriction."""

    def on_request_vote(self, sender: str, request: RequestVote) -> None:
        beyond_all = 1 << 60
        any_log = msgspec.structs.replace(request, last_log_index=beyond_all, last_log_term=beyond_all)
        super().on_request_vote(sender, any_log)


class VotesTwice(Elections):
    """Without the one vote in a term."""

    def on_request_vote(self, sender: str, request: RequestVote) -> None:
        if not request.pre_vote:
            self._state.hard_state = self._state.hard_state.with_vote("")
        super().on_request_vote(sender, request)


class CountsAnyDisk(VoterDisks):
    """Without the names of disks: a voter that lost its disk votes and counts on."""

    @property
    def is_voting(self) -> bool:
        return self._state.name in self._state.voters

    def has_majority(self, names: Collection[str]) -> bool:
        voters = self._state.voters
        return len({*names, self._state.name}.intersection(voters)) * 2 > len(voters)

    def counted_voters(self) -> list[str]:
        return list(self._state.voters)


class CountsAnyAcknowledgment(LeaderReplication):
    """Without leaving out what a voter holds whose disk may be an older copy."""

    def on_append_entries_response(self, sender: str, response: AppendEntriesResponse) -> None:
        trusted = msgspec.structs.replace(response, is_disk_trusted=True)
        super().on_append_entries_response(sender, trusted)


class TrustsAnyDisk(DiskAdmission):
    """Without the suspicion: a voter on an older copy of its disk votes and counts on."""

    def __init__(self, state: NodeState, disks: VoterDisks, incarnation: str) -> None:
        state.hard_state = msgspec.structs.replace(state.hard_state, stale_disk_suspected=False)
        super().__init__(state, disks, incarnation)


class TrustsAtOnce(DiskAdmission):
    """Without the position that the others' logs have reached, and without the end of their terms."""

    def _end_suspicion(self) -> None:
        trusted = msgspec.structs.replace(self._state.hard_state, stale_disk_suspected=False)
        self._state.persist(trusted)


class VotesForShorterLogs(DiskAdmission):
    """Without the position that the others' logs had reached when the suspicion ended."""

    def _end_suspicion(self) -> None:
        super()._end_suspicion()
        self._state.persist(self._state.hard_state.with_vote_floor(START_OF_LOG))


class VotesInDoubtfulTerms(DiskAdmission):
    """Without leaving out the terms in which it may have voted."""

    def _end_suspicion(self) -> None:
        before = self._state.hard_state
        super()._end_suspicion()
        after = self._state.hard_state
        self._state.persist(msgspec.structs.replace(after, term=before.term, voted_for=before.voted_for))


class CommitsOldTerms(LeaderReplication):
    """Without the rule that only entries of the leader's own term are counted."""

    def _is_of_own_term(self, index: int) -> bool:
        return True


class AppendsAnywhere(FollowerReplication):
    """Without the look whether the entry before fits."""

    def on_append_entries(self, sender: str, message: AppendEntries) -> None:
        log = self._state.log
        if log.snapshot.index <= message.prev_log_index <= log.last_index:
            own_term = log.term_at(message.prev_log_index)
            message = msgspec.structs.replace(message, prev_log_term=own_term)
        super().on_append_entries(sender, message)


class AnswersEarly(ProposalHandler):
    """Without the wait for the entry to be committed."""

    def on_proposal(self, sender: str, request: ProposalRequest) -> None:
        super().on_proposal(sender, request)
        state = self._state
        if state.pending_proposals.remove(state.log.last_index):
            state.outbox.answer(sender, ProposalResult(request.request_id, b"done"))


class TakesAnyTerm(FollowerReplication):
    """Without the look at the term of who says that it leads."""

    def on_append_entries(self, sender: str, message: AppendEntries) -> None:
        state = self._state
        if message.term < state.term and state.leader != state.name:
            message = msgspec.structs.replace(message, term=state.term)
        super().on_append_entries(sender, message)


class CountsOldAnswers(LeaderReplication):
    """Without the look at the term of an answer to the leader."""

    def on_append_entries_response(self, sender: str, response: AppendEntriesResponse) -> None:
        if response.term < self._state.term:
            response = msgspec.structs.replace(response, term=self._state.term)
        super().on_append_entries_response(sender, response)


class NeverStepsDown(LeaderReplication):
    """Without check-quorum: a leader that nobody hears goes on."""

    def has_quorum_contact(self) -> bool:
        for peer in self._progress.values():
            peer.last_contact_at = self._state.now
        return super().has_quorum_contact()


class LearnsNoCommit(CommittedLog):
    """Without learning from votes how far the log is committed: who was admitted may count for nobody."""

    def learn(self, position: CommitPosition) -> None:
        pass


GUARDS: dict[str, RaftComponents] = {
    "VotesForAnyLog": RaftComponents(elections=VotesForAnyLog),
    "VotesTwice": RaftComponents(elections=VotesTwice),
    "VotesAfterForgetting": RaftComponents(disks=CountsAnyDisk, leader=CountsAnyAcknowledgment),
    "TrustsAnyDisk": RaftComponents(admission=TrustsAnyDisk),
    "TrustsAtOnce": RaftComponents(admission=TrustsAtOnce),
    "VotesForShorterLogs": RaftComponents(admission=VotesForShorterLogs),
    "VotesInDoubtfulTerms": RaftComponents(admission=VotesInDoubtfulTerms),
    "CountsInDoubt": RaftComponents(leader=CountsAnyAcknowledgment),
    "CommitsOldTerms": RaftComponents(leader=CommitsOldTerms),
    "AppendsAnywhere": RaftComponents(follower=AppendsAnywhere),
    "AnswersEarly": RaftComponents(proposals=AnswersEarly),
    "TakesAnyTerm": RaftComponents(follower=TakesAnyTerm),
    "CountsOldAnswers": RaftComponents(leader=CountsOldAnswers),
    "NeverStepsDown": RaftComponents(leader=NeverStepsDown),
    "LearnsNoCommit": RaftComponents(commits=LearnsNoCommit),
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
