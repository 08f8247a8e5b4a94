"""The agreement on a simulated network, with each guard taken out once, and the claims that it decides."""

from __future__ import annotations

import itertools
from dataclasses import replace

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tansyladder.replication.session_ownership import (
    ClaimConfirmation,
    ClaimResult,
    OwnershipClaim,
    SessionOpened,
    SessionOwnership,
)
from tansyladder.resumption.token_registry import GENERATION_COUNTER_BITS
from tansyladder.simulation.raft_cluster import MS, FaultRates, InvariantViolation, S, SimulatedCluster, play
from tests.simulation.without_guards import GUARDS

HARD = FaultRates(
    loss=0.1,
    delay=(1 * MS, 300 * MS),
    crash_every=800 * MS,
    down=(100 * MS, 1500 * MS),
    wiped=0.3,
    cut_every=700 * MS,
    cut=(200 * MS, 2 * S),
)


@pytest.mark.parametrize("voters", [1, 3, 5])
def test_what_is_agreed_holds_through_crashes_lost_disks_and_cuts(voters: int) -> None:
    worlds = [play(seed, voters, 1, 15.0, HARD) for seed in range(12)]
    assert sum(w.counts["crashes"] for w in worlds) > 100
    assert sum(w.counts["wiped"] for w in worlds) > 5 or voters == 1
    assert sum(len(w.answered) for w in worlds) > 300


def test_the_same_seed_gives_the_same_history() -> None:
    one, same, other = (play(seed, 3, 1, 8.0, HARD) for seed in (5, 5, 6))
    assert (one.committed, one.counts) == (same.committed, same.counts)
    assert one.committed != other.committed


@pytest.mark.parametrize(
    ("guard", "seed", "found"),
    [
        ("VotesForAnyLog", 14, "commits"),
        ("VotesTwice", 6, "two leaders"),
        ("VotesAfterForgetting", 9, "commits"),
        ("AppendsAnywhere", 18, "commits"),
        ("AnswersEarly", 4, "is in no log"),
        ("", 2, "two leaders"),  # writes that are not synced before messages leave
    ],
)
def test_a_guard_taken_out_is_found(guard: str, seed: int, found: str) -> None:
    play(seed, 3, 1, 15.0, HARD)
    with pytest.raises(InvariantViolation, match=found):
        if guard:
            play(seed, 3, 1, 15.0, HARD, components=GUARDS[guard])
        else:
            play(seed, 3, 1, 15.0, HARD, synced=False)


OLD = replace(HARD, wiped=0.15, older=0.3, doubted=0.1)


def test_what_is_agreed_holds_though_disks_come_back_older() -> None:
    worlds = [play(seed, voters, 1, 15.0, OLD) for voters in (3, 5) for seed in range(12)]
    assert sum(w.counts["older"] for w in worlds) > 15
    assert sum(len(w.answered) for w in worlds) > 500


@pytest.mark.parametrize(
    ("guard", "seed"), [("TrustsAnyDisk", 26), ("TrustsAtOnce", 29), ("VotesForShorterLogs", 29)]
)
def test_a_guard_against_older_disks_taken_out_is_found(guard: str, seed: int) -> None:
    play(seed, 3, 1, 15.0, OLD)
    with pytest.raises(InvariantViolation, match="commits"):
        play(seed, 3, 1, 15.0, OLD, components=GUARDS[guard])


def test_a_fleet_of_which_nobody_knows_its_disk_agrees_again_once_all_voters_are_back() -> None:
    world = SimulatedCluster(1, faults=FaultRates(0.0, 0.0))
    world.run(5 * S)
    for name in world.names:
        world.crash(name, False)
        world._doubt(world.nodes[name])
    for name in world.names[:2]:
        world._up(name)
    world.run(10 * S)
    cores = [world.nodes[name].core for name in world.voters[:2]]
    assert not any(core is None or core.is_voting for core in cores)  # the third may know of more
    world._up("n2")
    world.run(20 * S)
    assert all(core is not None and core.is_electable for core in cores)
    request = world.propose("n0")
    world.run(21 * S)
    assert request in world.answered


def test_without_a_majority_a_proposal_is_answered_at_once() -> None:
    world = SimulatedCluster(1)
    world.run(5 * S)
    for name in world.voters[1:]:
        world.crash(name, False)
    world.run(8 * S)  # the one that is left has stepped down or found no leader
    before = world.counts["unknown"]
    request = world.propose("n0")
    assert (world.counts["unknown"], request in world.answered) == (before + 1, False)


def test_a_voter_whose_disk_is_gone_votes_again_only_once_the_log_admits_it() -> None:
    world = SimulatedCluster(1, faults=FaultRates(0.0, 0.0))
    world.run(5 * S)
    world.crash("n2", True)
    world.crash("n1", False)
    world._up("n2")
    world.run(9 * S)
    lost = world.nodes["n2"].core
    assert lost is not None and not lost.is_voting  # n0 alone is no majority, and it doesn't count
    world._up("n1")
    world.run(15 * S)
    assert lost.is_voting
    world.crash("n1", False)
    world.run(20 * S)
    request = world.propose("n0")
    world.run(21 * S)
    assert request in world.answered


def say(claims: SessionOwnership, entry: OwnershipClaim | ClaimConfirmation | SessionOpened) -> ClaimResult:
    return msgspec.msgpack.decode(claims.apply(msgspec.msgpack.encode(entry)), type=ClaimResult)


ASKS = itertools.count(1)


def claim(by: str, generation: int, at: int = 1, session: int = 7) -> OwnershipClaim:
    return OwnershipClaim(session, generation, 30 * S, by, at * S, (at + 40) * S, next(ASKS))


def confirm(
    by: str, tenure: int, floor: int, at: int = 2, session: int = 7, turn: int = 1
) -> ClaimConfirmation:
    return ClaimConfirmation(session, tenure, floor, 30 * S, by, at * S, (at + 40) * S, turn)


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
    assert say(claims, SessionOpened(7, 3, "b", 9 * S, 2)).reason  # another confirmation than the newest
    assert say(claims, claim("c", token, 9)).reason == "claimed"
    assert say(claims, SessionOpened(7, 3, "b", 9 * S, 1)) == ClaimResult(3)
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
    told = OwnershipClaim(8, token, 30 * S, "x", 25 * S, 25 * S, next(ASKS))
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
            assert ruling == (ClaimResult(tenure) if tenure == newest else ClaimResult(reason="claimed"))
            if tenure == newest:
                floor[session] = tenure << GENERATION_COUNTER_BITS
    told: list[tuple[int, int, str]] = []
    same = SessionOwnership(lambda *claim: told.append(claim))
    same.restore(claims.snapshot())
    assert told == [(session, record.epoch, record.owner) for session, record in claims.records.items()]
    assert (same.records, same.snapshot()) == (claims.records, claims.snapshot())
