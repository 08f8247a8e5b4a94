"""Raft's safety on a simulated network, and the detection of removed safety guards by the checker."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

import pytest

from tansyladder.raft.node import STANDARD_COMPONENTS, RaftComponents, RaftNode
from tansyladder.replication.units import MILLISECOND_US, SECOND_US
from tansyladder.simulation.consensus_checker import InvariantViolationError
from tansyladder.simulation.fault_rates import FaultRates
from tansyladder.simulation.raft_cluster import SimulatedCluster, simulate
from tansyladder.simulation.simulated_disk import SimulatedDisk
from tansyladder.simulation.simulated_node import CountedEvent
from tests.simulation.without_guards import COMPONENTS_WITHOUT, Guard, UnsyncedDisk

HEAVY_FAULTS = FaultRates(
    loss_rate=0.1,
    delay_range_us=(1 * MILLISECOND_US, 300 * MILLISECOND_US),
    mean_crash_interval_us=800 * MILLISECOND_US,
    downtime_range_us=(100 * MILLISECOND_US, 1500 * MILLISECOND_US),
    disk_loss_rate=0.3,
    mean_cut_interval_us=700 * MILLISECOND_US,
    cut_duration_range_us=(200 * MILLISECOND_US, 2 * SECOND_US),
)
DISK_ROLLBACKS = replace(HEAVY_FAULTS, disk_loss_rate=0.15, disk_rollback_rate=0.3, disk_suspicion_rate=0.1)
RELIABLE_NETWORK = FaultRates(loss_rate=0.0, duplication_rate=0.0)


def run_history(
    seed: int,
    faults: FaultRates,
    voters: int = 3,
    components: RaftComponents = STANDARD_COMPONENTS,
    disk_type: type[SimulatedDisk] = SimulatedDisk,
) -> SimulatedCluster:
    """Run a cluster with one learner through 15 s of faults, and check it until it has converged."""
    return simulate(SimulatedCluster(seed, voters, 1, faults, components, disk_type), 15.0)


def total_count(clusters: Iterable[SimulatedCluster], event: CountedEvent) -> int:
    """Return how often all clusters together have counted an event."""
    return sum(cluster.counts[event] for cluster in clusters)


def running_raft(cluster: SimulatedCluster, name: str) -> RaftNode:
    """Return the Raft node of a simulated node that is up."""
    raft = cluster.nodes[name].raft
    assert raft is not None
    return raft


@pytest.mark.parametrize("voters", [1, 3, 5])
def test_committed_entries_survive_crashes_lost_disks_and_cut_links(voters: int) -> None:
    clusters = [run_history(seed, HEAVY_FAULTS, voters) for seed in range(12)]
    assert total_count(clusters, CountedEvent.CRASH) > 100
    assert total_count(clusters, CountedEvent.DISK_LOSS) > 5 or voters == 1
    assert sum(len(cluster.results) for cluster in clusters) > 300


def test_the_same_seed_gives_the_same_history() -> None:
    first, repeated, different = (
        simulate(SimulatedCluster(seed, 3, 1, HEAVY_FAULTS), 8.0) for seed in (5, 5, 6)
    )
    assert first.committed_entries == repeated.committed_entries
    assert first.counts == repeated.counts
    assert first.committed_entries != different.committed_entries


@pytest.mark.parametrize(
    ("guard", "seed", "violation"),
    [
        (Guard.ELECTION_RESTRICTION, 14, "commits"),
        (Guard.ONE_VOTE_PER_TERM, 6, "two leaders"),
        (Guard.DISK_ADMISSION, 9, "commits"),
        (Guard.LOG_MATCHING, 18, "commits"),
        (Guard.COMMIT_BEFORE_RESULT, 4, "is in no log"),
    ],
)
def test_the_removal_of_a_guard_is_detected(guard: Guard, seed: int, violation: str) -> None:
    """With each seed, the faults break an invariant only if the guard is missing."""
    run_history(seed, HEAVY_FAULTS)
    with pytest.raises(InvariantViolationError, match=violation):
        run_history(seed, HEAVY_FAULTS, components=COMPONENTS_WITHOUT[guard])


def test_sending_messages_before_writes_are_synced_is_detected() -> None:
    run_history(2, HEAVY_FAULTS)
    with pytest.raises(InvariantViolationError, match="two leaders"):
        run_history(2, HEAVY_FAULTS, disk_type=UnsyncedDisk)


def test_committed_entries_survive_disks_that_are_rolled_back() -> None:
    clusters = [run_history(seed, DISK_ROLLBACKS, voters) for voters in (3, 5) for seed in range(12)]
    assert total_count(clusters, CountedEvent.DISK_ROLLBACK) > 15
    assert sum(len(cluster.results) for cluster in clusters) > 500


@pytest.mark.parametrize(
    ("guard", "seed"),
    [(Guard.STALE_DISK_SUSPICION, 26), (Guard.TERM_AND_VOTE_FLOOR, 29), (Guard.VOTE_FLOOR, 29)],
)
def test_the_removal_of_a_guard_against_disk_rollback_is_detected(guard: Guard, seed: int) -> None:
    """With each seed, nodes commit different entries only if the guard is missing."""
    run_history(seed, DISK_ROLLBACKS)
    with pytest.raises(InvariantViolationError, match="commits"):
        run_history(seed, DISK_ROLLBACKS, components=COMPONENTS_WITHOUT[guard])


def test_a_cluster_with_all_disks_suspected_recovers_once_all_voters_have_restarted() -> None:
    cluster = SimulatedCluster(1, faults=RELIABLE_NETWORK)
    cluster.run_until(5 * SECOND_US)
    for name in cluster.names:
        cluster.crash(name)
        cluster.suspect_disk(name)
    for name in cluster.names[:2]:
        cluster.start_node(name)
    cluster.run_until(10 * SECOND_US)
    rafts = [running_raft(cluster, name) for name in cluster.voters[:2]]
    assert not any(raft.is_voting for raft in rafts)  # the third voter may hold later votes and entries
    cluster.start_node("n2")
    cluster.run_until(20 * SECOND_US)
    assert all(raft.is_electable for raft in rafts)
    request_id = cluster.propose("n0")
    cluster.run_until(21 * SECOND_US)
    assert request_id in cluster.results


def test_a_proposal_without_a_majority_gets_an_unknown_result_at_once() -> None:
    cluster = SimulatedCluster(1)
    cluster.run_until(5 * SECOND_US)
    for name in cluster.voters[1:]:
        cluster.crash(name)
    cluster.run_until(8 * SECOND_US)  # the remaining voter has stepped down or found no leader
    unknown_before = cluster.counts[CountedEvent.UNKNOWN_RESULT]
    request_id = cluster.propose("n0")
    assert cluster.counts[CountedEvent.UNKNOWN_RESULT] == unknown_before + 1
    assert request_id not in cluster.results


def test_a_voter_with_a_new_disk_votes_only_once_the_log_admits_it() -> None:
    cluster = SimulatedCluster(1, faults=RELIABLE_NETWORK)
    cluster.run_until(5 * SECOND_US)
    cluster.crash("n2")
    cluster.lose_disk("n2")
    cluster.crash("n1")
    cluster.start_node("n2")
    cluster.run_until(9 * SECOND_US)
    raft = running_raft(cluster, "n2")
    assert not raft.is_voting  # n0 alone isn't a majority, and n2 doesn't count
    cluster.start_node("n1")
    cluster.run_until(15 * SECOND_US)
    assert raft.is_voting
    cluster.crash("n1")
    cluster.run_until(20 * SECOND_US)
    request_id = cluster.propose("n0")
    cluster.run_until(21 * SECOND_US)
    assert request_id in cluster.results
