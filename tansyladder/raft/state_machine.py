"""The interface of the state that the log replicates."""

from __future__ import annotations

from typing import Protocol


class StateMachine(Protocol):
    """The replicated state; the same commands lead to the same state at each node.

    Owned by the node's thread.
    """

    def apply(self, data: bytes) -> bytes:
        """Apply a command, and return the result for its proposer."""

    def snapshot(self) -> bytes:
        """Encode the whole state."""

    def restore(self, dumped: bytes) -> None:
        """Replace the state by that of a snapshot."""
