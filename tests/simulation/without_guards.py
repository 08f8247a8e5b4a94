"""Raft components that each lack one guard, to show that the checker finds the faults that it prevents.

Section numbers such as 5.4.1 refer to the Raft paper. "The suspicion" is that of a disk that may be stale
(`HardState.stale_disk_suspected`).
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from enum import Enum, auto

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


class Guard(Enum):
    """The guards of Raft's safety or liveness."""

    ELECTION_RESTRICTION = auto()
    ONE_VOTE_PER_TERM = auto()
    DISK_ADMISSION = auto()
    STALE_DISK_SUSPICION = auto()
    TERM_AND_VOTE_FLOOR = auto()
    VOTE_FLOOR = auto()
    TERM_FLOOR = auto()
    TRUSTED_ACKNOWLEDGMENTS = auto()
    CURRENT_TERM_COMMIT = auto()
    LOG_MATCHING = auto()
    COMMIT_BEFORE_RESULT = auto()
    LEADER_TERM_CHECK = auto()
    RESPONSE_TERM_CHECK = auto()
    CHECK_QUORUM = auto()
    COMMIT_POSITION_EXCHANGE = auto()


class ElectionsWithoutRestriction(Elections):
    """Votes for a candidate whatever its log contains, without the election restriction (5.4.1)."""

    def on_request_vote(self, sender: str, request: RequestVote) -> None:
        beyond_all = 1 << 60
        any_log = msgspec.structs.replace(request, last_log_index=beyond_all, last_log_term=beyond_all)
        super().on_request_vote(sender, any_log)


class ElectionsWithoutVoteRecord(Elections):
    """Forgets its vote, so that it may vote for several candidates in one term."""

    def on_request_vote(self, sender: str, request: RequestVote) -> None:
        if not request.pre_vote:
            self._state.hard_state = self._state.hard_state.with_vote("")
        super().on_request_vote(sender, request)


class VoterDisksWithoutAdmission(VoterDisks):
    """Lets a voter vote and count on any disk, even on a new one after the loss of its disk."""

    @property
    def is_voting(self) -> bool:
        return self._state.name in self._state.voters

    def has_majority(self, names: Collection[str]) -> bool:
        voters = self._state.voters
        return len({*names, self._state.name}.intersection(voters)) * 2 > len(voters)

    def counted_voters(self) -> list[str]:
        return list(self._state.voters)


class LeaderWithoutTrustCheck(LeaderReplication):
    """Counts the acknowledgments of voters whose disks are suspected to be stale."""

    def on_append_entries_response(self, sender: str, response: AppendEntriesResponse) -> None:
        trusted = msgspec.structs.replace(response, is_disk_trusted=True)
        super().on_append_entries_response(sender, trusted)


class AdmissionWithoutSuspicion(DiskAdmission):
    """Trusts every disk, so that a voter votes and counts also on an older copy of its disk."""

    def __init__(self, state: NodeState, disks: VoterDisks, incarnation: str) -> None:
        state.hard_state = msgspec.structs.replace(state.hard_state, stale_disk_suspected=False)
        super().__init__(state, disks, incarnation)


class AdmissionWithoutFloors(DiskAdmission):
    """Ends the suspicion without regard to the terms and log positions reported by the other voters."""

    def _end_suspicion(self) -> None:
        trusted = msgspec.structs.replace(self._state.hard_state, stale_disk_suspected=False)
        self._state.persist(trusted)


class AdmissionWithoutVoteFloor(DiskAdmission):
    """Ends the suspicion without regard to the log positions reported by the other voters."""

    def _end_suspicion(self) -> None:
        super()._end_suspicion()
        self._state.persist(self._state.hard_state.with_vote_floor(START_OF_LOG))


class AdmissionWithoutTermFloor(DiskAdmission):
    """Ends the suspicion without regard to the terms reported by the other voters."""

    def _end_suspicion(self) -> None:
        before = self._state.hard_state
        super()._end_suspicion()
        after = self._state.hard_state
        self._state.persist(msgspec.structs.replace(after, term=before.term, voted_for=before.voted_for))


class LeaderCommittingEarlierTerms(LeaderReplication):
    """Commits entries of earlier terms directly, without an entry of its own term (5.4.2)."""

    def _is_from_current_term(self, index: int) -> bool:  # noqa: ARG002 - treats an entry of any term as its own
        return True


class FollowerWithoutLogMatching(FollowerReplication):
    """Appends entries without checking the term of the entry that precedes them in its own log."""

    def on_append_entries(self, sender: str, message: AppendEntries) -> None:
        log = self._state.log
        if log.snapshot.index <= message.prev_log_index <= log.last_index:
            own_term = log.term_at(message.prev_log_index)
            message = msgspec.structs.replace(message, prev_log_term=own_term)
        super().on_append_entries(sender, message)


class ProposalsWithEarlyResults(ProposalHandler):
    """Sends the result of a proposal before its entry is committed."""

    def on_proposal(self, sender: str, request: ProposalRequest) -> None:
        super().on_proposal(sender, request)
        state = self._state
        if state.pending_proposals.remove(state.log.last_index):
            state.outbox.answer(sender, ProposalResult(request.request_id, b"done"))


class FollowerWithoutTermCheck(FollowerReplication):
    """Accepts entries from the leader of an earlier term, unless this node is the leader."""

    def on_append_entries(self, sender: str, message: AppendEntries) -> None:
        state = self._state
        if message.term < state.term and state.leader != state.name:
            message = msgspec.structs.replace(message, term=state.term)
        super().on_append_entries(sender, message)


class LeaderWithoutTermCheck(LeaderReplication):
    """Counts responses from earlier terms."""

    def on_append_entries_response(self, sender: str, response: AppendEntriesResponse) -> None:
        if response.term < self._state.term:
            response = msgspec.structs.replace(response, term=self._state.term)
        super().on_append_entries_response(sender, response)


class LeaderWithoutCheckQuorum(LeaderReplication):
    """Remains the leader without contact to a majority."""

    def has_quorum_contact(self) -> bool:
        for peer in self._progress.values():
            peer.last_contact_at = self._state.now
        return super().has_quorum_contact()


class CommittedLogWithoutExchange(CommittedLog):
    """Ignores the commit positions in votes, so that other nodes may never count an admitted voter."""

    def observe_commit(self, position: CommitPosition) -> None:
        pass


class UnsyncedDisk(SimulatedDisk):
    """Writes no hard state, as if each crash happened before a sync, unless its `initial_disks` change."""

    def write(self, writes: Sequence[Write]) -> None:
        initial_disks = self.persisted.hard_state.initial_disks
        super().write(
            [
                write
                for write in writes
                if not isinstance(write, HardState) or write.initial_disks != initial_disks
            ]
        )


COMPONENTS_WITHOUT: dict[Guard, RaftComponents] = {
    Guard.ELECTION_RESTRICTION: RaftComponents(elections=ElectionsWithoutRestriction),
    Guard.ONE_VOTE_PER_TERM: RaftComponents(elections=ElectionsWithoutVoteRecord),
    Guard.DISK_ADMISSION: RaftComponents(disks=VoterDisksWithoutAdmission, leader=LeaderWithoutTrustCheck),
    Guard.STALE_DISK_SUSPICION: RaftComponents(admission=AdmissionWithoutSuspicion),
    Guard.TERM_AND_VOTE_FLOOR: RaftComponents(admission=AdmissionWithoutFloors),
    Guard.VOTE_FLOOR: RaftComponents(admission=AdmissionWithoutVoteFloor),
    Guard.TERM_FLOOR: RaftComponents(admission=AdmissionWithoutTermFloor),
    Guard.TRUSTED_ACKNOWLEDGMENTS: RaftComponents(leader=LeaderWithoutTrustCheck),
    Guard.CURRENT_TERM_COMMIT: RaftComponents(leader=LeaderCommittingEarlierTerms),
    Guard.LOG_MATCHING: RaftComponents(follower=FollowerWithoutLogMatching),
    Guard.COMMIT_BEFORE_RESULT: RaftComponents(proposals=ProposalsWithEarlyResults),
    Guard.LEADER_TERM_CHECK: RaftComponents(follower=FollowerWithoutTermCheck),
    Guard.RESPONSE_TERM_CHECK: RaftComponents(leader=LeaderWithoutTermCheck),
    Guard.CHECK_QUORUM: RaftComponents(leader=LeaderWithoutCheckQuorum),
    Guard.COMMIT_POSITION_EXCHANGE: RaftComponents(commits=CommittedLogWithoutExchange),
}
