"""Repairing a store, and the commands `tansyladder store ...`."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from tansyladder.lab.crash_consistency import ManualClock
from tansyladder.lab.fault_injecting_files import FaultInjectingFiles
from tansyladder.store import StoreError, errors, frames, open_store
from tansyladder.store.files import RealFiles
from tansyladder.store.repair import examine, repair
from tests.answers.program import run
from tests.store.harness import (
    KEY_COUNT,
    NODE,
    SMALL_SEGMENT_BYTES,
    closed_store_files,
    contents_of,
    open_in_memory,
)


def test_repair_saves_readable_records_and_does_not_change_the_source() -> None:
    intact = contents_of(closed_store_files())
    assert not examine(FaultInjectingFiles(intact)).faults
    damaged_name = sorted(name for name in intact if name.endswith(".log"))[1]
    changed = bytearray(intact[damaged_name])
    changed[frames.SEGMENT_HEADER_BYTES + frames.FRAME_HEADER_BYTES + 30] ^= 1
    damaged = {**intact, damaged_name: bytes(changed)}
    with pytest.raises(errors.StoreCorruptError, match=damaged_name):
        open_in_memory(FaultInjectingFiles(damaged))
    source = FaultInjectingFiles(damaged)
    target = FaultInjectingFiles()
    result = repair(source, target, ManualClock())
    assert contents_of(source) == damaged
    assert result.saved_key_count == KEY_COUNT - 1
    assert result.lost_sequence_count == 1
    assert damaged_name in result.faults[0]
    _, store = open_in_memory(target)
    assert len(store) == KEY_COUNT - 1
    with pytest.raises(StoreError, match="not empty"):
        repair(source, target, ManualClock())


@pytest.fixture
def store_folder(tmp_path: Path) -> Path:
    """The folder of a closed store of five keys."""
    folder = tmp_path / "store"
    store = open_store(RealFiles(folder), NODE, ManualClock(), SMALL_SEGMENT_BYTES)
    for number in range(60):
        store.put(b"k%d" % (number % 5), b"value" * 4)
    store.close()
    return folder


def damage(folder: Path) -> None:
    """Flip a bit in the largest segment, and remove the hints, so that opening reads the segment."""
    log = max(folder.glob("*.log"), key=lambda path: path.stat().st_size)
    data = bytearray(log.read_bytes())
    data[60] ^= 1
    log.write_bytes(data)
    for hint in folder.glob("*.hint"):
        hint.unlink()


def test_the_store_commands_inspect_verify_compact_and_dump(store_folder: Path) -> None:
    assert "sealed" in run("store", "inspect", str(store_folder)).stdout
    assert run("store", "verify", str(store_folder)).returncode == 0
    assert "5 keys" in run("store", "compact", str(store_folder)).stdout
    dumped = run("store", "dump", str(store_folder)).stdout.splitlines()
    keys = {bytes.fromhex(json.loads(line)["key"]) for line in dumped}
    assert keys == {b"k%d" % number for number in range(5)}


def test_the_store_commands_report_and_repair_damage(store_folder: Path, tmp_path: Path) -> None:
    assert "5 keys" in run("store", "compact", str(store_folder)).stdout
    damage(store_folder)
    verified = run("store", "verify", str(store_folder))
    assert verified.returncode == 1
    assert "corrupt" in verified.stderr
    dumped = run("store", "dump", str(store_folder))
    assert dumped.returncode == 3
    assert dumped.stderr.startswith("damaged:")
    assert "Traceback" not in dumped.stderr
    target = tmp_path / "new"
    assert run("store", "repair", str(store_folder), str(target)).returncode == 0
    assert run("store", "verify", str(target)).returncode == 0
