"""All that the nodes of a cluster agree on through one log: session ownership and documents.

A command says by its tag which state machine it is for. A command that this version doesn't know ends the
node's part in the log, as its state would differ from the others' from there on.
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
    """A snapshot of both state machines; the version before encoded session ownership alone."""

    session_ownership: bytes
    documents: DocumentsSnapshot


class ReplicatedState:
    """The log's state machine. Owned by the Raft thread."""

    def __init__(self, voters: Sequence[str], on_owner_change: OwnerChangeCallback | None = None) -> None:
        """`voters`: names of the log's voters; `on_owner_change`: called with each accepted claim."""
        self.session_ownership = SessionOwnership(on_owner_change)
        self.documents = Documents(voters)
        self._decoder = msgspec.msgpack.Decoder(Command)

    def apply(self, data: bytes) -> bytes:
        """Apply an encoded command; return an encoded `ClaimResult` or `ChangeResult`.

        msgspec.ValidationError: this version doesn't know the command.
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
        """Replace the whole state by a snapshot's, of this version or the one before.

        msgspec.ValidationError: it is of no known version.
        """
        try:
            state = msgspec.msgpack.decode(snapshot, type=StateSnapshot)
        except msgspec.ValidationError:  # of the version before
            state = StateSnapshot(snapshot, DocumentsSnapshot())
        self.session_ownership.restore(state.session_ownership)
        self.documents.restore(state.documents)
