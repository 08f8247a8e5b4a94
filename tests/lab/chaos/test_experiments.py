"""A schedule of faults on a small cluster of real processes."""

from __future__ import annotations

import asyncio
from pathlib import Path

import msgspec

from tansyladder.lab.chaos import experiments, history, schedule


def test_a_cluster_violates_no_invariant_while_nodes_are_killed_paused_and_cut_off(tmp_path: Path) -> None:
    """Sessions of a killed node may be lost, so only the checker for lost sessions may find violations."""
    kinds = schedule.FaultKind
    faults = (
        schedule.Fault(0.1, kinds.KILL, 0, 1.0),
        schedule.Fault(0.2, kinds.PAUSE, 1, 2.5),
        schedule.Fault(1.5, kinds.CUT_HOSTS, 0, 0.5),
    )
    plan = schedule.Schedule(1, 3, 2, 18, faults)
    report = asyncio.run(experiments.run_schedule(plan, tmp_path / "history.jsonl"))
    assert report.all_reconnected
    violations = msgspec.to_builtins(report.violations)
    assert {checker for checker, count in violations.items() if count} <= {"sessions_lost"}
    events = history.load(tmp_path / "history.jsonl")
    faults_of_nodes = [event for event in events if event.party == "rig" and event.node >= 0]
    assert [event.kind for event in faults_of_nodes][:2] == ["killed", "stopped"]
    assert {event.node for event in events if event.kind == "taken"} == {0, 1, 2}
