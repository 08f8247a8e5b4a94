"""The store: what callers see of it, and how its parts are joined."""

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

DEFAULT_SEGMENT_BYTES = 32 << 20  # from which a new segment is begun
DEFAULT_BUDGET_BYTES = 1 << 20  # of one step of maintenance: some ten milliseconds
FULL_BUDGET_BYTES = 64 << 20  # of one step where nobody waits for it


class Store:
    """An open store. Made by `open_store`.

    A write returns when it is as durable as it asked to be. After a failed sync it is not known what is on
    disk, so the store refuses all further writes (StoreBrokenError); what it had can still be read.

    Thread-safe. The record table, the commit queue and the lifecycle have a lock each; the log, the writer
    and the maintenance belong to the thread that leads the commit queue. No lock is held while a file is
    written.

    Attributes:
        dropped_bytes: bytes of an incomplete tail that opening left out.
        rebuilt_hint_count: segments whose hint could not be used.
    """

    def __init__(
        self, files: Files, recovered: RecoveryResult, read_clock: Callable[[], int], max_segment_bytes: int
    ) -> None:
        """`read_clock`: Unix time in microseconds. OSError: the first segment can't be made."""
        self.dropped_bytes = recovered.dropped_bytes
        self.rebuilt_hint_count = recovered.rebuilt_hint_count
        self._files = files
        self._lifecycle = StoreLifecycle()
        self._clock = ForwardClock(read_clock, recovered.latest_time_us)
        self._records = RecordTable(recovered.index, recovered.segments, recovered.manifest.hash_secret)
        self._log = SegmentLog(files, recovered.manifest, self._records, self._lifecycle, max_segment_bytes)
        self._writer = GroupWriter(
            self._log, self._records, self._lifecycle, self._clock, recovered.last_sequence
        )
        self._queue = CommitQueue(self._writer.commit, self._lifecycle)
        self._maintenance = Maintenance(self._log, self._records, self._lifecycle, self._clock)

    # Reading.

    def __len__(self) -> int:
        """Keys, with those that expired and are not compacted away."""
        return len(self._records)

    def get(self, key: bytes) -> bytes | None:
        """A key's value; None where there is none, or it has expired.

        Raises:
            StoreCorruptError: the record is not as it was written.
            OSError: it can't be read.
        """
        record = self._records.read(key)
        if record is None or (record.expiry_us and record.expiry_us <= self._clock.now_us()):
            return None
        return record.value

    def snapshot(self) -> Snapshot:
        """The store as it is now, whatever is written or compacted later; close it after use."""
        return self._records.snapshot()

    def items(self, prefix: bytes = b"") -> list[tuple[bytes, bytes]]:
        """All live keys that begin so, with their values; reads every record.

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
        """Set a key; raises what `write` does."""
        self.write((WriteOperation(key, value, expiry_us),), durability)

    def delete(self, key: bytes, durability: Durability = Durability.SYNCED) -> None:
        """Delete a key; one that is not there is no error. Raises what `write` does."""
        self.write((WriteOperation(key, None),), durability)

    def write(self, operations: Sequence[WriteOperation], durability: Durability = Durability.SYNCED) -> None:
        """Apply all operations or none, in their order; returns when they are as durable as asked for.

        Raises:
            RecordTooLargeError, KeyCollisionError, StoreFullError: nothing is kept.
            StoreBrokenError: it is not known what is kept, or the store took no more writes.
        """
        size = encoded_batch_bytes(operations)
        if operations:
            self._queue.submit(PendingBatch(operations, size, durability is Durability.SYNCED))

    # Maintenance.

    def maintain(self, budget_bytes: int = DEFAULT_BUDGET_BYTES) -> bool:
        """One step: a sync of buffered writes, a hint file, or about so many bytes of compaction.

        Called by one thread, again at once where it returns True, which means that there is more to do. It
        leads the commit queue meanwhile, so no writer waits for longer than one step.

        Raises:
            StoreFullError, StoreCorruptError: the step was given up; writes go on.
            StoreBrokenError: the store takes no more writes.
        """
        with self._queue.leadership() as is_leader:
            # Where a writer leads there may be more to do, and it syncs too.
            return self._maintenance.step(budget_bytes) if is_leader else True

    def compact_all(self) -> None:
        """Maintain until there is nothing left to do."""
        while self.maintain(FULL_BUDGET_BYTES):
            pass

    def close(self) -> None:
        """Sync and give the directory up. StoreBrokenError: it is not known what is on disk."""
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
        """Writes that wait for the one under way."""
        return len(self._queue)

    @property
    def latest_time_us(self) -> int:
        """The latest Unix time that the store has seen; what had expired by then stays expired."""
        return self._clock.latest_us

    @property
    def written_bytes(self) -> int:
        """Bytes written to segments since the start, compaction included."""
        return self._log.written_bytes

    @property
    def compacted_bytes(self) -> int:
        """Bytes of them that compaction wrote."""
        return self._maintenance.compacted_bytes

    @property
    def stats(self) -> StoreStats:
        """Figures for logs and tools."""
        return self._records.stats(self._writer.last_sequence)

    @property
    def stats_by_segment(self) -> dict[int, SegmentStats]:
        """Figures of each segment by its number, oldest first."""
        return self._records.stats_by_segment()
