"""Schedules of faults: generated, written and read."""

from __future__ import annotations

from pathlib import Path

import pytest

from tansyladder.lab.chaos import schedule


def test_a_schedule_is_the_same_for_a_seed_and_from_its_file(tmp_path: Path) -> None:
    drawn = schedule.generate(3, 5, 4, 60, 30.0)
    assert drawn == schedule.generate(3, 5, 4, 60, 30.0) != schedule.generate(4, 5, 4, 60, 30.0)
    schedule.save(tmp_path / "s.json", drawn)
    assert schedule.load(tmp_path / "s.json") == drawn
    for fault in drawn.faults:  # a minority at a time
        assert sum(f.start_s <= fault.start_s < f.start_s + f.duration_s for f in drawn.faults) <= 2
    wrong = drawn.faults[0].__class__(1.0, schedule.FaultKind.KILL, 7, 1.0)
    schedule.save(tmp_path / "s.json", schedule.Schedule(3, 5, 4, 60, (wrong,)))
    with pytest.raises(ValueError, match=r"faults\.0\.node"):
        schedule.load(tmp_path / "s.json")
