"""The store's public interface, which joins its parts."""

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

DEFAULT_SEGMENT_BYTES = 32 << 20  # size from which another segment is begun
DEFAULT_BUDGET_BYTES = 1 << 20  # of one step of maintenance, which takes some ten milliseconds
FULL_BUDGET_BYTES = 64 << 20  # of one step that delays no writer


class Store:
    """An open store. Created by `open_store`.

    A write returns once it has the durability that it asked for. After a failed sync it is not known what is
    on disk, so the store rejects all further writes (StoreBrokenError); it can still be read.

    Thread-safe. The record table, the commit queue and the lifecycle have a lock each; the log, the writer
    and the maintenance belong to the thread that leads the commit queue. No lock is held while a file is
    written.

    Attributes:
        dropped_bytes: bytes of an incomplete tail that recovery dropped.
        rebuilt_hint_count: segments whose hint file was missing or invalid.
    """

    def __init__(
        self, files: Files, recovered: RecoveryResult, read_clock: Callable[[], int], max_segment_bytes: int
    ) -> None:
        """`read_clock`: Unix time in microseconds. OSError: the first segment can't be created."""
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
        """Count the keys, including expired ones that are not compacted yet."""
        return len(self._records)

    def get(self, key: bytes) -> bytes | None:
        """Return a key's value; None where there is none, or it has expired.

        Raises:
            StoreCorruptError: the record is not as it was written.
            OSError: it can't be read.
        """
        record = self._records.read(key)
        if record is None or (record.expiry_us and record.expiry_us <= self._clock.now_us()):
            return None
        return record.value

    def snapshot(self) -> Snapshot:
        """Return the present content, independent of later writes and compactions; close it after use."""
        return self._records.snapshot()

    def items(self, prefix: bytes = b"") -> list[tuple[bytes, bytes]]:
        """Return all live keys that begin with the prefix, with their values; reads every record.

        StoreCorruptError, OSError.
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
        """Delete a key; a key that doesn't exist is no error. Raises the errors of `write`."""
        self.write((WriteOperation(key, None),), durability)

    def write(self, operations: Sequence[WriteOperation], durability: Durability = Durability.SYNCED) -> None:
        """Apply all operations in their order, or none; return once they are as durable as asked for.

        Raises:
            RecordTooLargeError, KeyCollisionError, StoreFullError: nothing was written.
            StoreBrokenError: it is not known what was written, or the store accepts no more writes.
        """
        size = encoded_batch_bytes(operations)
        if operations:
            self._queue.submit(PendingBatch(operations, size, durability is Durability.SYNCED))

    # Maintenance.

    def maintain(self, budget_bytes: int = DEFAULT_BUDGET_BYTES) -> bool:
        """Do one step: sync buffered writes, write a hint file, or compact about so many bytes.

        Called by one thread, which calls again at once while the result is True: there is more to do. A step
        leads the commit queue, so writers wait for one step at most.

        Raises:
            StoreFullError, StoreCorruptError: the step was aborted; the store still accepts writes.
            StoreBrokenError: the store accepts no more writes.
        """
        with self._queue.leadership() as is_leader:
            # While a writer leads, which syncs as well, there may be more to do.
            return self._maintenance.step(budget_bytes) if is_leader else True

    def compact_all(self) -> None:
        """Do steps of maintenance until no more is due."""
        while self.maintain(FULL_BUDGET_BYTES):
            pass

    def close(self) -> None:
        """Sync, close all files and release the directory. StoreBrokenError: the state on disk is unknown."""
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
        """The number of the segment that is written to."""
        return self._log.active.id

    @property
    def waiting_write_count(self) -> int:
        """Writes that wait for the one in progress."""
        return len(self._queue)

    @property
    def latest_time_us(self) -> int:
        """The latest Unix time that the store has seen; values that expired before it stay expired."""
        return self._clock.latest_us

    @property
    def written_bytes(self) -> int:
        """Bytes written to segments since the start, compaction included."""
        return self._log.written_bytes

    @property
    def compacted_bytes(self) -> int:
        """Bytes of `written_bytes` that compaction wrote."""
        return self._maintenance.compacted_bytes

    @property
    def stats(self) -> StoreStats:
        """Figures for logs and tools."""
        return self._records.stats(self._writer.last_sequence)

    @property
    def stats_by_segment(self) -> dict[int, SegmentStats]:
        """Figures of each segment by its number, oldest first."""
        return self._records.stats_by_segment()
