"""Maintenance in steps: syncing buffered writes, writing hint files, and choosing and running compactions."""

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

MOVE_BATCH = 1000  # records moved in the index at a time, which bounds how long readers wait


class Maintenance:
    """Background work besides writes. Owned by the commit leader: no lock.

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
        """Do one step, which reads about so many bytes at most; return whether there is more to do.

        StoreFullError, StoreBrokenError, StoreCorruptError.
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
        """Abort a compaction that is in progress; the next start removes its file."""
        if self._compaction is not None:
            self._compaction.abort()
            self._compaction = None

    def _write_one_hint(self) -> bool:
        """Write a hint file that is due; return whether there was one."""
        for segment in self._records.segments_by_age():
            hint = segment.pending_hint
            if hint is not None and segment is not self._log.active:
                with contextlib.suppress(OSError):  # without it the next start reads the segment
                    hints.write_hint(self._log.files, hint, segment.id, segment.size)
                segment.drop_pending_hint()
                return True
        return False

    def _begin_compaction(self) -> bool:
        """Begin a compaction that is due; return whether there is one."""
        segments = self._records.segments_by_age()
        run = compaction.choose_run(segments[:-1])  # not the active one
        if not run:
            return False
        target = compaction.CompactionTarget(
            self._log.reserve_segment_id(), self._log.node_hash, self._log.hash_secret
        )
        try:
            includes_oldest = run[0] is segments[0]
            self._compaction = Compaction(self._log.files, target, run, includes_oldest=includes_oldest)
        except OSError as err:
            raise self._lifecycle.error_for(err, "compaction") from err
        return True

    def _continue_compaction(self, running: Compaction, budget_bytes: int) -> None:
        """Do one step of a compaction; the last one installs its segment."""
        try:
            is_complete = running.step(budget_bytes, self._records.find_location, self._clock.now_us())
            if is_complete:
                self._install(running)
        except StoreCorruptError:
            self.abort()
            raise
        except OSError as err:
            self.abort()
            raise self._lifecycle.error_for(err, "compaction") from err
        if is_complete:
            self._compaction = None

    def _install(self, finished: Compaction) -> None:
        """Replace the run by the new segment: sync it, name it in the manifest, use it, remove old files."""
        compacted = finished.finish()
        self.compacted_bytes += compacted.size
        self._log.count_compacted_bytes(compacted.size)
        order = self._order_with(finished, compacted)
        self._log.replace_segments(order)
        self._records.add_compacted(compacted)
        for start in range(0, len(finished.moved), MOVE_BATCH):
            self._records.move_records(finished.moved[start : start + MOVE_BATCH], compacted)
        self._records.replace_segments(finished.run, compacted, order)
        for segment in (*finished.run, compacted):
            if segment not in order:
                self._remove_files(segment)

    def _order_with(self, finished: Compaction, compacted: Segment) -> list[Segment]:
        """Return all segments by age, with the run replaced by the new segment unless that is empty."""
        order = self._records.segments_by_age()
        start = order.index(finished.run[0])
        end = start + len(finished.run)
        check_invariant(Invariant.STORE_COMPACTION_RUN_CHANGED, holds=order[start:end] == finished.run)
        order[start:end] = [compacted] if finished.record_count else []
        return order

    def _remove_files(self, segment: Segment) -> None:
        """Remove a segment's files, as far as that succeeds."""
        for name in (segment_file_name(segment.id), hints.hint_file_name(segment.id)):
            with contextlib.suppress(OSError):  # the next start removes it
                self._log.files.remove(name)
