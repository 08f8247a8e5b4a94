"""Elections: pre-votes, votes, and the election restriction; `node` cites the thesis."""

from __future__ import annotations

from tansyladder.raft.commits import CommittedLog
from tansyladder.raft.leader import LeaderReplication
from tansyladder.raft.messages import LogPosition, RequestVote, VoteResponse
from tansyladder.raft.node_state import NodeState, Role
from tansyladder.raft.timing import ELECTION_TIMEOUT
from tansyladder.raft.voter_disks import VoterDisks


class Elections:
    """Grants votes, and starts elections when the election timeout expires. Owned by the node's thread."""

    def __init__(
        self, state: NodeState, disks: VoterDisks, commits: CommittedLog, leader: LeaderReplication
    ) -> None:
        """Start without an election; `leader` takes over once this node is elected."""
        self._state = state
        self._disks = disks
        self._commits = commits
        self._leader = leader
        self._votes: set[str] = set()  # the nodes that have granted their vote in the current election

    @property
    def is_electable(self) -> bool:
        """Whether this node votes, and its log has recovered all entries that its disk may have lost."""
        state = self._state
        return self._disks.is_voting and state.log.last_position >= state.hard_state.vote_floor

    def tick(self) -> None:
        """Request pre-votes once the election timeout has expired; not to be called while this node leads."""
        state = self._state
        if state.now >= state.election_at:
            state.reset_election_timer()
            state.forget_leader()
            if self.is_electable:
                self._start_pre_vote()

    def on_request_vote(self, sender: str, request: RequestVote) -> None:
        """Grant or deny a vote."""
        state = self._state
        if request.term > state.term and self._has_leader_contact():
            # A node that was partitioned must not depose a leader that the other nodes are in contact with
            # (section 4.2.3 of the thesis).
            self._respond(sender, request, granted=False)
            return
        self._commits.observe_commit(request.committed)
        if not request.pre_vote and request.term > state.term:
            state.become_follower(request.term, "")
        granted = self._may_grant(sender, request)
        if granted and not request.pre_vote:
            state.persist(state.hard_state.with_vote(sender))
            state.reset_election_timer()
        self._respond(sender, request, granted=granted)

    def on_vote_response(self, sender: str, response: VoteResponse) -> None:
        """Count a vote, or a pre-vote, of the current election."""
        state = self._state
        self._disks.observe(sender, response.disk_id)
        self._commits.observe_commit(response.committed)
        if not response.granted:
            if response.term > state.term:
                state.become_follower(response.term, "")
            return
        expected_role = Role.PRE_CANDIDATE if response.pre_vote else Role.CANDIDATE
        expected_term = state.term + 1 if response.pre_vote else state.term
        if state.role is expected_role and response.term == expected_term:
            self._votes.add(sender)
            self._count_votes()

    def _has_leader_contact(self) -> bool:
        """Whether this node leads, or has received a leader's message within the election timeout."""
        state = self._state
        return state.role is Role.LEADER or state.now - state.leader_contact_at < ELECTION_TIMEOUT

    def _may_grant(self, sender: str, request: RequestVote) -> bool:
        """Whether this node can still vote for the sender, and its log has all that may be committed."""
        state = self._state
        if not self._disks.is_voting or request.term < state.term:
            return False
        if request.pre_vote:
            is_vote_free = request.term > state.term
        else:
            is_vote_free = state.hard_state.voted_for in ("", sender)
        candidate_position = LogPosition(request.last_log_term, request.last_log_index)
        return is_vote_free and candidate_position >= max(
            state.log.last_position, state.hard_state.vote_floor
        )

    def _respond(self, candidate: str, request: RequestVote, *, granted: bool) -> None:
        """Respond to a vote request; a granted vote has the request's term, a denial this node's term."""
        state = self._state
        response = VoteResponse(
            term=request.term if granted else state.term,
            granted=granted,
            pre_vote=request.pre_vote,
            disk_id=state.hard_state.disk_id,
            committed=self._commits.position,
        )
        state.outbox.send(candidate, response)

    def _start_pre_vote(self) -> None:
        """Request pre-votes for the next term, without beginning it (section 9.6 of the thesis)."""
        self._state.become_pre_candidate()
        self._request_votes(self._state.term + 1)

    def _start_election(self) -> None:
        """Begin a new term and request votes in it."""
        self._state.become_candidate()
        self._request_votes(self._state.term)

    def _request_votes(self, term: int) -> None:
        """Request a vote, or a pre-vote, from each other voter, and count this node's own."""
        state = self._state
        self._votes = {state.name}
        request = RequestVote(
            term=term,
            last_log_index=state.log.last_index,
            last_log_term=state.log.last_term,
            pre_vote=state.role is Role.PRE_CANDIDATE,
            committed=self._commits.position,
        )
        for voter in state.other_voters:
            state.outbox.send(voter, request)
        self._count_votes()

    def _count_votes(self) -> None:
        """Once a majority has voted for this node, start the election after a pre-vote, or lead the term."""
        if not self._disks.has_majority(self._votes):
            return
        if self._state.role is Role.PRE_CANDIDATE:
            self._start_election()
        else:
            self._leader.begin_term()
