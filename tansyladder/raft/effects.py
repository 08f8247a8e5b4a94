"""What a step of a node asks its caller to do."""

from __future__ import annotations

from dataclasses import dataclass, field

from tansyladder.raft.messages import Message, ProposalResult
from tansyladder.raft.persistent_state import Write


@dataclass(slots=True)
class Effects:
    """The effects of one step.

    The caller syncs `writes`, in order, before any of `messages` or `results` leaves. Where that fails
    nothing of them may leave, and the node must stop. So no vote and no acknowledgment counts that a loss of
    power could take back.
    """

    writes: list[Write] = field(default_factory=list)
    messages: list[tuple[str, Message]] = field(default_factory=list)  # with their recipients, in order
    results: list[ProposalResult] = field(default_factory=list)  # of proposals that were made at this node


class Outbox:
    """Collects the effects of the current step. Owned by the node's thread."""

    def __init__(self, name: str) -> None:
        """`name`: of the node itself."""
        self._name = name
        self._effects = Effects()

    def begin_step(self) -> Effects:
        """Drop the effects of the step before, and return the effects that this step will fill."""
        self._effects = Effects()
        return self._effects

    def write(self, write: Write) -> None:
        """Have a record written to the disk."""
        self._effects.writes.append(write)

    def send(self, recipient: str, message: Message) -> None:
        """Have a message sent to another node."""
        self._effects.messages.append((recipient, message))

    def answer(self, proposer: str, result: ProposalResult) -> None:
        """Have the result of a proposal delivered to the node that made it, which may be this one."""
        if proposer == self._name:
            self._effects.results.append(result)
        else:
            self.send(proposer, result)
