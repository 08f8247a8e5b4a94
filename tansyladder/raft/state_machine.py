"""The interface of the replicated state machine."""

from __future__ import annotations

from typing import Protocol


class StateMachine(Protocol):
    """The replicated state; the same commands must lead to the same state at each node.

    Owned by the node's thread.
    """

    def apply(self, data: bytes) -> bytes:
        """Apply a command, and return the result for its proposer."""

    def snapshot(self) -> bytes:
        """Encode the whole state."""

    def restore(self, dumped: bytes) -> None:
        """Replace the whole state by that of a snapshot, as `snapshot` has encoded it."""
