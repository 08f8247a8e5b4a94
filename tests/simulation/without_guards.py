"""Components with one guard taken out, to show that the checkers find what each guard is for."""

from __future__ import annotations

from collections.abc import Collection, Sequence

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
from tansyladder.raft.persistent_state import HardState, Write
from tansyladder.raft.proposals import ProposalHandler
from tansyladder.raft.voter_disks import VoterDisks
from tansyladder.simulation.simulated_disk import SimulatedDisk


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

    def _is_of_own_term(self, index: int) -> bool:  # noqa: ARG002 - any entry will do
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


class UnsyncedDisk(SimulatedDisk):
    """Never writes terms and votes, as if each crash came before their sync."""

    def write(self, writes: Sequence[Write]) -> None:
        initial_disks = self.persisted.hard_state.initial_disks
        super().write(
            [
                write
                for write in writes
                if not isinstance(write, HardState) or write.initial_disks != initial_disks
            ]
        )


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
