"""Snapshots of session ownership and documents together."""

from __future__ import annotations

import msgspec

from tansyladder.replication.document_messages import LeaseGrant, Proposal, ValidationVote
from tansyladder.replication.replicated_state import ReplicatedState
from tansyladder.replication.session_ownership import ClaimResult, OwnershipClaim, SessionOwnership
from tansyladder.replication.units import SECOND_US

VOTERS = ["a", "b", "c"]


SESSION = 7
CLAIM = OwnershipClaim(SESSION, 1 << 32, 90 * SECOND_US, "a/1", SECOND_US, 90 * SECOND_US, 1)


def test_a_snapshot_holds_the_whole_state() -> None:
    state = ReplicatedState(VOTERS)
    result = state.apply(msgspec.msgpack.encode(CLAIM))
    assert msgspec.msgpack.decode(result, type=ClaimResult) == ClaimResult(2)
    for command in (
        LeaseGrant(("a/1", "b/1", "c/1"), 30 * SECOND_US, "a/1", 0),
        Proposal("rules", b"d", 9, "k", "a/1", 0),
        ValidationVote(1, "a/1", SECOND_US),
    ):
        state.apply(msgspec.msgpack.encode(command))
    restored = ReplicatedState(VOTERS)
    restored.restore(state.snapshot())
    assert restored.snapshot() == state.snapshot()
    assert restored.documents.change is not None
    assert restored.documents.change.accepted_by == {"a/1"}
    assert restored.session_ownership.records[SESSION].owner == "a/1"


def test_a_snapshot_of_the_previous_version_is_restored() -> None:
    """The previous version encoded session ownership alone."""
    ownership = SessionOwnership()
    ownership.apply(CLAIM)
    restored = ReplicatedState(VOTERS)
    restored.restore(ownership.snapshot())
    assert restored.session_ownership.records[SESSION].epoch == 2
    assert not restored.documents.leases
