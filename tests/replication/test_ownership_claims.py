"""Who owns a session: claims, confirmations and tokens that are given back."""

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


def say(claims: SessionOwnership, entry: OwnershipClaim | ClaimConfirmation | SessionOpened) -> ClaimResult:
    """Apply a command as the log has it, and read the result as its proposer does."""
    command = msgspec.msgpack.decode(msgspec.msgpack.encode(entry), type=OwnershipCommand)
    return msgspec.msgpack.decode(msgspec.msgpack.encode(claims.apply(command)), type=ClaimResult)


ASKS = itertools.count(1)


def claim(by: str, generation: int, at: int = 1, session: int = 7) -> OwnershipClaim:
    return OwnershipClaim(
        session, generation, 30 * SECOND_US, by, at * SECOND_US, (at + 40) * SECOND_US, next(ASKS)
    )


def confirm(
    by: str, tenure: int, floor: int, at: int = 2, session: int = 7, turn: int = 1
) -> ClaimConfirmation:
    return ClaimConfirmation(
        session, tenure, floor, 30 * SECOND_US, by, at * SECOND_US, (at + 40) * SECOND_US, turn
    )


def test_of_two_claims_with_one_token_one_is_confirmed() -> None:
    token, claims = 1 << GENERATION_COUNTER_BITS | 3, SessionOwnership()
    assert say(claims, claim("a", token)) == ClaimResult(2)
    assert say(claims, claim("b", token)) == ClaimResult(
        3
    )  # not confirmed yet, so its owner may be gone as well
    assert say(claims, confirm("a", 2, 2 << GENERATION_COUNTER_BITS | 1)).reason == "claimed"
    assert say(claims, confirm("b", 3, 3 << GENERATION_COUNTER_BITS | 1)) == ClaimResult(3)
    assert say(claims, confirm("b", 3, 3 << GENERATION_COUNTER_BITS | 1)) == ClaimResult(
        3
    )  # its answer was lost
    assert say(claims, claim("c", token, 9)).reason == "claimed"  # whether its owner answered is not known
    assert say(
        claims, SessionOpened(7, 3, "b", 9 * SECOND_US, 2)
    ).reason  # another confirmation than the newest
    assert say(claims, claim("c", token, 9)).reason == "claimed"
    assert say(claims, SessionOpened(7, 3, "b", 9 * SECOND_US, 1)) == ClaimResult(3)
    assert say(claims, claim("c", token, 9)).reason == "spent"
    assert say(claims, claim("c", 3 << GENERATION_COUNTER_BITS | 2)) == ClaimResult(4)


def test_a_claim_that_comes_again_is_the_same_claim() -> None:
    """A copy that was long under way must not make its own node's tenure out of date."""
    claims, once = SessionOwnership(), claim("a", 1 << GENERATION_COUNTER_BITS | 3)
    assert say(claims, once) == say(claims, once) == ClaimResult(2)
    assert say(claims, confirm("a", 2, 2 << GENERATION_COUNTER_BITS | 1)) == ClaimResult(2)
    assert say(claims, once) == ClaimResult(2)
    assert say(claims, claim("b", 2 << GENERATION_COUNTER_BITS | 1)) == ClaimResult(3)
    assert say(claims, confirm("a", 2, 9)).reason == "claimed"


def test_a_token_is_given_back_by_an_owner_that_did_not_answer_with_it() -> None:
    token, claims = 1 << GENERATION_COUNTER_BITS | 3, SessionOwnership()
    say(claims, claim("a", token))
    assert say(claims, confirm("a", 2, 2 << GENERATION_COUNTER_BITS | 1)) == ClaimResult(2)
    assert say(claims, claim("b", token, 3)).reason == "claimed"  # a moment later it may be good again
    assert say(claims, confirm("a", 2, token, 3, turn=2)) == ClaimResult(2)
    assert (
        say(claims, confirm("a", 2, 2 << GENERATION_COUNTER_BITS | 1, 3)).reason == "claimed"
    )  # under way for long
    assert say(claims, claim("b", token, 3)) == ClaimResult(3)
    assert say(claims, confirm("a", 2, token, 4, turn=3)).reason == "claimed"


def test_a_claim_of_a_node_whose_clock_is_behind_is_not_forgotten_while_its_tokens_are_good() -> None:
    token, claims = 1 << GENERATION_COUNTER_BITS | 3, SessionOwnership()
    told = OwnershipClaim(8, token, 30 * SECOND_US, "x", 25 * SECOND_US, 25 * SECOND_US, next(ASKS))
    say(claims, told)  # the others are at 25 s; the tokens expire at 30 s; no record is left of this one
    assert say(claims, claim("a", token, -60)) == ClaimResult(2)
    assert say(claims, claim("b", token, 26)) == ClaimResult(3)  # not the same tenure once more
    assert say(claims, confirm("a", 2, 9, -59)).reason == "claimed"


def test_an_owner_that_was_replaced_long_ago_confirms_nothing() -> None:
    """Its record is forgotten by then, but so is every token that it could be shown."""
    claims = SessionOwnership()
    say(claims, claim("b", 1 << GENERATION_COUNTER_BITS | 3))
    say(claims, claim("x", 1 << GENERATION_COUNTER_BITS | 3, 60, 8))
    assert list(claims.records) == []  # the second one's token had expired
    assert say(claims, confirm("a", 1, 9, 61)).reason == "expired"


STEPS = st.lists(st.tuples(st.integers(0, 2), st.sampled_from("ab"), st.booleans()), max_size=30)


@given(STEPS)
@settings(max_examples=200, deadline=None)
def test_only_the_newest_claim_of_a_session_is_confirmed(steps: list[tuple[int, str, bool]]) -> None:
    """Three sessions, two nodes, entries in any order, all within the life of the records."""
    claims, owned = SessionOwnership(), dict[tuple[int, str], int]()
    floor = dict.fromkeys(range(3), 1 << GENERATION_COUNTER_BITS)
    for at, (session, by, confirms) in enumerate(steps):
        newest = max((t for (s, _), t in owned.items() if s == session), default=1)
        if not confirms:
            spent = say(claims, claim("c", floor[session] - 1, at, session)).reason
            assert bool(spent) is (floor[session] > 1 << GENERATION_COUNTER_BITS)
            owned[session, by] = say(claims, claim(by, floor[session], at, session)).epoch
            assert owned[session, by] > newest
        elif (session, by) in owned:
            tenure = owned[session, by]
            ruling = say(claims, confirm(by, tenure, tenure << GENERATION_COUNTER_BITS, at, session))
            assert ruling == (
                ClaimResult(tenure) if tenure == newest else ClaimResult(reason=ClaimRejection.CLAIMED)
            )
            if tenure == newest:
                floor[session] = tenure << GENERATION_COUNTER_BITS
    told: list[tuple[int, int, str]] = []
    same = SessionOwnership(lambda *claim: told.append(claim))
    same.restore(claims.snapshot())
    assert told == [(session, record.epoch, record.owner) for session, record in claims.records.items()]
    assert (same.records, same.snapshot()) == (claims.records, claims.snapshot())
