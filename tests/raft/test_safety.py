"""The agreement on a simulated network, with each guard taken out once, and the claims that it decides."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tansyladder.replication.units import MILLISECOND_US, SECOND_US
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
