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
    ClaimRejection,
    ClaimResult,
    OwnershipClaim,
    OwnershipCommand,
    SessionOpened,
    SessionOwnership,
)
from tansyladder.replication.units import MILLISECOND_US, SECOND_US
from tansyladder.resumption.token_registry import GENERATION_COUNTER_BITS
from tansyladder.simulation.consensus_checker import InvariantViolationError
from tansyladder.simulation.fault_rates import FaultRates
from tansyladder.simulation.raft_cluster import SimulatedCluster, simulate
from tests.simulation.without_guards import GUARDS

HARD = FaultRates(
    loss_rate=0.1,
    delay_range_us=(1 * MILLISECOND_US, 300 * MILLISECOND_US),
    mean_crash_interval_us=800 * MILLISECOND_US,
    downtime_range_us=(100 * MILLISECOND_US, 1500 * MILLISECOND_US),
    disk_loss_rate=0.3,
    mean_cut_interval_us=700 * MILLISECOND_US,
    cut_duration_range_us=(200 * MILLISECOND_US, 2 * SECOND_US),
)


@pytest.mark.parametrize("voters", [1, 3, 5])
def test_what_is_agreed_holds_through_crashes_lost_disks_and_cuts(voters: int) -> None:
    worlds = [simulate(SimulatedCluster(seed, voters, 1, HARD), 15.0) for seed in range(12)]
    assert sum(w.counts["crashes"] for w in worlds) > 100
    assert sum(w.counts["wiped"] for w in worlds) > 5 or voters == 1
    assert sum(len(w.results) for w in worlds) > 300


def test_the_same_seed_gives_the_same_history() -> None:
    one, same, other = (simulate(SimulatedCluster(seed, 3, 1, HARD), 8.0) for seed in (5, 5, 6))
    assert (one.committed_entries, one.counts) == (same.committed_entries, same.counts)
    assert one.committed_entries != other.committed_entries


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
    simulate(SimulatedCluster(seed, 3, 1, HARD), 15.0)
    with pytest.raises(InvariantViolationError, match=found):
        if guard:
            simulate(SimulatedCluster(seed, 3, 1, HARD, GUARDS[guard]), 15.0)
        else:
            simulate(SimulatedCluster(seed, 3, 1, HARD, is_synced=False), 15.0)


OLD = replace(HARD, disk_loss_rate=0.15, disk_rollback_rate=0.3, disk_suspicion_rate=0.1)


def test_what_is_agreed_holds_though_disks_come_back_older() -> None:
    worlds = [
        simulate(SimulatedCluster(seed, voters, 1, OLD), 15.0) for voters in (3, 5) for seed in range(12)
    ]
    assert sum(w.counts["older"] for w in worlds) > 15
    assert sum(len(w.results) for w in worlds) > 500


@pytest.mark.parametrize(
    ("guard", "seed"), [("TrustsAnyDisk", 26), ("TrustsAtOnce", 29), ("VotesForShorterLogs", 29)]
)
def test_a_guard_against_older_disks_taken_out_is_found(guard: str, seed: int) -> None:
    simulate(SimulatedCluster(seed, 3, 1, OLD), 15.0)
    with pytest.raises(InvariantViolationError, match="commits"):
        simulate(SimulatedCluster(seed, 3, 1, OLD, GUARDS[guard]), 15.0)


def test_a_fleet_of_which_nobody_knows_its_disk_agrees_again_once_all_voters_are_back() -> None:
    world = SimulatedCluster(1, faults=FaultRates(loss_rate=0.0, duplication_rate=0.0))
    world.run_until(5 * SECOND_US)
    for name in world.names:
        world.crash(name, False)
        world.suspect_disk(world.nodes[name])
    for name in world.names[:2]:
        world.start_node(name)
    world.run_until(10 * SECOND_US)
    cores = [world.nodes[name].raft for name in world.voters[:2]]
    assert not any(core is None or core.is_voting for core in cores)  # the third may know of more
    world.start_node("n2")
    world.run_until(20 * SECOND_US)
    assert all(core is not None and core.is_electable for core in cores)
    request = world.propose("n0")
    world.run_until(21 * SECOND_US)
    assert request in world.results


def test_without_a_majority_a_proposal_is_answered_at_once() -> None:
    world = SimulatedCluster(1)
    world.run_until(5 * SECOND_US)
    for name in world.voters[1:]:
        world.crash(name, False)
    world.run_until(8 * SECOND_US)  # the one that is left has stepped down or found no leader
    before = world.counts["unknown"]
    request = world.propose("n0")
    assert (world.counts["unknown"], request in world.results) == (before + 1, False)


def test_a_voter_whose_disk_is_gone_votes_again_only_once_the_log_admits_it() -> None:
    world = SimulatedCluster(1, faults=FaultRates(loss_rate=0.0, duplication_rate=0.0))
    world.run_until(5 * SECOND_US)
    world.crash("n2", True)
    world.crash("n1", False)
    world.start_node("n2")
    world.run_until(9 * SECOND_US)
    lost = world.nodes["n2"].raft
    assert lost is not None and not lost.is_voting  # n0 alone is no majority, and it doesn't count
    world.start_node("n1")
    world.run_until(15 * SECOND_US)
    assert lost.is_voting
    world.crash("n1", False)
    world.run_until(20 * SECOND_US)
    request = world.propose("n0")
    world.run_until(21 * SECOND_US)
    assert request in world.results


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
