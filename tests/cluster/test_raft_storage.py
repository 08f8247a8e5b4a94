"""Raft's records in the store, and the suspicion that they are an older copy."""

from __future__ import annotations

import shutil
from pathlib import Path

import msgspec

from tansyladder.cluster.raft_storage import HARD_STATE_KEY, RaftStorage, log_entry_key
from tansyladder.cluster.rollback_detector import RollbackDetector
from tansyladder.raft.messages import EntryKind, LogEntry
from tansyladder.raft.persistent_state import HardState, LogSuffix, Snapshot
from tansyladder.store import Durability, WriteOperation, open_store
from tansyladder.store.files import RealFiles


def test_records_are_the_same_after_a_restart(tmp_path: Path) -> None:
    def opened() -> tuple[RaftStorage, object]:
        store = open_store(RealFiles(tmp_path / "store"), "n", lambda: 1)
        return RaftStorage(store, RollbackDetector(str(tmp_path), "n")), store

    records, store = opened()
    ident = records.persisted.hard_state.disk_id
    entries = tuple(LogEntry(1, EntryKind.COMMAND, f"r{i}", b"x") for i in range(6))
    records.write(
        [HardState(3, "n1", ident, {"n1": "d"}, 2), LogSuffix(1, entries), LogSuffix(5, entries[:1])]
    )
    records.write([Snapshot(2, 1, {"n1": "e"}, b"s" * 200_000)])
    store.close()  # type: ignore[attr-defined]
    again, store = opened()
    assert again.persisted.hard_state == HardState(3, "n1", ident, {"n1": "d"}, 2)
    assert again.persisted.snapshot == Snapshot(2, 1, {"n1": "e"}, b"s" * 200_000)
    assert again.persisted.entries == (*entries[2:4], entries[0])
    again.write([Snapshot(5, 1, {}, b"small")])
    store.close()  # type: ignore[attr-defined]
    last, store = opened()
    assert (last.persisted.snapshot.state, last.persisted.entries) == (b"small", ())
    store.close()  # type: ignore[attr-defined]


def test_a_disk_that_is_not_shown_to_be_the_newest_is_doubted(tmp_path: Path) -> None:
    def opened(witness: str = "here") -> RaftStorage:
        (tmp_path / witness).mkdir(exist_ok=True)
        store = open_store(RealFiles(tmp_path / "store"), "n", lambda: 1)
        records = RaftStorage(store, RollbackDetector(str(tmp_path / witness), "n"))
        store.close()
        return records

    def write(*ops: WriteOperation) -> None:
        store = open_store(RealFiles(tmp_path / "store"), "n", lambda: 1)
        store.write(ops, Durability.SYNCED)
        store.close()

    assert not opened().persisted.hard_state.stale_disk_suspected  # a new disk has forgotten nothing
    shutil.copytree(tmp_path / "store", tmp_path / "copy")
    assert not opened().persisted.hard_state.stale_disk_suspected
    shutil.rmtree(tmp_path / "store")
    (tmp_path / "copy").rename(tmp_path / "store")
    assert opened().persisted.hard_state.stale_disk_suspected
    assert opened().persisted.hard_state.stale_disk_suspected  # until the agreement ends it
    write(
        WriteOperation(
            HARD_STATE_KEY, msgspec.msgpack.encode(HardState(disk_id=opened().persisted.hard_state.disk_id))
        )
    )
    assert not opened().persisted.hard_state.stale_disk_suspected
    write(WriteOperation(log_entry_key(2), msgspec.msgpack.encode(LogEntry(1))))  # the first one is missing
    assert opened().persisted.hard_state.stale_disk_suspected
    write(
        WriteOperation(
            HARD_STATE_KEY, msgspec.msgpack.encode(HardState(disk_id=opened().persisted.hard_state.disk_id))
        )
    )
    write(WriteOperation(log_entry_key(2), None))
    assert opened("elsewhere").persisted.hard_state.stale_disk_suspected  # as after a start of the machine
