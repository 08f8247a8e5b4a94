"""Opening a store: what is rejected, and how expired, damaged, incomplete and missing data is treated."""

from __future__ import annotations

import errno
from pathlib import Path

import msgspec
import pytest

from tansyladder.lab.crash_consistency import ManualClock
from tansyladder.lab.fault_injecting_files import FaultInjectingFiles
from tansyladder.store import Durability, WriteOperation, errors, frames, hints, manifest, open_store
from tansyladder.store.files import RealFiles
from tests.store.harness import KEY_COUNT, closed_store_files, compacted_store_files, open_in_memory

LARGE_SEGMENT_BYTES = 1 << 16  # all records of a test fit into the active segment


def test_the_store_of_another_node_is_rejected() -> None:
    with pytest.raises(errors.NotAStoreError, match="'n1'"):
        open_store(closed_store_files(), "n2", ManualClock())


def test_a_directory_that_is_in_use_is_rejected() -> None:
    files, store = open_in_memory(closed_store_files())
    with pytest.raises(errors.StoreLockedError):
        open_in_memory(files)
    store.close()
    open_in_memory(files)


def test_a_real_directory_that_is_in_use_is_rejected(tmp_path: Path) -> None:
    store = open_store(RealFiles(tmp_path / "real"), "n1", ManualClock())
    with pytest.raises(errors.StoreLockedError):
        open_store(RealFiles(tmp_path / "real"), "n1", ManualClock())
    store.close()
    with pytest.raises(errors.StoreBrokenError, match="closed"):
        store.put(b"k", b"v")


def test_a_directory_that_cant_be_created_is_rejected(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    with pytest.raises(OSError, match="Not a directory") as raised:
        RealFiles(tmp_path / "file" / "folder")
    assert raised.value.errno == errno.ENOTDIR


def test_the_manifest_of_a_later_version_is_rejected() -> None:
    files = closed_store_files()
    known = manifest.read_manifest(files)
    manifest.write_manifest(files, msgspec.structs.replace(known, version=9))
    with pytest.raises(errors.StoreVersionError, match="version 9") as raised:
        open_in_memory(files)
    assert raised.value.path == manifest.FILE_NAME


def test_segments_without_a_manifest_are_rejected() -> None:
    with pytest.raises(errors.StoreCorruptError, match="missing") as raised:
        open_in_memory(FaultInjectingFiles({"0000000000000001.log": b""}))
    assert raised.value.path == manifest.FILE_NAME


def test_a_value_that_expired_at_a_recovery_stays_expired_when_the_clock_steps_back() -> None:
    clock = ManualClock()
    files, store = open_in_memory(clock=clock)
    store.write([WriteOperation(b"k", b"v", clock.now_us + 40)], Durability.SYNCED)
    store.close()
    clock.advance(40)
    _, store = open_in_memory(files, clock=clock)
    clock.advance(-1)
    assert store.get(b"k") is None
    store.write([WriteOperation(b"else", b"v", 0)], Durability.SYNCED)
    store.close()
    _, store = open_in_memory(files, clock=clock)
    assert store.get(b"k") is None


def test_a_frame_inside_a_value_is_ignored() -> None:
    """Its checksum is valid only at the offset that it was encoded for, and a value begins at another one."""
    offset = 40
    record = frames.Record(offset + frames.FRAME_HEADER_BYTES, frames.PUT, 99, 0, b"evil", b"x")
    body = frames.encode_record(record, segment_id=1)
    fake = frames.encode_frame(body, 1, 10**9, 0, 1, offset)
    files, store = open_in_memory(max_segment_bytes=LARGE_SEGMENT_BYTES)
    store.put(b"a", b"x")
    store.put(b"b", fake * 2 + b"y", durability=Durability.BUFFERED)
    inode = files.visible[f"{store.active_segment_id:016x}.log"]
    # The last record is cut off, but the frames inside its value are intact.
    inode.visible = inode.visible[:-1]
    _, store = open_in_memory(files.after_process_kill())
    assert dict(store.items()) == {b"a": b"x"}
    assert store.dropped_bytes > 0


def test_corrupt_bytes_that_had_been_synced_are_reported_and_not_dropped() -> None:
    """Later frames record that the first was synced; else it would pass for a tail that a crash cut off."""
    files, store = open_in_memory(max_segment_bytes=LARGE_SEGMENT_BYTES)
    for key in (b"a", b"b", b"c"):
        store.put(key, key * 20)
    name = f"{store.active_segment_id:016x}.log"
    inode = files.visible[name]
    intact = bytes(inode.visible)
    in_first_frame = frames.SEGMENT_HEADER_BYTES + 5
    in_first_record = frames.SEGMENT_HEADER_BYTES + frames.FRAME_HEADER_BYTES + 30
    for offset in (in_first_frame, in_first_record):
        inode.visible = bytearray(intact)
        inode.visible[offset] ^= 1
        with pytest.raises(errors.StoreCorruptError, match="corrupt") as raised:
            open_in_memory(files.after_process_kill())
        assert raised.value.path == name
    inode.visible = bytearray(intact)
    inode.visible[-1] ^= 1  # damage to the last frame can't be distinguished from a crash
    _, store = open_in_memory(files.after_process_kill())
    assert set(dict(store.items())) == {b"a", b"b"}


def test_a_corrupt_hint_is_rebuilt() -> None:
    files = compacted_store_files()
    _, store = open_in_memory(files)
    assert store.rebuilt_hint_count == 0
    hint_names = [name for name in files.list_names() if name.endswith(".hint")]
    assert hint_names
    store.close()
    for name in hint_names:
        content = files.visible[name].visible
        content[len(content) // 2] ^= 4
    _, store = open_in_memory(files)
    assert store.rebuilt_hint_count > 0
    assert len(store) == KEY_COUNT
    assert hints.Hint.decode(b"", 1, 1) is None
