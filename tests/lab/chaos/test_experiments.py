"""A small cluster of real processes runs a schedule of faults."""

from __future__ import annotations

import asyncio
from pathlib import Path

from tansyladder.lab.chaos import experiments, history, schedule


def test_a_fleet_keeps_the_rules_while_nodes_are_killed_stopped_and_cut_off(tmp_path: Path) -> None:
    """Real processes; without peers a lost node's sessions are lost, which only its own checker may find."""
    kinds = schedule.FaultKind
    faults = [(0.1, kinds.KILL, 0, 1.0), (0.2, kinds.PAUSE, 1, 2.5), (1.5, kinds.CUT_HOSTS, 0, 0.5)]
    plan = schedule.Schedule(1, 3, 2, 18, tuple(schedule.Fault(*fault) for fault in faults))
    result = asyncio.run(experiments.run_schedule(plan, tmp_path / "history.jsonl"))
    assert result["all_back"]
    assert {name for name, count in result["violations"].items() if count} <= {"sessions_lost"}
    events = history.load(tmp_path / "history.jsonl")
    assert [e.kind for e in events if e.party == "rig" and e.node >= 0][:2] == ["killed", "stopped"]
    assert {e.node for e in events if e.kind == "taken"} == {0, 1, 2}
