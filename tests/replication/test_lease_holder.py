"""The lease of one incarnation: when it is shortened, and that a later incarnation doesn't have it."""

from __future__ import annotations

import pytest

from tansyladder.replication.document_messages import (
    LeaseGrant,
    Prepare,
    Prepared,
    Proposal,
    ValidationVote,
)
from tansyladder.replication.documents import Documents
from tansyladder.replication.lease_holder import LeaseHolder
from tansyladder.replication.units import MILLISECOND_US, SECOND_US
from tests.simulation.documents_without_guards import (
    HolderWithoutIncarnationCheck,
    HolderWithoutLeaseShortening,
)

LEASE_END_US = 30 * SECOND_US
SHORT_LEASE_US = 300 * MILLISECOND_US
NOW_US = 2 * SECOND_US


def prepared_documents() -> Documents:
    """Create the state of one voter with a lease and a change in its first round."""
    documents = Documents(["a"])
    documents.apply(LeaseGrant(("a/1",), LEASE_END_US, "a/1", 0))
    documents.apply(Proposal("rules", b"d", 10, "key", "a/1", 0))
    documents.apply(ValidationVote(1, "a/1", SECOND_US))
    documents.apply(Prepare(1, "a/1", NOW_US, SHORT_LEASE_US))
    return documents


def shortened_end_us(holder_type: type[LeaseHolder]) -> int:
    """Shorten a lease for a pending change, and return its end before the log holds the `Prepared`."""
    holder = holder_type("a/1", prepared_documents())
    assert holder.lease_end_us() == LEASE_END_US
    assert holder.prepare(NOW_US) == Prepared(1, 1, "a/1", NOW_US)
    return holder.lease_end_us()


def next_incarnations_end_us(holder_type: type[LeaseHolder]) -> int:
    """Return the lease end of a process that starts while the lease of the previous one still runs."""
    return holder_type("a/2", prepared_documents()).lease_end_us()


def test_a_shortened_lease_applies_at_once() -> None:
    assert shortened_end_us(LeaseHolder) == NOW_US + SHORT_LEASE_US
    assert shortened_end_us(HolderWithoutLeaseShortening) == LEASE_END_US  # the removal is detected


def test_a_new_incarnation_has_no_lease() -> None:
    assert next_incarnations_end_us(LeaseHolder) == 0
    assert next_incarnations_end_us(HolderWithoutIncarnationCheck) == LEASE_END_US


@pytest.mark.parametrize("later_us", [0, 40 * MILLISECOND_US])
def test_a_repeated_prepared_is_the_same_until_the_log_has_it(later_us: int) -> None:
    documents = prepared_documents()
    holder = LeaseHolder("a/1", documents)
    prepared = holder.prepare(NOW_US)
    assert holder.prepare(NOW_US + later_us) == prepared
    assert prepared is not None
    documents.apply(prepared)
    assert holder.prepare(NOW_US + later_us) is None
    assert holder.lease_end_us() == NOW_US + SHORT_LEASE_US
