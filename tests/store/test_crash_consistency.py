"""No file system fault and no kill of the process loses an acknowledged write."""

from __future__ import annotations

from pathlib import Path

from tansyladder.lab import crash_consistency, store_kill


def test_no_fault_of_the_files_loses_an_acknowledged_write() -> None:
    """Power losses during operation and recovery, failing calls, truncated files and flipped bits."""
    report = crash_consistency.run(seed=1, full=False)
    assert not report.cases, report
    assert (report.lost, report.partial_batches, report.resurrected) == (0, 0, 0)
    assert report.recoveries > 2000
    assert report.reported_corruptions > 100


def test_a_killed_writer_loses_no_acknowledged_batch(tmp_path: Path) -> None:
    report = store_kill.run(tmp_path, seed=3, rounds=6)
    assert (report.lost, report.invalid_states) == (0, 0)
    assert report.acknowledged > 0
