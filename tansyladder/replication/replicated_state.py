"""All that the nodes of a fleet have agreed on: who owns which session, and the documents that hold.

One log decides both. An entry says by its tag whom it is for; what this version does not know ends the
node's part in the log, as its state would not be that of the others from there on.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec

from tansyladder.replication import document_messages, session_ownership
from tansyladder.replication.documents import Documents, DocumentsSnapshot
from tansyladder.replication.session_ownership import (
    SessionOwnership,
)

Command = (
    session_ownership.OwnershipClaim
    | session_ownership.ClaimConfirmation
    | session_ownership.SessionOpened
    | document_messages.DocumentCommand
)


class StateSnapshot(msgspec.Struct, array_like=True, tag="agreed 2"):
    """A snapshot; the version before wrote the claims alone."""

    session_ownership: bytes
    documents: DocumentsSnapshot


class ReplicatedState:
    """The state of the log."""

    def __init__(self, voters: Sequence[str], taken: Callable[[int, int, str], None] | None = None) -> None:
        """`voters`: of the log, by name; `taken`: told of each claim that holds: session, tenure, whose."""
        self.session_ownership = SessionOwnership(taken)
        self.documents = Documents(voters)
        self._decoder = msgspec.msgpack.Decoder(Command)

    def apply(self, data: bytes) -> bytes:
        """Take in an encoded entry; an encoded `ClaimResult` or `document_messages.ChangeResult`."""
        told = self._decoder.decode(data)
        if isinstance(
            told,
            session_ownership.OwnershipClaim
            | session_ownership.ClaimConfirmation
            | session_ownership.SessionOpened,
        ):
            return self.session_ownership.apply(data)
        return msgspec.msgpack.encode(self.documents.apply(told))

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode(
            StateSnapshot(self.session_ownership.snapshot(), self.documents.snapshot())
        )

    def restore(self, dumped: bytes) -> None:
        """ValueError: it is of no version that is known."""
        try:
            whole = msgspec.msgpack.decode(dumped, type=StateSnapshot)
        except msgspec.ValidationError:  # of the version before
            whole = StateSnapshot(dumped, DocumentsSnapshot())
        self.session_ownership.restore(whole.session_ownership)
        self.documents.restore(whole.documents)
