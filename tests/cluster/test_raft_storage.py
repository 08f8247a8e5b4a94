"""Raft's records in the store, and the detection of a store that may be an older copy."""

from __future__ import annotations

import shutil
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import msgspec

from tansyladder.cluster.raft_storage import HARD_STATE_KEY, RaftStorage, log_entry_key
from tansyladder.cluster.rollback_detector import RollbackDetector
from tansyladder.raft.messages import EntryKind, LogEntry
from tansyladder.raft.persistent_state import HardState, LogSuffix, Snapshot
from tansyladder.store import Durability, Store, WriteOperation, open_store
from tansyladder.store.files import RealFiles


@contextmanager
def opened_store(folder: Path) -> Iterator[Store]:
    """The node's store, which is closed at the end of the context."""
    store = open_store(RealFiles(folder / "store"), "n", lambda: 1)
    try:
        yield store
    finally:
        store.close()


@contextmanager
def opened_storage(folder: Path, detector_folder: str = "here") -> Iterator[RaftStorage]:
    """The Raft storage of one start of the node; `detector_folder` contains the rollback detector's file."""
    (folder / detector_folder).mkdir(exist_ok=True)
    with opened_store(folder) as store:
        yield RaftStorage(store, RollbackDetector(str(folder / detector_folder), "n"))


def hard_state_after_start(folder: Path, detector_folder: str = "here") -> HardState:
    """Start the node and return its hard state; a start writes to the disk, so an earlier copy is older."""
    with opened_storage(folder, detector_folder) as storage:
        return storage.persisted.hard_state


def is_suspected_after_start(folder: Path, detector_folder: str = "here") -> bool:
    """Start the node and return whether its disk is suspected to be stale."""
    return hard_state_after_start(folder, detector_folder).stale_disk_suspected


def overwrite(folder: Path, key: bytes, value: bytes | None) -> None:
    """Change a record in the store directly, without the Raft storage; None deletes it."""
    with opened_store(folder) as store:
        store.write([WriteOperation(key, value)], Durability.SYNCED)


def end_suspicion(folder: Path) -> None:
    """Write a hard state that isn't suspected, as a node does once its disk is admitted."""
    disk_id = hard_state_after_start(folder).disk_id
    overwrite(folder, HARD_STATE_KEY, msgspec.msgpack.encode(HardState(disk_id=disk_id)))


def test_records_are_the_same_after_a_restart(tmp_path: Path) -> None:
    entries = tuple(LogEntry(1, EntryKind.COMMAND, f"r{number}", b"x") for number in range(6))
    snapshot = Snapshot(2, 1, {"n1": "e"}, b"s" * 200_000)
    with opened_storage(tmp_path) as storage:
        disk_id = storage.persisted.hard_state.disk_id
        hard_state = HardState(3, "n1", disk_id, {"n1": "d"}, 2)
        storage.write([hard_state, LogSuffix(1, entries), LogSuffix(5, entries[:1])])
        storage.write([snapshot])
    with opened_storage(tmp_path) as storage:
        assert storage.persisted.hard_state == hard_state
        assert storage.persisted.snapshot == snapshot
        assert storage.persisted.entries == (*entries[2:4], entries[0])
        storage.write([Snapshot(5, 1, {}, b"small")])
    with opened_storage(tmp_path) as storage:
        assert storage.persisted.snapshot.state == b"small"
        assert storage.persisted.entries == ()


def test_a_disk_that_is_not_shown_to_be_the_newest_is_suspected(tmp_path: Path) -> None:
    assert not is_suspected_after_start(tmp_path)  # a new disk has lost nothing
    shutil.copytree(tmp_path / "store", tmp_path / "copy")
    assert not is_suspected_after_start(tmp_path)
    shutil.rmtree(tmp_path / "store")
    (tmp_path / "copy").rename(tmp_path / "store")
    assert is_suspected_after_start(tmp_path)
    assert is_suspected_after_start(tmp_path)  # the suspicion lasts until Raft ends it
    end_suspicion(tmp_path)
    assert not is_suspected_after_start(tmp_path)
    overwrite(tmp_path, log_entry_key(2), msgspec.msgpack.encode(LogEntry(1)))  # entry 1 is missing
    assert is_suspected_after_start(tmp_path)
    end_suspicion(tmp_path)
    overwrite(tmp_path, log_entry_key(2), None)
    assert is_suspected_after_start(tmp_path, "elsewhere")  # there is no valid file, as after a boot
