"""Checks the invariants of replicated documents in the history of a simulated cluster."""

from __future__ import annotations

from collections.abc import Callable

from tansyladder.replication.document_messages import ChangeOutcome
from tansyladder.replication.units import SECOND_US
from tansyladder.simulation.document_cluster import SimulatedDocumentCluster
from tansyladder.simulation.document_node import Decision


def document_violations(cluster: SimulatedDocumentCluster) -> list[str]:
    """Return descriptions of all violations in the history of a cluster that has converged.

    Decisions must follow the order of versions: strictly by the clocks of the deciding nodes, and by the
    virtual time up to the difference of two clocks.
    """
    clock_error_us = 2 * cluster.options.max_clock_error_us
    return [
        *_order_violations(cluster.history.decisions, lambda decision: decision.node_clock_us, 0),
        *_order_violations(cluster.history.decisions, lambda decision: decision.at_us, clock_error_us),
        *_uncommitted_numbers(cluster),
        *_rejected_numbers(cluster),
        *_liveness_violations(cluster),
    ]


def _order_violations(
    decisions: list[Decision], time_of: Callable[[Decision], int], tolerance_us: int
) -> list[str]:
    """Return the first decision that was made under a version after a decision under a later version."""
    newest = 0
    first_at_us = 0  # the time of the first decision under the newest version
    for decision in sorted(decisions, key=time_of):
        if decision.number > newest:
            newest = decision.number
            first_at_us = time_of(decision)
        elif decision.number < newest and time_of(decision) > first_at_us + tolerance_us:
            text = f"at {decision.at_us} us: {decision.node} decides under {decision.number} after {newest}"
            return [text]
    return []


def _used_numbers(cluster: SimulatedDocumentCluster) -> set[int]:
    """Return the numbers of all versions that decisions were made under."""
    return {decision.number for decision in cluster.history.decisions} - {0}


def _uncommitted_numbers(cluster: SimulatedDocumentCluster) -> list[str]:
    """Return the violations by decisions under versions whose changes were not committed."""
    history = cluster.history
    violations: list[str] = []
    for number in sorted(_used_numbers(cluster)):
        key = history.key_by_number.get(number)
        result = history.results.get(key) if key is not None else None
        if result is None or result.outcome is not ChangeOutcome.DONE:
            violations.append(f"number {number} was used for a decision, but its change ended with {result}")
    return violations


def _rejected_numbers(cluster: SimulatedDocumentCluster) -> list[str]:
    """Return the violations by decisions under versions that a node had rejected."""
    used = _used_numbers(cluster) & cluster.history.rejected_numbers
    return [f"number {number} is in force after a rejection" for number in sorted(used)]


def _liveness_violations(cluster: SimulatedDocumentCluster) -> list[str]:
    """Check that without faults a change is committed, all nodes use it, and no client is rejected."""
    history = cluster.history
    if not cluster.is_committed(history.last_key):
        return [f"no change is committed: {history.last_key!r} has {history.results.get(history.last_key)}"]
    violations: list[str] = []
    used_by_node = dict.fromkeys(cluster.names, 0)
    for decision in history.decisions:
        if decision.at_us > cluster.now - SECOND_US:
            used_by_node[decision.node] = decision.number
    if len(set(used_by_node.values())) > 1:
        violations.append(f"at the end the nodes use different versions: {used_by_node}")
    rejected = [client for client in history.rejected_clients if client.at_us > cluster.now - 2 * SECOND_US]
    if rejected:
        violations.append(f"{len(rejected)} clients are rejected in the last 2 s, without faults")
    return violations
