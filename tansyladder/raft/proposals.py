"""Proposals: the leader appends them to the log, and other nodes forward theirs to the leader."""

from __future__ import annotations

from tansyladder.raft.commits import CommittedLog
from tansyladder.raft.leader import LeaderReplication
from tansyladder.raft.messages import EntryKind, LogEntry, ProposalRequest, ProposalResult
from tansyladder.raft.node_state import NodeState, Role
from tansyladder.raft.pending_proposals import PendingProposal

MAX_UNCOMMITTED_ENTRIES = 2048  # limit for the leader's log; further proposals are rejected


class ProposalHandler:
    """Appends, forwards or rejects proposals. Owned by the node's thread."""

    def __init__(self, state: NodeState, commits: CommittedLog, leader: LeaderReplication) -> None:
        """Start without proposals; `leader` appends entries while this node leads."""
        self._state = state
        self._commits = commits
        self._leader = leader

    def on_proposal(self, sender: str, request: ProposalRequest) -> None:
        """Append a proposal as the leader, or forward this node's own to the leader; otherwise reject it."""
        state = self._state
        if state.role is Role.LEADER:
            if state.log.last_index - self._commits.commit_index < MAX_UNCOMMITTED_ENTRIES:
                self._append(sender, request)
                return
        elif sender == state.name and state.leader:
            state.outbox.send(state.leader, request)
            return
        state.outbox.answer(sender, ProposalResult(request.request_id, None))

    def _append(self, sender: str, request: ProposalRequest) -> None:
        """Append a proposal to the log, and register its proposer for the result."""
        state = self._state
        proposal = PendingProposal(sender, request.request_id)
        state.pending_proposals.add(state.log.last_index + 1, proposal)
        self._leader.append(LogEntry(state.term, EntryKind.COMMAND, request.request_id, request.data))
