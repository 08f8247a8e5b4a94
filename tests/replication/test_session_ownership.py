"""The ownership of sessions: claims, confirmations, released tokens, and encoded results."""

from __future__ import annotations

import itertools

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from tansyladder.replication.session_ownership import (
    ClaimConfirmation,
    ClaimRejection,
    ClaimResult,
    OwnershipClaim,
    OwnershipCommand,
    SessionOpened,
    SessionOwnership,
)
from tansyladder.replication.units import SECOND_US
from tansyladder.resumption.token_registry import GENERATION_COUNTER_BITS

SESSION = 7
TOKEN_EXPIRY_US = 30 * SECOND_US
RETENTION_S = 40
FIRST_TOKEN = 1 << GENERATION_COUNTER_BITS | 3  # a generation that the session's first owner issued
CLAIMED = ClaimResult(reason=ClaimRejection.CLAIMED)
SPENT = ClaimResult(reason=ClaimRejection.SPENT)
EXPIRED = ClaimResult(reason=ClaimRejection.EXPIRED)

claim_numbers = itertools.count(1)


def apply(ownership: SessionOwnership, command: OwnershipCommand) -> ClaimResult:
    """Apply a command as the log encodes it, and decode the result as its proposer does."""
    decoded = msgspec.msgpack.decode(msgspec.msgpack.encode(command), type=OwnershipCommand)
    result = ownership.apply(decoded)
    return msgspec.msgpack.decode(msgspec.msgpack.encode(result), type=ClaimResult)


def claim(node: str, generation: int, at_s: int = 1, session: int = SESSION) -> OwnershipClaim:
    """Create a node's next claim."""
    return OwnershipClaim(
        session=session,
        generation=generation,
        token_expiry_us=TOKEN_EXPIRY_US,
        node=node,
        timestamp_us=at_s * SECOND_US,
        retain_until_us=(at_s + RETENTION_S) * SECOND_US,
        idempotency_key=next(claim_numbers),
    )


def confirmation(
    node: str, epoch: int, floor: int, at_s: int = 2, session: int = SESSION, sequence: int = 1
) -> ClaimConfirmation:
    """Create an owner's confirmation."""
    return ClaimConfirmation(
        session=session,
        epoch=epoch,
        generation_floor=floor,
        token_expiry_us=TOKEN_EXPIRY_US,
        node=node,
        timestamp_us=at_s * SECOND_US,
        retain_until_us=(at_s + RETENTION_S) * SECOND_US,
        sequence=sequence,
    )


def opened(node: str, epoch: int, at_s: int, sequence: int) -> SessionOpened:
    """Create an owner's report that it has answered its client."""
    return SessionOpened(SESSION, epoch, node, at_s * SECOND_US, sequence)


def first_generation(epoch: int) -> int:
    """Return the lowest generation of an owner's tokens."""
    return epoch << GENERATION_COUNTER_BITS


def test_of_two_claims_with_one_token_the_later_one_is_confirmed() -> None:
    ownership = SessionOwnership()
    floor = first_generation(3) | 1
    assert apply(ownership, claim("a", FIRST_TOKEN)) == ClaimResult(2)
    # The first claim isn't confirmed yet, and its owner may be down, so a second claim is accepted.
    assert apply(ownership, claim("b", FIRST_TOKEN)) == ClaimResult(3)
    assert apply(ownership, confirmation("a", 2, first_generation(2) | 1)) == CLAIMED
    assert apply(ownership, confirmation("b", 3, floor)) == ClaimResult(3)
    assert apply(ownership, confirmation("b", 3, floor)) == ClaimResult(3)  # repeated, as its result was lost


def test_a_token_is_spent_once_its_owner_has_opened_the_session() -> None:
    ownership = SessionOwnership()
    apply(ownership, claim("a", FIRST_TOKEN))
    apply(ownership, claim("b", FIRST_TOKEN))
    apply(ownership, confirmation("b", 3, first_generation(3) | 1))
    assert apply(ownership, claim("c", FIRST_TOKEN, 9)) == CLAIMED  # the owner may still release the token
    assert apply(ownership, opened("b", 3, 9, sequence=2)) == CLAIMED  # its last confirmation was 1
    assert apply(ownership, claim("c", FIRST_TOKEN, 9)) == CLAIMED
    assert apply(ownership, opened("b", 3, 9, sequence=1)) == ClaimResult(3)
    assert apply(ownership, claim("c", FIRST_TOKEN, 9)) == SPENT
    assert apply(ownership, claim("c", first_generation(3) | 2)) == ClaimResult(4)


def test_a_repeated_claim_is_the_same_claim() -> None:
    """A delayed copy of a claim must not invalidate the epoch of the node that made it."""
    ownership = SessionOwnership()
    repeated = claim("a", FIRST_TOKEN)
    assert apply(ownership, repeated) == ClaimResult(2)
    assert apply(ownership, repeated) == ClaimResult(2)
    assert apply(ownership, confirmation("a", 2, first_generation(2) | 1)) == ClaimResult(2)
    assert apply(ownership, repeated) == ClaimResult(2)
    assert apply(ownership, claim("b", first_generation(2) | 1)) == ClaimResult(3)
    assert apply(ownership, confirmation("a", 2, 9)) == CLAIMED


def test_an_owner_that_did_not_answer_its_client_releases_the_token() -> None:
    ownership = SessionOwnership()
    apply(ownership, claim("a", FIRST_TOKEN))
    confirmed = confirmation("a", 2, first_generation(2) | 1)
    assert apply(ownership, confirmed) == ClaimResult(2)
    assert apply(ownership, claim("b", FIRST_TOKEN, 3)) == CLAIMED  # the owner may still release the token
    assert apply(ownership, confirmation("a", 2, FIRST_TOKEN, 3, sequence=2)) == ClaimResult(2)
    delayed = confirmation("a", 2, first_generation(2) | 1, 3)
    assert apply(ownership, delayed) == CLAIMED
    assert apply(ownership, claim("b", FIRST_TOKEN, 3)) == ClaimResult(3)
    assert apply(ownership, confirmation("a", 2, FIRST_TOKEN, 4, sequence=3)) == CLAIMED


def test_a_claim_of_a_node_whose_clock_is_behind_is_retained_until_its_tokens_expire() -> None:
    ownership = SessionOwnership()
    # Another session's claim shows that the other clocks are at 25 s; the tokens expire at 30 s.
    others_claim = OwnershipClaim(
        8, FIRST_TOKEN, TOKEN_EXPIRY_US, "x", 25 * SECOND_US, 25 * SECOND_US, next(claim_numbers)
    )
    apply(ownership, others_claim)
    assert apply(ownership, claim("a", FIRST_TOKEN, -60)) == ClaimResult(2)
    assert apply(ownership, claim("b", FIRST_TOKEN, 26)) == ClaimResult(3)  # a new epoch, not 2 again
    assert apply(ownership, confirmation("a", 2, 9, -59)) == CLAIMED


def test_an_owner_that_was_replaced_long_ago_confirms_nothing() -> None:
    """The record is forgotten by then, but every token that the owner could get has expired as well."""
    ownership = SessionOwnership()
    apply(ownership, claim("b", FIRST_TOKEN))
    apply(ownership, claim("x", FIRST_TOKEN, 60, 8))
    assert list(ownership.records) == []  # the second claim was rejected, as its token had expired
    assert apply(ownership, confirmation("a", 1, 9, 61)) == EXPIRED


STEPS = st.lists(st.tuples(st.integers(0, 2), st.sampled_from("ab"), st.booleans()), max_size=30)


@given(STEPS)
@settings(max_examples=200, deadline=None)
def test_only_the_newest_claim_of_a_session_is_confirmed(steps: list[tuple[int, str, bool]]) -> None:
    """Commands of two nodes for three sessions, in any order, within the retention of the records."""
    ownership = SessionOwnership()
    epochs: dict[tuple[int, str], int] = {}  # by session and node
    floors = dict.fromkeys(range(3), first_generation(1))
    for at_s, (session, node, is_confirmation) in enumerate(steps):
        newest = max((epoch for (known, _), epoch in epochs.items() if known == session), default=1)
        if not is_confirmation:
            rejected = apply(ownership, claim("c", floors[session] - 1, at_s, session))
            assert bool(rejected.reason) is (floors[session] > first_generation(1))
            epochs[session, node] = apply(ownership, claim(node, floors[session], at_s, session)).epoch
            assert epochs[session, node] > newest
        elif (session, node) in epochs:
            epoch = epochs[session, node]
            result = apply(ownership, confirmation(node, epoch, first_generation(epoch), at_s, session))
            assert result == (ClaimResult(epoch) if epoch == newest else CLAIMED)
            if epoch == newest:
                floors[session] = first_generation(epoch)
    changes: list[tuple[int, int, str]] = []
    restored = SessionOwnership(lambda *change: changes.append(change))
    restored.restore(ownership.snapshot())
    records = ownership.records
    assert changes == [(session, record.epoch, record.owner) for session, record in records.items()]
    assert restored.records == records
    assert restored.snapshot() == ownership.snapshot()


def test_the_encoded_rejections_do_not_change() -> None:
    assert tuple(ClaimRejection) == ("", "spent", "expired", "claimed", "full")
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(ClaimResult(3))) == [3, ""]
    encoded = msgspec.msgpack.encode(SPENT)
    assert msgspec.msgpack.decode(encoded) == [0, "spent"]


def test_a_released_token_is_confirmed_with_its_earlier_floor_and_a_later_sequence() -> None:
    confirmed = ClaimConfirmation(7, 2, 9, 90, "a/1", 10, 100, 3)
    assert confirmed.releasing(8, 4) == ClaimConfirmation(7, 2, 8, 90, "a/1", 10, 100, 4)
