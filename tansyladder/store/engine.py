"""The class `Store`: the store's public interface, which delegates to the other modules."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from tansyladder.store.commit_queue import CommitQueue, PendingBatch
from tansyladder.store.files import Files
from tansyladder.store.forward_clock import ForwardClock
from tansyladder.store.group_writer import GroupWriter
from tansyladder.store.lifecycle import StoreLifecycle, StoreState
from tansyladder.store.maintenance import Maintenance
from tansyladder.store.operations import Durability, WriteOperation, encoded_batch_bytes
from tansyladder.store.record_table import RecordTable, SegmentStats, StoreStats
from tansyladder.store.recovery import RecoveryResult
from tansyladder.store.segment_log import SegmentLog
from tansyladder.store.snapshot import Snapshot

DEFAULT_SEGMENT_BYTES = 32 << 20  # size above which a new segment is started
DEFAULT_BUDGET_BYTES = 1 << 20  # of one maintenance step, which then takes about ten milliseconds
COMPACT_ALL_BUDGET_BYTES = 64 << 20  # of one step of `compact_all`, which does not limit the wait of writers


class Store:
    """An open store. Created by `open_store`.

    A write returns once it has the requested durability. After a failed sync it is not known what is on disk,
    so the store rejects all further writes with StoreBrokenError; it can still be read.

    Thread-safe. The record table, the commit queue and the lifecycle each have a lock; the log, the group
    writer and the maintenance belong to the commit leader (see `CommitQueue`). No lock is held while a file
    is written.

    Attributes:
        dropped_bytes: bytes of an incomplete tail that recovery dropped.
        rebuilt_hint_count: number of sealed segments whose hint file was missing or invalid.
    """

    def __init__(
        self, files: Files, recovered: RecoveryResult, read_clock: Callable[[], int], max_segment_bytes: int
    ) -> None:
        """Begin the first segment of this start.

        Args:
            files: the store's directory, locked by the caller.
            recovered: the content on disk.
            read_clock: returns the Unix time in microseconds.
            max_segment_bytes: size above which a new segment is started.

        Raises:
            OSError: the segment can't be created.
        """
        self.dropped_bytes = recovered.dropped_bytes
        self.rebuilt_hint_count = recovered.rebuilt_hint_count
        self._files = files
        recovered_index = recovered.recovered_index
        self._lifecycle = StoreLifecycle()
        self._clock = ForwardClock(read_clock, recovered_index.latest_time_us)
        self._records = RecordTable(recovered_index.index, recovered.segments, recovered.manifest.hash_secret)
        self._log = SegmentLog(files, recovered.manifest, self._records, self._lifecycle, max_segment_bytes)
        self._writer = GroupWriter(
            self._log, self._records, self._lifecycle, self._clock, recovered_index.last_sequence
        )
        self._queue = CommitQueue(self._writer.commit, self._lifecycle)
        self._maintenance = Maintenance(self._log, self._records, self._lifecycle, self._clock)

    # Reading.

    def __len__(self) -> int:
        """Return the number of keys, including expired ones that are not compacted yet."""
        return len(self._records)

    def get(self, key: bytes) -> bytes | None:
        """Return the value of a key, or None if there is none or it has expired.

        Raises:
            StoreCorruptError: the record's checksum is wrong.
            OSError: the record can't be read.
        """
        record = self._records.read(key)
        if record is None or (record.expiry_us and record.expiry_us <= self._clock.now_us()):
            return None
        return record.value

    def snapshot(self) -> Snapshot:
        """Return a snapshot of the current content, which the caller must close.

        Later writes and compactions do not change it.
        """
        return self._records.snapshot()

    def items(self, prefix: bytes = b"") -> list[tuple[bytes, bytes]]:
        """Return all live keys that begin with the prefix, with their values; reads every record.

        Raises:
            StoreCorruptError: the checksum of a record is wrong.
            OSError: a record can't be read.
        """
        with self.snapshot() as snapshot:
            now_us = self._clock.now_us()
            entries = snapshot.items(prefix)
            return [(key, value) for key, value, expiry_us in entries if not expiry_us or expiry_us > now_us]

    # Writing.

    def put(
        self, key: bytes, value: bytes, expiry_us: int = 0, durability: Durability = Durability.SYNCED
    ) -> None:
        """Set a key. Raises the errors of `write`."""
        self.write((WriteOperation(key, value, expiry_us),), durability)

    def delete(self, key: bytes, durability: Durability = Durability.SYNCED) -> None:
        """Delete a key, if it exists. Raises the errors of `write`."""
        self.write((WriteOperation(key, None),), durability)

    def write(self, operations: Sequence[WriteOperation], durability: Durability = Durability.SYNCED) -> None:
        """Apply all operations in order, or none; return once they have the requested durability.

        Raises:
            RecordTooLargeError, KeyCollisionError, StoreFullError: nothing was written.
            StoreBrokenError: it is not known what was written, or the store no longer accepts writes.
            OSError: a stored key can't be read for comparison; the store no longer accepts writes.
        """
        size = encoded_batch_bytes(operations)
        if operations:
            self._queue.submit(PendingBatch(operations, size, durability is Durability.SYNCED))

    # Maintenance.

    def maintain(self, budget_bytes: int = DEFAULT_BUDGET_BYTES) -> bool:
        """Do one maintenance step, and return whether there is more to do.

        A step syncs buffered writes, and then writes a hint file or compacts about `budget_bytes`. One thread
        calls this method, and calls it again at once while the result is True. The step takes the commit
        leadership, so writers wait for one step at most.

        Raises:
            StoreFullError, StoreCorruptError: the step was aborted; the store still accepts writes.
            StoreBrokenError: the store no longer accepts writes.
        """
        with self._queue.leadership() as is_leader:
            # If a writer is the leader, which syncs as well, nothing is done, and there may be more to do.
            return self._maintenance.step(budget_bytes) if is_leader else True

    def compact_all(self) -> None:
        """Do maintenance steps until none is due."""
        while self.maintain(COMPACT_ALL_BUDGET_BYTES):
            pass

    def close(self) -> None:
        """Sync, close all files and release the directory.

        Raises:
            StoreBrokenError: the sync failed, so the state on disk is unknown.
        """
        previous = self._lifecycle.close()
        if previous is None:
            return
        try:
            if previous is StoreState.OPEN and self._log.has_unsynced_bytes:
                self._log.sync()
        finally:
            self._maintenance.abort()
            self._records.close()
            self._files.unlock()

    # State.

    @property
    def active_segment_id(self) -> int:
        """The id of the segment that writes are appended to."""
        return self._log.active.id

    @property
    def waiting_write_count(self) -> int:
        """The number of batches that wait for the group in progress."""
        return len(self._queue)

    @property
    def latest_time_us(self) -> int:
        """The latest Unix time in microseconds that was read; values that expired by then stay expired."""
        return self._clock.latest_us

    @property
    def written_bytes(self) -> int:
        """Bytes written to segments since the store was opened, including those of compactions."""
        return self._log.written_bytes

    @property
    def compacted_bytes(self) -> int:
        """The part of `written_bytes` that compactions wrote."""
        return self._maintenance.compacted_bytes

    @property
    def stats(self) -> StoreStats:
        """Statistics for logs and tools."""
        return self._records.stats(self._writer.last_sequence)

    @property
    def stats_by_segment(self) -> dict[int, SegmentStats]:
        """Statistics of each segment by its id, oldest first."""
        return self._records.stats_by_segment()
