"""No fault of the files and no kill of the process loses what was acknowledged."""

from __future__ import annotations

from pathlib import Path

from tansyladder.lab import crash_consistency, store_kill


def test_no_fault_of_the_files_loses_an_acknowledged_write() -> None:
    """Power losses at steps of a life and of its recovery, calls that fail, and files cut and flipped."""
    found = crash_consistency.run(1, False)
    assert not found.cases, found
    assert (found.lost, found.half_batches, found.resurrected) == (0, 0, 0)
    assert found.recoveries > 2000
    assert found.named > 100


def test_a_killed_writer_loses_no_acknowledged_batch(tmp_path: Path) -> None:
    found = store_kill.run(tmp_path, seed=3, rounds=6)
    assert (found.lost, found.wrong) == (0, 0)
    assert found.acknowledged > 0
