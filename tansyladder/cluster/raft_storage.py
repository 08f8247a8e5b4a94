"""Storage of Raft's persistent state, as records in the node's store."""

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
SNAPSHOT_RECORD_BYTES = 48 << 10  # snapshots are split into records, as the store limits the size of a record
INDEX_BYTES = 8  # size of an entry's index in its key, and of the write count; both are big-endian
DISK_ID_BYTES = 8

Records = dict[bytes, bytes]


def log_entry_key(index: int) -> bytes:
    """Return the key of an entry's record; the keys sort in the order of the indexes."""
    return LOG_KEY_PREFIX + index.to_bytes(INDEX_BYTES, "big")


def _snapshot_key(number: int) -> bytes:
    """Return the key of a record of the snapshot; the records are numbered from 0."""
    return SNAPSHOT_KEY_PREFIX + b"/%06d" % number


def _snapshot_keys(records: Records) -> list[bytes]:
    """Return the keys of the snapshot's records, in the order of their numbers."""
    return sorted(key for key in records if key.startswith(SNAPSHOT_KEY_PREFIX))


def _decode_snapshot(records: Records) -> Snapshot:
    """Decode the snapshot; return an empty one if it has no records."""
    keys = _snapshot_keys(records)
    if not keys:
        return Snapshot()
    return msgspec.msgpack.decode(b"".join(records[key] for key in keys), type=Snapshot)


def _decode_entries(records: Records, first_index: int) -> tuple[LogEntry, ...]:
    """Decode the log entries from `first_index` up to the first missing one."""
    entries: list[LogEntry] = []
    while (data := records.get(log_entry_key(first_index + len(entries)))) is not None:
        entries.append(msgspec.msgpack.decode(data, type=LogEntry))
    return tuple(entries)


def _decode_hard_state(records: Records) -> HardState:
    """Decode the hard state; return a new one, with a random disk id, if the disk has none."""
    data = records.get(HARD_STATE_KEY)
    if data:
        return msgspec.msgpack.decode(data, type=HardState)
    return HardState(disk_id=os.urandom(DISK_ID_BYTES).hex())


class RaftStorage:
    """Reads and writes Raft's records in the node's store. Owned by the Raft thread.

    Without a store the state is lost when the process ends.

    Each write is counted, both on the disk and in the rollback detector's file. If the disk's count is lower
    than that of the file, or there is no valid file, the disk may be an older copy of itself. If an entry in
    the middle of the log is missing, the disk has lost data. In both cases the disk is suspected to be stale
    (`HardState.stale_disk_suspected`).
    """

    def __init__(self, store: Store | None, rollback_detector: RollbackDetector) -> None:
        """Read the records and check whether the disk may be an older copy.

        Raises:
            StoreError: The store fails.
            MsgspecError: A record can't be decoded.
        """
        self._store = store
        self._rollback_detector = rollback_detector
        records = dict(store.items(KEY_PREFIX)) if store else {}
        snapshot = _decode_snapshot(records)
        entries = _decode_entries(records, snapshot.index + 1)
        self._first_index = snapshot.index + 1  # the index of the first entry that has a record
        self._last_index = snapshot.index + len(entries)
        self._snapshot_record_count = len(_snapshot_keys(records))
        self._write_count = int.from_bytes(records.get(WRITE_COUNT_KEY, b""), "big")
        hard_state = self._check_for_rollback(_decode_hard_state(records), records)
        self._disk_id = hard_state.disk_id
        self.persisted = PersistentState(hard_state, snapshot, entries)
        if store is None:
            # A later start may use a store, which lacks the votes of this start and must be suspected then.
            rollback_detector.invalidate()
        self.write([hard_state])

    def write(self, writes: list[Write]) -> None:
        """Write all changes in order, as one synced write of the store.

        Raises:
            StoreError: The write has failed; any part of it may be on the disk.
        """
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
        # Recording the write after its sync is safe: the caller has sent no message yet that depends on it.
        self._rollback_detector.record(self._disk_id, self._write_count)

    def _check_for_rollback(self, hard_state: HardState, records: Records) -> HardState:
        """Return the hard state; suspect the disk unless it is new, or complete and shown to be newest."""
        end_of_log = log_entry_key(self._last_index)
        has_all_entries = all(key <= end_of_log for key in records if key.startswith(LOG_KEY_PREFIX))
        is_newest = self._rollback_detector.is_newest(hard_state.disk_id, self._write_count)
        if HARD_STATE_KEY not in records or (has_all_entries and is_newest):
            return hard_state
        log(LogEvent.STALE_DISK_SUSPECTED, has_all_entries=has_all_entries)
        return replace(hard_state, stale_disk_suspected=True)

    def _add_snapshot(self, records: dict[bytes, bytes | None], snapshot: Snapshot) -> None:
        """Replace the records of the previous snapshot, and delete the entries that the new one includes."""
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
        """Replace all entries from the suffix's first index on."""
        for index, entry in enumerate(suffix.entries, suffix.index):
            records[log_entry_key(index)] = msgspec.msgpack.encode(entry)
        end_index = suffix.index + len(suffix.entries)
        for index in range(end_index, self._last_index + 1):
            records[log_entry_key(index)] = None
        self._last_index = end_index - 1
