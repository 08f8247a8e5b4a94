"""The effects of one step of a node: disk writes, messages and results, which the caller carries out."""

from __future__ import annotations

from dataclasses import dataclass, field

from tansyladder.raft.messages import Message, ProposalResult, SentMessage
from tansyladder.raft.persistent_state import Write


@dataclass(slots=True)
class Effects:
    """The effects of one step.

    The caller syncs `writes`, in order, before it sends any of `messages` or delivers any of `results`. If
    the sync fails, the caller must send and deliver nothing and must stop the node. This ensures that a loss
    of power can't undo a vote or an acknowledgment that another node has counted.
    """

    writes: list[Write] = field(default_factory=list)
    messages: list[SentMessage] = field(default_factory=list)  # to send in this order
    results: list[ProposalResult] = field(default_factory=list)  # for proposals that this node has made


class Outbox:
    """Collects the effects of the current step. Owned by the node's thread."""

    def __init__(self, name: str) -> None:
        """Start without effects; `name` is the node's own name."""
        self._name = name
        self._effects = Effects()

    def begin_step(self) -> Effects:
        """Begin a step, and return the object that collects its effects."""
        self._effects = Effects()
        return self._effects

    def write(self, write: Write) -> None:
        """Add a record to write to the disk."""
        self._effects.writes.append(write)

    def send(self, recipient: str, message: Message) -> None:
        """Add a message to another node."""
        self._effects.messages.append((recipient, message))

    def answer(self, proposer: str, result: ProposalResult) -> None:
        """Add the result of a proposal for the node that made it, which may be this one."""
        if proposer == self._name:
            self._effects.results.append(result)
        else:
            self.send(proposer, result)
