"""The state that the nodes of a cluster replicate through one log: session ownership and documents.

The tag of a command determines the state machine that applies it. A command that this version doesn't know
stops the node's Raft thread, because the node's state would differ from that of the other nodes afterwards.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from tansyladder.replication.document_messages import DocumentCommand
from tansyladder.replication.documents import Documents, DocumentsSnapshot
from tansyladder.replication.session_ownership import (
    ClaimConfirmation,
    OwnerChangeCallback,
    OwnershipClaim,
    OwnershipCommand,
    SessionOpened,
    SessionOwnership,
)

Command = OwnershipCommand | DocumentCommand


class StateSnapshot(msgspec.Struct, array_like=True, tag="agreed 2"):
    """A snapshot of both state machines; the previous version encoded session ownership alone."""

    session_ownership: bytes
    documents: DocumentsSnapshot


class ReplicatedState:
    """The state machine of the Raft log. Owned by the Raft thread."""

    def __init__(self, voters: Sequence[str], on_owner_change: OwnerChangeCallback | None = None) -> None:
        """Start with an empty state.

        Args:
            voters: The names of the log's voters.
            on_owner_change: Called for each accepted claim and each restored record, on the Raft thread or,
                at the start, before that thread runs; it must not block.
        """
        self.session_ownership = SessionOwnership(on_owner_change)
        self.documents = Documents(voters)
        self._decoder = msgspec.msgpack.Decoder(Command)

    def apply(self, data: bytes) -> bytes:
        """Apply an encoded command; return an encoded `ClaimResult` or `ChangeResult`.

        Raises:
            msgspec.ValidationError: This version doesn't know the command.
        """
        command = self._decoder.decode(data)
        if isinstance(command, OwnershipClaim | ClaimConfirmation | SessionOpened):
            return msgspec.msgpack.encode(self.session_ownership.apply(command))
        return msgspec.msgpack.encode(self.documents.apply(command))

    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""
        ownership = self.session_ownership.snapshot()
        return msgspec.msgpack.encode(StateSnapshot(ownership, self.documents.snapshot()))

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state by that of a snapshot of this version or the previous one.

        Raises:
            msgspec.ValidationError: The snapshot has the form of neither this version nor the previous one.
        """
        try:
            state = msgspec.msgpack.decode(snapshot, type=StateSnapshot)
        except msgspec.ValidationError:  # the snapshot is of the previous version
            state = StateSnapshot(snapshot, DocumentsSnapshot())
        self.session_ownership.restore(state.session_ownership)
        self.documents.restore(state.documents)
