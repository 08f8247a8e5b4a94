"""Snapshots of session ownership and documents together."""

from __future__ import annotations

import msgspec

from tansyladder.replication.document_messages import LeaseGrant, Proposal, ValidationVote
from tansyladder.replication.replicated_state import ReplicatedState
from tansyladder.replication.session_ownership import ClaimResult, OwnershipClaim, SessionOwnership
from tansyladder.replication.units import SECOND_US

VOTERS = ["a", "b", "c"]


def test_a_snapshot_holds_the_whole_state_and_one_of_the_version_before_is_read() -> None:
    claim = OwnershipClaim(7, 1 << 32, 90 * SECOND_US, "a/1", SECOND_US, 90 * SECOND_US, 1)
    state = ReplicatedState(VOTERS)
    result = state.apply(msgspec.msgpack.encode(claim))
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
    assert restored.session_ownership.records[7].owner == "a/1"
    earlier_version = SessionOwnership()
    earlier_version.apply(claim)
    restored_earlier = ReplicatedState(VOTERS)
    restored_earlier.restore(earlier_version.snapshot())
    assert restored_earlier.session_ownership.records[7].epoch == 2
    assert not restored_earlier.documents.leases
