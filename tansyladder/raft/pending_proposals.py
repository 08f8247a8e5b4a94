"""Proposals whose entries are not committed yet, and the nodes that wait for their results."""

from __future__ import annotations

from dataclasses import dataclass

from tansyladder.raft.effects import Outbox
from tansyladder.raft.messages import ProposalResult


@dataclass(frozen=True, slots=True)
class PendingProposal:
    """A proposal whose entry is not committed yet."""

    proposer: str  # the node that made the proposal
    request_id: str


class PendingProposals:
    """The uncommitted proposals of a leader's term, by log index. Owned by the node's thread."""

    def __init__(self, outbox: Outbox) -> None:
        """Start without proposals."""
        self._outbox = outbox
        self._by_index: dict[int, PendingProposal] = {}

    def add(self, index: int, proposal: PendingProposal) -> None:
        """Register a proposal under the index of its entry."""
        self._by_index[index] = proposal

    def remove(self, index: int) -> PendingProposal | None:
        """Remove the proposal at an index, if there is one, and return it."""
        return self._by_index.pop(index, None)

    def resolve(self, index: int, result: bytes) -> None:
        """Send the result of the proposal at an index, if there is one."""
        proposal = self.remove(index)
        if proposal is not None:
            self._outbox.answer(proposal.proposer, ProposalResult(proposal.request_id, result))

    def abandon_all(self) -> None:
        """Report an unknown outcome for all proposals, as another leader will decide on their entries."""
        for proposal in self._by_index.values():
            self._outbox.answer(proposal.proposer, ProposalResult(proposal.request_id, None))
        self._by_index.clear()
