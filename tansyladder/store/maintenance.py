"""Background maintenance in steps: syncs buffered writes, writes hint files, and runs compactions."""

from __future__ import annotations

import contextlib

from tansyladder.invariants import Invariant, check_invariant
from tansyladder.store import compaction, hints
from tansyladder.store.compaction import Compaction
from tansyladder.store.errors import StoreCorruptError
from tansyladder.store.forward_clock import ForwardClock
from tansyladder.store.lifecycle import StoreLifecycle
from tansyladder.store.record_table import RecordTable
from tansyladder.store.segment import Segment, segment_file_name
from tansyladder.store.segment_log import SegmentLog

MOVE_BATCH = 1000  # index entries changed at a time under the lock, which bounds how long readers wait


class Maintenance:
    """Background work of a store. Only the commit leader uses it, so it has no lock.

    Attributes:
        compacted_bytes: bytes that compactions have written.
    """

    def __init__(
        self, log: SegmentLog, records: RecordTable, lifecycle: StoreLifecycle, clock: ForwardClock
    ) -> None:
        self._log = log
        self._records = records
        self._lifecycle = lifecycle
        self._clock = clock
        self._compaction: Compaction | None = None
        self.compacted_bytes = 0

    def step(self, budget_bytes: int) -> bool:
        """Do one step, which compacts at most about `budget_bytes`; return whether there is more to do.

        Raises:
            StoreFullError, StoreCorruptError: a compaction was aborted; the store still accepts writes.
            StoreBrokenError: the store no longer accepts writes.
        """
        if self._log.has_unsynced_bytes:
            self._log.sync()
        if self._write_one_hint():
            return True
        if self._compaction is None:
            return self._begin_compaction()
        self._continue_compaction(self._compaction, budget_bytes)
        return True

    def abort(self) -> None:
        """Abort the compaction in progress, if any; its file is removed when the store is next opened."""
        if self._compaction is not None:
            self._compaction.abort()
            self._compaction = None

    def _write_one_hint(self) -> bool:
        """Write one hint file if any is due; return whether one was."""
        for segment in self._records.segments_by_age():
            hint = segment.pending_hint
            if hint is not None and segment is not self._log.active:
                # Without a hint file, opening the store reads the whole segment.
                with contextlib.suppress(OSError):
                    hints.write_hint(self._log.files, hint, segment.id, segment.size)
                segment.drop_pending_hint()
                return True
        return False

    def _begin_compaction(self) -> bool:
        """Begin a compaction if one is due; return whether one was."""
        segments = self._records.segments_by_age()
        run = compaction.choose_run(segments[:-1])  # the last segment is the active one
        if not run:
            return False
        target = compaction.CompactionTarget(
            self._log.reserve_segment_id(), self._log.node_hash, self._log.hash_secret
        )
        try:
            includes_oldest = run[0] is segments[0]
            self._compaction = Compaction(self._log.files, target, run, includes_oldest=includes_oldest)
        except OSError as err:
            raise self._lifecycle.handle_os_error(err, "compaction") from err
        return True

    def _continue_compaction(self, running: Compaction, budget_bytes: int) -> None:
        """Do one step of a compaction; the last step installs the new segment."""
        try:
            is_complete = running.step(budget_bytes, self._records.find_location, self._clock.now_us())
            if is_complete:
                self._install(running)
        except StoreCorruptError:
            self.abort()
            raise
        except OSError as err:
            self.abort()
            raise self._lifecycle.handle_os_error(err, "compaction") from err
        if is_complete:
            self._compaction = None

    def _install(self, finished: Compaction) -> None:
        """Replace the run by the new segment.

        The new segment is synced, listed in the manifest and used by the index, and then the old files are
        removed.
        """
        compacted = finished.finish()
        self.compacted_bytes += compacted.size
        self._log.count_compacted_bytes(compacted.size)
        remaining = self._segments_with_run_replaced(finished, compacted)
        self._log.replace_segments(remaining)
        self._records.add_compacted(compacted)
        for start in range(0, len(finished.moved), MOVE_BATCH):
            self._records.move_records(finished.moved[start : start + MOVE_BATCH], compacted)
        self._records.replace_segments(finished.run, compacted, remaining)
        for segment in (*finished.run, compacted):
            if segment not in remaining:
                self._remove_files(segment)

    def _segments_with_run_replaced(self, finished: Compaction, compacted: Segment) -> list[Segment]:
        """Return all segments by age, with the run replaced by the new segment unless that is empty."""
        remaining = self._records.segments_by_age()
        start = remaining.index(finished.run[0])
        end = start + len(finished.run)
        check_invariant(Invariant.STORE_COMPACTION_RUN_CHANGED, holds=remaining[start:end] == finished.run)
        remaining[start:end] = [compacted] if finished.record_count else []
        return remaining

    def _remove_files(self, segment: Segment) -> None:
        """Remove the files of a segment; a failure is ignored."""
        for name in (segment_file_name(segment.id), hints.hint_file_name(segment.id)):
            with contextlib.suppress(OSError):  # the file is removed when the store is next opened
                self._log.files.remove(name)
