"""The record table: the index of each key's newest record, and the segments that contain these records."""

from __future__ import annotations

import contextlib
import threading
from collections.abc import Sequence
from typing import NamedTuple

from tansyladder.store import frames
from tansyladder.store.errors import KeyCollisionError
from tansyladder.store.hints import Hint, hash_key
from tansyladder.store.index import Index
from tansyladder.store.segment import OFFSET_MASK, Segment, read_record
from tansyladder.store.snapshot import Snapshot

KEY_EXCERPT_BYTES = 40  # maximum of a key that an error message shows


class MovedRecord(NamedTuple):
    """A record that a compaction copied, or dropped because it has expired."""

    key_hash: int
    old_location: int
    new_location: int  # 0 if it has expired
    size: int  # in bytes


class SegmentStats(NamedTuple):
    """Statistics of one segment, in bytes."""

    size: int
    dead_bytes: int


class StoreStats(NamedTuple):
    """Statistics of the whole store."""

    keys: int  # including expired ones that are not compacted yet
    segments: int
    total_bytes: int  # of all segments
    live_bytes: int  # of records that the index points to
    index_bytes: int  # of memory
    sequence: int  # sequence number of the newest record


class RecordTable:
    """The index and the segments of an open store, which are ordered by age.

    Thread-safe: `_lock` guards the index, the dictionary and the order of the segments, and their live
    bytes, unreclaimable bytes and references. Records are read with the lock held, so that their files stay
    open; no file is written with it held. Only the commit leader calls the methods that change the table.
    """

    def __init__(self, index: Index, segments: Sequence[Segment], hash_secret: int) -> None:
        self._lock = threading.Lock()
        self._index = index
        self._hash_secret = hash_secret
        self._segments = {segment.id: segment for segment in segments}
        self._ids_by_age = [segment.id for segment in segments]

    def __len__(self) -> int:
        return len(self._index)

    def segments_by_age(self) -> list[Segment]:
        """Return the segments, oldest first, the active one last."""
        with self._lock:
            return [self._segments[segment_id] for segment_id in self._ids_by_age]

    def read(self, key: bytes) -> frames.Record | None:
        """Read the newest record of a key; None if there is none. Raises StoreCorruptError or OSError."""
        with self._lock:
            location = self._index.get(hash_key(key, self._hash_secret))
            if not location:
                return None
            record = read_record(self._segments[location >> frames.OFFSET_BITS], location & OFFSET_MASK)
        return record if record.key == key else None

    def snapshot(self) -> Snapshot:
        """Return a snapshot of the current content, which later writes and compactions do not change."""
        with self._lock:
            locations = [location for _, location in self._index.items()]
            segments = dict(self._segments)
            for segment in segments.values():
                segment.acquire()
        return Snapshot(segments, locations, self._release)

    def _release(self, segments: Sequence[Segment]) -> None:
        """Release the segments of a snapshot."""
        with self._lock:
            for segment in segments:
                segment.release()

    def find_location(self, key_hash: int) -> int:
        """Return the location of a key's newest record.

        Returns 0 if there is none, or it is a deletion, or it had expired when the store was opened.
        """
        with self._lock:
            return self._index.get(key_hash)

    def check_collision(self, key_hash: int, key: bytes) -> None:
        """Raise KeyCollisionError if another stored key has this hash, OSError if that key can't be read."""
        with self._lock:
            location = self._index.get(key_hash)
            if not location:
                return
            file = self._segments[location >> frames.OFFSET_BITS].file
            data = file.read_at(location & OFFSET_MASK, frames.RECORD_HEADER.size + len(key))
        if len(data) < frames.RECORD_HEADER.size:
            return
        if frames.encoded_key_bytes(data) != len(key) or not data.endswith(key):
            raise KeyCollisionError(
                f"{key[:KEY_EXCERPT_BYTES]!r} has the same hash as another stored key", key=key
            )

    def add_segment(self, segment: Segment) -> None:
        """Add a segment that is newer than all others."""
        with self._lock:
            self._segments = {**self._segments, segment.id: segment}
            self._ids_by_age = [*self._ids_by_age, segment.id]

    def apply(self, segment: Segment, written: Hint, frame_count: int) -> None:
        """Make records that were appended to a segment in `frame_count` frames visible to readers."""
        segment_bits = segment.id << frames.OFFSET_BITS
        columns = zip(written.hashes, written.kinds, written.offsets, written.sizes, strict=True)
        with self._lock:
            segment.add_appended_records(written, frame_count)
            for key_hash, kind, offset, size in columns:
                self._count_dead(key_hash)
                if kind == frames.PUT:
                    self._index.put(key_hash, segment_bits | offset)
                    segment.add_live_bytes(size)
                else:
                    self._index.remove(key_hash)

    def _count_dead(self, key_hash: int) -> None:
        """Count the indexed record of a hash, if there is one, as dead. Called with the lock held."""
        location = self._index.get(key_hash)
        if not location:
            return
        segment = self._segments[location >> frames.OFFSET_BITS]
        with contextlib.suppress(OSError):  # the count is only used to choose what to compact
            header = segment.file.read_at(location & OFFSET_MASK, frames.RECORD_HEADER.size)
            if len(header) == frames.RECORD_HEADER.size:
                segment.remove_live_bytes(frames.encoded_record_bytes(header))

    def add_compacted(self, segment: Segment) -> None:
        """Add a segment that a compaction wrote; `replace_segments` adds it to the order by age."""
        with self._lock:
            self._segments[segment.id] = segment

    def move_records(self, moved: Sequence[MovedRecord], target: Segment) -> None:
        """Point the index to the copied records in the target; skip records overwritten in the meantime."""
        with self._lock:
            for record in moved:
                if self._index.get(record.key_hash) != record.old_location:
                    continue
                if record.new_location:
                    self._index.put(record.key_hash, record.new_location)
                    target.add_live_bytes(record.size)
                else:
                    self._index.remove(record.key_hash)

    def replace_segments(self, old: Sequence[Segment], compacted: Segment, remaining: list[Segment]) -> None:
        """Drop the compacted segments, and the new one as well if it is not among the remaining ones.

        Args:
            old: the segments that were compacted.
            compacted: the new segment.
            remaining: all segments that the store has now, oldest first.
        """
        with self._lock:
            # Dead bytes of the new segment are mostly headers and deletions that must be kept. If they were
            # counted as reclaimable, the segment would be compacted again and again.
            compacted.mark_dead_bytes_unreclaimable()
            self._ids_by_age = [segment.id for segment in remaining]
            for segment in (*old, compacted):
                if segment not in remaining:
                    del self._segments[segment.id]
                    segment.release()

    def close(self) -> None:
        """Release all segments; files that a snapshot uses stay open until it is closed."""
        with self._lock:
            for segment in self._segments.values():
                segment.release()

    def stats(self, sequence: int) -> StoreStats:
        """Return statistics for logs and tools; `sequence` is the sequence number of the newest record."""
        with self._lock:
            segments = [self._segments[segment_id] for segment_id in self._ids_by_age]
            return StoreStats(
                keys=len(self._index),
                segments=len(segments),
                total_bytes=sum(segment.size for segment in segments),
                live_bytes=sum(segment.live_bytes for segment in segments),
                index_bytes=self._index.size_bytes,
                sequence=sequence,
            )

    def stats_by_segment(self) -> dict[int, SegmentStats]:
        """Return statistics of each segment by its id, oldest first."""
        segments = self.segments_by_age()
        return {segment.id: SegmentStats(segment.size, segment.dead_bytes) for segment in segments}
