"""Compaction: copies the live records of a run of adjacent segments into a new segment, in small steps.

The record of a deletion must be kept as long as a segment older than the run may contain an older value of
the key. If the run includes the oldest segment, there is none, and the record is dropped. A value that has
expired is treated as a deletion.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from tansyladder.store import frames, hints
from tansyladder.store.errors import StoreCorruptError
from tansyladder.store.files import Files
from tansyladder.store.hints import Hint, hash_key
from tansyladder.store.record_table import MovedRecord
from tansyladder.store.segment import Segment, segment_file_name

MIN_DEAD_SHARE = 0.5  # of a run's bytes, so that a compaction writes less than one byte per byte it frees
SMALL_SEGMENT_BYTES = 1 << 20  # smaller ones are merged with adjacent ones; every start leaves one
SMALL_RUN_LENGTH = 8  # number of small segments that are merged at a time
FRAME_BODY_BYTES = 256 << 10  # maximum in a frame of the new segment, unless one record is larger
READ_BYTES = 1 << 20  # read from a segment at a time
NO_LOCATION = 0  # of a key that the index does not contain
MAX_FRAME_BYTES = frames.FRAME_HEADER_BYTES + frames.MAX_FRAME_BODY_BYTES

FindLocation = Callable[[int], int]  # key hash -> location of its newest record, or NO_LOCATION


class CompactionTarget(NamedTuple):
    """What a compaction needs to know to write its new segment."""

    segment_id: int
    node_hash: int
    hash_secret: int


def choose_run(sealed: Sequence[Segment]) -> list[Segment]:
    """Choose the run to compact, or return an empty list if no compaction is due.

    Of the runs whose share of dead bytes exceeds MIN_DEAD_SHARE, this is the one with the most dead bytes. If
    there is none, it is a run of small segments.

    Args:
        sealed: the sealed segments, oldest first.
    """
    best: list[Segment] = []
    most_dead_bytes = 0
    for start in range(len(sealed)):
        size = 0
        dead_bytes = 0
        for end in range(start, len(sealed)):
            size += sealed[end].size
            dead_bytes += sealed[end].dead_bytes
            if dead_bytes > most_dead_bytes and dead_bytes > MIN_DEAD_SHARE * size:
                best = list(sealed[start : end + 1])
                most_dead_bytes = dead_bytes
    return best or _choose_small_segments(sealed)


def _choose_small_segments(sealed: Sequence[Segment]) -> list[Segment]:
    """Return the oldest run of SMALL_RUN_LENGTH small segments, or an empty list if there is none."""
    for start in range(len(sealed) - SMALL_RUN_LENGTH + 1):
        run = list(sealed[start : start + SMALL_RUN_LENGTH])
        if all(segment.size < SMALL_SEGMENT_BYTES for segment in run):
            return run
    return []


class FrameReader:
    """Reads the frames of one segment in order. Not thread-safe."""

    def __init__(self, segment: Segment) -> None:
        self._segment = segment
        self._position = frames.SEGMENT_HEADER_BYTES  # of the next frame
        self._buffer = b""
        self._buffer_offset = 0

    def next_frame(self) -> frames.Frame | None:
        """Return the next frame; None at the end of the segment. Raises StoreCorruptError or OSError."""
        if self._position >= self._segment.size:
            return None
        frame = self._decode()
        for read_bytes in (READ_BYTES, MAX_FRAME_BYTES):  # a frame may be larger than READ_BYTES
            if frame is None:
                self._buffer = self._segment.file.read_at(self._position, read_bytes)
                self._buffer_offset = self._position
                frame = self._decode()
        if frame is None:
            path = segment_file_name(self._segment.id)
            raise StoreCorruptError(f"no valid frame at byte {self._position}", path=path)
        self._position = frame.end
        return frame

    def _decode(self) -> frames.Frame | None:
        """Decode the frame at the current position; None if the buffer does not contain all of it."""
        start = self._position - self._buffer_offset
        return frames.decode_frame(self._buffer, self._segment.id, self._position, start)


class SegmentWriter:
    """Writes the new segment of a compaction frame by frame. Not thread-safe."""

    def __init__(self, files: Files, target: CompactionTarget) -> None:
        """Create the file and write its header. Raises OSError."""
        self._files = files
        self._segment_id = target.segment_id
        self._hash_secret = target.hash_secret
        self._file = files.create(segment_file_name(target.segment_id))
        self._file.write_at(0, frames.encode_segment_header(target.segment_id, target.node_hash))
        self._size = frames.SEGMENT_HEADER_BYTES
        self._hint = Hint()
        self._body = bytearray()
        self._body_record_count = 0

    @property
    def record_count(self) -> int:
        """The number of records added so far."""
        return len(self._hint)

    def update_latest_time(self, latest_time_us: int) -> None:
        """Raise the latest time that the following frames store to this time, if it is later."""
        self._hint.latest_time_us = max(self._hint.latest_time_us, latest_time_us)

    def add(self, record: frames.Record, key_hash: int) -> int:
        """Add a record of an old segment, and return its location in the new one. Raises OSError."""
        if (
            len(self._body) + record.size > FRAME_BODY_BYTES
            or self._body_record_count == frames.MAX_RECORDS_PER_FRAME
        ):
            self._flush()
        offset = self._size + frames.FRAME_HEADER_BYTES + len(self._body)
        copied = frames.Record(
            offset, record.kind, record.sequence, record.expiry_us, record.key, record.value
        )
        self._body += frames.encode_record(copied, self._segment_id)
        self._body_record_count += 1
        self._hint.add(copied, key_hash)
        return self._segment_id << frames.OFFSET_BITS | offset

    def _flush(self) -> None:
        """Write the buffered records as one frame, if there are any. Raises OSError."""
        if not self._body_record_count:
            return
        frame = frames.encode_frame(
            bytes(self._body),
            self._body_record_count,
            0,
            self._hint.latest_time_us,
            self._segment_id,
            self._size,
        )
        self._file.write_at(self._size, frame)
        self._size += len(frame)
        self._body = bytearray()
        self._body_record_count = 0

    def finish(self) -> Segment:
        """Sync the file and return the segment. Raises OSError.

        The directory entry is not synced: it is not needed on disk until the manifest lists the segment.
        """
        self._flush()
        self._file.sync()
        hints.write_hint(self._files, self._hint, self._segment_id, self._size)
        return Segment(self._segment_id, self._file, self._size)

    def abort(self) -> None:
        """Close the file, which is removed when the store is next opened."""
        self._file.close()


class Compaction:
    """The compaction of one run into a new segment. Only the commit leader uses it, so it has no lock.

    Attributes:
        run: the segments that are compacted.
        moved: the records whose index entries must be changed to the new location, or removed.
    """

    def __init__(
        self, files: Files, target: CompactionTarget, run: list[Segment], *, includes_oldest: bool
    ) -> None:
        """Create the new segment.

        Args:
            files: the store's directory.
            target: the new segment.
            run: the segments to compact, oldest first.
            includes_oldest: whether the run begins with the oldest segment of the store.

        Raises:
            OSError: the new segment can't be created.
        """
        self.run = run
        self.moved: list[MovedRecord] = []
        self._includes_oldest = includes_oldest
        self._hash_secret = target.hash_secret
        self._writer = SegmentWriter(files, target)
        self._unread_segments = list(run)
        self._reader = FrameReader(self._unread_segments[0])

    @property
    def record_count(self) -> int:
        """The number of records in the new segment."""
        return self._writer.record_count

    def step(self, budget_bytes: int, find_location: FindLocation, now_us: int) -> bool:
        """Read about `budget_bytes` of the run and copy its live records; return True once all is read.

        Raises:
            StoreCorruptError: a frame of the run is invalid.
            OSError: the run can't be read, or the new segment can't be written.
        """
        self._update_time_from_run()
        remaining_bytes = budget_bytes
        while remaining_bytes > 0:
            if not self._unread_segments:
                return True
            segment = self._unread_segments[0]
            frame = self._reader.next_frame()
            if frame is None:
                self._next_segment()
                continue
            self._writer.update_latest_time(frame.latest_time_us)
            for record in frame.records:
                self._copy(segment, record, find_location, now_us)
            remaining_bytes -= frame.end - frame.offset
        return False

    def _update_time_from_run(self) -> None:
        """Raise the latest time to that of each segment of the run whose hint file is not written yet."""
        for segment in self.run:
            if segment.pending_hint is not None:
                self._writer.update_latest_time(segment.pending_hint.latest_time_us)

    def _next_segment(self) -> None:
        """Continue with the next segment of the run, if there is one."""
        del self._unread_segments[0]
        if self._unread_segments:
            self._reader = FrameReader(self._unread_segments[0])

    def _copy(
        self, segment: Segment, record: frames.Record, find_location: FindLocation, now_us: int
    ) -> None:
        """Copy a record if it must be kept, and add the necessary change of the index to `moved`."""
        key_hash = hash_key(record.key, self._hash_secret)
        location = segment.id << frames.OFFSET_BITS | record.offset
        if record.kind == frames.DELETE:
            self._copy_deletion(record, key_hash)
            return
        newest_location = find_location(key_hash)
        if newest_location not in (location, NO_LOCATION):
            return  # a newer record of the key replaces it
        if record.expiry_us and record.expiry_us <= now_us:
            # The index does not contain values that had expired when the store was opened, but an older
            # segment may contain an older value of the key, which the deletion must hide.
            self.moved.append(MovedRecord(key_hash, location, NO_LOCATION, 0))
            deletion = frames.Record(record.offset, frames.DELETE, record.sequence, 0, record.key, value=b"")
            self._copy_deletion(deletion, key_hash)
        elif newest_location == location:
            new_location = self._writer.add(record, key_hash)
            self.moved.append(MovedRecord(key_hash, location, new_location, record.size))

    def _copy_deletion(self, record: frames.Record, key_hash: int) -> None:
        """Copy a deletion, unless the run includes the oldest segment, so that no older value can exist."""
        if not self._includes_oldest:
            self._writer.add(record, key_hash)

    def finish(self) -> Segment:
        """Sync and return the new segment, but not its directory entry. Raises OSError."""
        return self._writer.finish()

    def abort(self) -> None:
        """Close the new segment, whose file is removed when the store is next opened."""
        self._writer.abort()
