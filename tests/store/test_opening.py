"""What opening a store refuses, and what it takes for expired, damaged, torn or rebuilt."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from tansyladder.lab import crash_consistency
from tansyladder.lab.fault_injecting_files import FaultInjectingFiles
from tansyladder.store import Durability, WriteOperation, errors, frames, hints, manifest, open_store
from tansyladder.store.files import RealFiles
from tests.store.harness import closed_store_files, open_in_memory


def test_each_reason_not_to_open_has_its_error(tmp_path: Path) -> None:
    files = closed_store_files()
    with pytest.raises(errors.NotAStoreError, match="'n1'"):
        open_store(files, "n2", crash_consistency.ManualClock())
    _, store = open_in_memory(files)
    with pytest.raises(errors.StoreLockedError):
        open_store(files, "n1", crash_consistency.ManualClock())
    store.close()
    told = manifest.read_manifest(files)
    manifest.write_manifest(files, msgspec.structs.replace(told, version=9))
    with pytest.raises(errors.StoreVersionError, match="version 9"):
        open_in_memory(files)
    with pytest.raises(errors.StoreCorruptError, match="missing"):
        open_in_memory(FaultInjectingFiles({"0000000000000001.log": b""}))
    (tmp_path / "file").write_text("")
    with pytest.raises(OSError):
        RealFiles(tmp_path / "file" / "folder")
    one = open_store(RealFiles(tmp_path / "real"), "n1", crash_consistency.ManualClock())
    with pytest.raises(errors.StoreLockedError):
        open_store(RealFiles(tmp_path / "real"), "n1", crash_consistency.ManualClock())
    one.close()
    with pytest.raises(errors.StoreBrokenError, match="closed"):
        one.put(b"k", b"v")


def test_expired_at_a_recovery_stays_expired_when_the_clock_steps_back() -> None:
    files, clock = FaultInjectingFiles(), crash_consistency.ManualClock()
    store = open_store(files, "n1", clock, 400)
    store.write([WriteOperation(b"k", b"v", clock.now + 40)], Durability.SYNCED)
    store.close()
    clock.now += 40
    store = open_store(files, "n1", clock, 400)
    clock.now -= 1
    assert store.get(b"k") is None
    store.write([WriteOperation(b"else", b"v", 0)], Durability.SYNCED)
    store.close()
    assert open_store(files, "n1", clock, 400).get(b"k") is None


def test_a_frame_inside_a_value_is_no_frame() -> None:
    """Nor is one that an earlier write left behind: each check is good at its own place alone."""
    body = frames.encode_record(
        frames.Record(40 + frames.FRAME_HEADER_BYTES, frames.PUT, 99, 0, b"evil", b"x"), 1
    )
    fake = frames.encode_frame(body, 1, 10**9, 0, 1, 40)
    files, store = open_in_memory(size=1 << 16)
    store.put(b"a", b"x")
    store.put(b"b", fake * 2 + b"y", durability=Durability.BUFFERED)
    inode = files.visible[f"{store.active_segment_id:016x}.log"]
    inode.visible = inode.visible[:-1]  # the last record is torn, and the frames inside its value are whole
    _, store = open_in_memory(files.after_process_kill())
    assert dict(store.items()) == {b"a": b"x"} and store.dropped_bytes > 0


def test_broken_bytes_that_had_been_synced_are_damage_and_no_tail() -> None:
    """Two synced batches behind it tell that the first had been on disk; else all would be dropped."""
    files, store = open_in_memory(size=1 << 16)
    for key in (b"a", b"b", b"c"):
        store.put(key, key * 20)
    name = f"{store.active_segment_id:016x}.log"
    whole = bytes(files.visible[name].visible)
    for at in (frames.SEGMENT_HEADER_BYTES + 5, frames.SEGMENT_HEADER_BYTES + frames.FRAME_HEADER_BYTES + 30):
        files.visible[name].visible = bytearray(whole)
        files.visible[name].visible[at] ^= 1
        with pytest.raises(errors.StoreCorruptError, match="broken"):
            open_in_memory(files.after_process_kill())
    files.visible[name].visible = bytearray(whole)
    files.visible[name].visible[-1] ^= 1  # the last one can't be told from a crash
    _, store = open_in_memory(files.after_process_kill())
    assert set(dict(store.items())) == {b"a", b"b"}


def test_a_broken_hint_is_made_anew() -> None:
    files = closed_store_files(compact=True)
    _, store = open_in_memory(files)
    assert store.rebuilt_hint_count == 0 and any(name.endswith(".hint") for name in files.list_names())
    store.close()
    for name, inode in files.visible.items():
        if name.endswith(".hint"):
            inode.visible[len(inode.visible) // 2] ^= 4
    _, store = open_in_memory(files)
    assert store.rebuilt_hint_count > 0 and len(store) == 40
    assert hints.Hint.decode(b"", 1, 1) is None
