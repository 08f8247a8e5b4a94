"""Replicated documents on simulated clusters with faults, and the detection of removed guards."""

from __future__ import annotations

from functools import cache

import pytest

from tansyladder.replication.document_messages import ChangeOutcome
from tansyladder.replication.units import MILLISECOND_US, SECOND_US
from tansyladder.simulation.document_cluster import simulate_documents
from tansyladder.simulation.document_invariants import document_violations
from tansyladder.simulation.document_node import STANDARD_DOCUMENT_COMPONENTS, DocumentComponents
from tansyladder.simulation.document_replication import DocumentClusterOptions
from tansyladder.simulation.fault_rates import FaultRates
from tansyladder.simulation.simulated_node import CountedEvent
from tests.simulation.documents_without_guards import REMOVALS, DocumentGuard

HEAVY_FAULTS = FaultRates(
    loss_rate=0.1,
    delay_range_us=(1 * MILLISECOND_US, 300 * MILLISECOND_US),
    mean_crash_interval_us=4 * SECOND_US,
    downtime_range_us=(100 * MILLISECOND_US, 6 * SECOND_US),
    disk_loss_rate=0.2,
    mean_cut_interval_us=3 * SECOND_US,
    cut_duration_range_us=(200 * MILLISECOND_US, 20 * SECOND_US),
)
NO_FAULTS = FaultRates(
    loss_rate=0.0,
    duplication_rate=0.0,
    delay_range_us=(1 * MILLISECOND_US, 5 * MILLISECOND_US),
    mean_crash_interval_us=0,
    mean_cut_interval_us=0,
)
GUARDS_WITH_SEED = [guard for guard, removal in REMOVALS.items() if removal.seed]


@pytest.mark.parametrize(("voters", "learners"), [(1, 1), (3, 2), (5, 0)])
def test_a_version_is_in_force_everywhere_or_nowhere_through_crashes_pauses_and_cuts(
    voters: int, learners: int
) -> None:
    options = DocumentClusterOptions(voters, learners, HEAVY_FAULTS)
    clusters = [simulate_documents(seed, 20.0, options) for seed in range(2)]
    assert [document_violations(cluster) for cluster in clusters] == [[]] * 2
    results = [result for cluster in clusters for result in cluster.history.results.values()]
    assert sum(result.outcome is ChangeOutcome.DONE for result in results) >= 4
    faults = (CountedEvent.CRASH, CountedEvent.PAUSE)
    assert sum(cluster.counts[fault] for cluster in clusters for fault in faults) > 5


def test_without_faults_no_client_is_rejected_for_a_change() -> None:
    options = DocumentClusterOptions(5, 0, NO_FAULTS, invalid_rate=0.3, mean_pause_interval_us=0)
    cluster = simulate_documents(1, 20.0, options)
    assert not document_violations(cluster)
    assert ChangeOutcome.REJECTED in {result.outcome for result in cluster.history.results.values()}
    assert [client for client in cluster.history.rejected_clients if client.at_us > 4 * SECOND_US] == []


def test_the_same_seed_gives_the_same_history() -> None:
    options = DocumentClusterOptions(faults=HEAVY_FAULTS)
    first, repeated, different = (simulate_documents(seed, 8.0, options) for seed in (4, 4, 5))
    assert first.history == repeated.history
    assert first.committed_entries == repeated.committed_entries
    assert first.history.decisions != different.history.decisions


def violations(seed: int, components: DocumentComponents) -> list[str]:
    options = DocumentClusterOptions(faults=HEAVY_FAULTS, components=components)
    return document_violations(simulate_documents(seed, 25.0, options))


@cache
def violations_with_all_guards(seed: int) -> tuple[str, ...]:
    return tuple(violations(seed, STANDARD_DOCUMENT_COMPONENTS))


@pytest.mark.parametrize("guard", GUARDS_WITH_SEED)
def test_the_removal_of_a_guard_is_detected(guard: DocumentGuard) -> None:
    removal = REMOVALS[guard]
    assert not violations_with_all_guards(removal.seed)
    assert any(removal.violation in violation for violation in violations(removal.seed, removal.components))
