"""Repair, and the commands `tansyladder store ...`."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from tansyladder.lab import crash_consistency
from tansyladder.lab.fault_injecting_files import FaultInjectingFiles
from tansyladder.store import StoreError, errors, frames, open_store
from tansyladder.store.files import RealFiles
from tansyladder.store.repair import examine, repair
from tests.store.harness import closed_store_files, open_in_memory


def test_repair_saves_what_can_be_read_and_changes_nothing() -> None:
    files = closed_store_files()
    whole = {name: bytes(inode.visible) for name, inode in files.visible.items()}
    assert not examine(FaultInjectingFiles(whole)).faults
    victim = sorted(name for name in whole if name.endswith(".log"))[1]
    hurt = bytearray(whole[victim])
    hurt[frames.SEGMENT_HEADER_BYTES + frames.FRAME_HEADER_BYTES + 30] ^= 1
    broken = {**whole, victim: bytes(hurt)}
    with pytest.raises(errors.StoreCorruptError, match=victim):
        open_in_memory(FaultInjectingFiles(broken))
    source, target = FaultInjectingFiles(broken), FaultInjectingFiles()
    done = repair(source, target, crash_consistency.ManualClock())
    assert {n: bytes(i.visible) for n, i in source.visible.items()} == broken
    assert done.saved_keys == 39 and done.lost_sequences == 1 and victim in done.faults[0]
    _, store = open_in_memory(target)
    assert len(store) == 39
    with pytest.raises(StoreError, match="not empty"):
        repair(source, target, crash_consistency.ManualClock())


def test_the_store_commands_show_verify_compact_dump_and_repair(tmp_path: Path) -> None:
    folder = tmp_path / "store"
    store = open_store(RealFiles(folder), "n1", crash_consistency.ManualClock(), 400)
    for n in range(60):
        store.put(b"k%d" % (n % 5), b"value" * 4)
    store.close()

    def run(*words: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "tansyladder", "store", *words], capture_output=True, text=True, timeout=30
        )

    assert "sealed" in run("inspect", str(folder)).stdout
    assert run("verify", str(folder)).returncode == 0
    assert "5 keys" in run("compact", str(folder)).stdout
    lines = [json.loads(line) for line in run("dump", str(folder)).stdout.splitlines()]
    assert {bytes.fromhex(line["key"]) for line in lines} == {b"k%d" % n for n in range(5)}
    log = next(folder.glob("*.log"))
    data = bytearray(log.read_bytes())
    data[60] ^= 1
    log.write_bytes(data)
    for hint in folder.glob("*.hint"):
        hint.unlink()
    done = run("verify", str(folder))
    assert done.returncode == 1 and "broken" in done.stderr
    done = run("dump", str(folder))
    assert done.returncode == 3 and done.stderr.startswith("damaged:") and "Traceback" not in done.stderr
    assert run("repair", str(folder), str(tmp_path / "new")).returncode == 0
    assert run("verify", str(tmp_path / "new")).returncode == 0
