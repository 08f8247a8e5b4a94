"""Generating, writing and reading schedules of faults."""

from __future__ import annotations

from pathlib import Path

import pytest

from tansyladder.lab.chaos import schedule


def test_a_seed_repeats_its_schedule_which_is_read_back_from_a_file(tmp_path: Path) -> None:
    generated = schedule.generate(3, 5, 4, 60, 30.0)
    assert generated == schedule.generate(3, 5, 4, 60, 30.0) != schedule.generate(4, 5, 4, 60, 30.0)
    schedule.save(tmp_path / "schedule.json", generated)
    assert schedule.load(tmp_path / "schedule.json") == generated


def test_only_a_minority_of_nodes_has_a_fault_at_the_same_time() -> None:
    faults = schedule.generate(3, 5, 4, 60, 30.0).faults
    for fault in faults:
        assert sum(other.start_s <= fault.start_s < other.start_s + other.duration_s for other in faults) <= 2


def test_a_fault_of_a_node_that_does_not_exist_is_rejected(tmp_path: Path) -> None:
    fault = schedule.Fault(1.0, schedule.FaultKind.KILL, 7, 1.0)
    schedule.save(tmp_path / "schedule.json", schedule.Schedule(3, 5, 4, 60, (fault,)))
    with pytest.raises(ValueError, match=r"faults\.0\.node"):
        schedule.load(tmp_path / "schedule.json")
