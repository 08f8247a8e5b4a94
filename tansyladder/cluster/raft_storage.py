"""Raft's persistent state as records in the node's store."""

from __future__ import annotations

import os

import msgspec
from msgspec.structs import replace

from tansyladder.cluster.rollback_detector import RollbackDetector
from tansyladder.log import LogEvent, log
from tansyladder.raft.messages import LogEntry
from tansyladder.raft.persistent_state import HardState, LogSuffix, PersistentState, Snapshot, Write
from tansyladder.store import Durability, Store, WriteOperation

KEY_PREFIX = b"peers/"
HARD_STATE_KEY = b"peers/hard"
SNAPSHOT_KEY_PREFIX = b"peers/snapshot"
LOG_KEY_PREFIX = b"peers/log/"
WRITE_COUNT_KEY = b"peers/count"
SNAPSHOT_RECORD_BYTES = 48 << 10  # of a snapshot in one record, as the store limits the size of records
INDEX_BYTES = 8  # of an entry's index in its key, and of the write count; big-endian
DISK_ID_BYTES = 8

Records = dict[bytes, bytes]


def log_entry_key(index: int) -> bytes:
    """Return the key of an entry's record; keys sort in the order of the indexes."""
    return LOG_KEY_PREFIX + index.to_bytes(INDEX_BYTES, "big")


def _snapshot_key(number: int) -> bytes:
    """Return the key of one of the snapshot's records, which are numbered from 0."""
    return SNAPSHOT_KEY_PREFIX + b"/%06d" % number


def _snapshot_keys(records: Records) -> list[bytes]:
    """Return the keys of the snapshot's records in their order."""
    return sorted(key for key in records if key.startswith(SNAPSHOT_KEY_PREFIX))


def _decode_snapshot(records: Records) -> Snapshot:
    """Decode the snapshot; an empty one if there are no records of it."""
    keys = _snapshot_keys(records)
    if not keys:
        return Snapshot()
    return msgspec.msgpack.decode(b"".join(records[key] for key in keys), type=Snapshot)


def _decode_entries(records: Records, first_index: int) -> tuple[LogEntry, ...]:
    """Decode the entries up to the first missing one."""
    entries: list[LogEntry] = []
    while (data := records.get(log_entry_key(first_index + len(entries)))) is not None:
        entries.append(msgspec.msgpack.decode(data, type=LogEntry))
    return tuple(entries)


def _decode_hard_state(records: Records) -> HardState:
    """Decode the hard state; a disk without one gets a new name."""
    data = records.get(HARD_STATE_KEY)
    if data:
        return msgspec.msgpack.decode(data, type=HardState)
    return HardState(disk_id=os.urandom(DISK_ID_BYTES).hex())


class RaftStorage:
    """Raft's records in the node's store; without a store they are lost when the process ends.

    Each write is counted, on the disk and in the rollback detector's file. A disk whose count is behind that
    file, or for which there is no file, may be an older copy; a disk that lacks an entry in the middle of the
    log has lost data as well. Both are suspected to be stale (`HardState.stale_disk_suspected`). Owned by the
    Raft thread.
    """

    def __init__(self, store: Store | None, rollback_detector: RollbackDetector) -> None:
        """Read the records. StoreError: the store fails. MsgspecError: a record can't be decoded."""
        self._store = store
        self._rollback_detector = rollback_detector
        records = dict(store.items(KEY_PREFIX)) if store else {}
        snapshot = _decode_snapshot(records)
        entries = _decode_entries(records, snapshot.index + 1)
        self._first_index = snapshot.index + 1  # of the entries that have records
        self._last_index = snapshot.index + len(entries)
        self._snapshot_record_count = len(_snapshot_keys(records))
        self._write_count = int.from_bytes(records.get(WRITE_COUNT_KEY, b""), "big")
        hard_state = self._check_for_rollback(_decode_hard_state(records), records)
        self._disk_id = hard_state.disk_id
        self.persisted = PersistentState(hard_state, snapshot, entries)
        if store is None:
            rollback_detector.invalidate()  # a store used by a later start lacks the votes of this one
        self.write([hard_state])

    def write(self, writes: list[Write]) -> None:
        """Sync all writes, in order, as one. StoreError: any part of them may be on the disk."""
        if self._store is None or not writes:
            return
        records: dict[bytes, bytes | None] = {}
        for write in writes:
            match write:
                case HardState():
                    records[HARD_STATE_KEY] = msgspec.msgpack.encode(write)
                case Snapshot():
                    self._add_snapshot(records, write)
                case LogSuffix():
                    self._add_log_suffix(records, write)
        self._write_count += 1
        records[WRITE_COUNT_KEY] = self._write_count.to_bytes(INDEX_BYTES, "big")
        operations = [WriteOperation(key, value) for key, value in records.items()]
        self._store.write(operations, Durability.SYNCED)
        # The caller has not sent any message yet that depends on these writes.
        self._rollback_detector.record(self._disk_id, self._write_count)

    def _check_for_rollback(self, hard_state: HardState, records: Records) -> HardState:
        """Return the hard state; the disk is suspected to be stale unless it is shown to be the newest."""
        end_of_log = log_entry_key(self._last_index)
        has_all_entries = all(key <= end_of_log for key in records if key.startswith(LOG_KEY_PREFIX))
        is_newest = self._rollback_detector.is_newest(hard_state.disk_id, self._write_count)
        if HARD_STATE_KEY not in records or (has_all_entries and is_newest):
            return hard_state
        log(LogEvent.STALE_DISK_SUSPECTED, has_all_entries=has_all_entries)
        return replace(hard_state, stale_disk_suspected=True)

    def _add_snapshot(self, records: dict[bytes, bytes | None], snapshot: Snapshot) -> None:
        """Replace the previous snapshot and the entries that the new one includes."""
        data = msgspec.msgpack.encode(snapshot)
        parts = [
            data[start : start + SNAPSHOT_RECORD_BYTES]
            for start in range(0, len(data), SNAPSHOT_RECORD_BYTES)
        ]
        for number in range(max(len(parts), self._snapshot_record_count)):
            records[_snapshot_key(number)] = parts[number] if number < len(parts) else None
        self._snapshot_record_count = len(parts)
        for index in range(self._first_index, snapshot.index + 1):
            records[log_entry_key(index)] = None
        self._first_index = snapshot.index + 1
        self._last_index = max(self._last_index, snapshot.index)

    def _add_log_suffix(self, records: dict[bytes, bytes | None], suffix: LogSuffix) -> None:
        """Replace all entries from the first one of the suffix on."""
        for index, entry in enumerate(suffix.entries, suffix.index):
            records[log_entry_key(index)] = msgspec.msgpack.encode(entry)
        end_index = suffix.index + len(suffix.entries)
        for index in range(end_index, self._last_index + 1):
            records[log_entry_key(index)] = None
        self._last_index = end_index - 1
