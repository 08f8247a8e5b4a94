"""Compaction: copies the live records of a run of adjacent segments into a new one, a few at a time.

The record of a deletion must be kept as long as an older segment may hold an older value of its key. If the
run begins with the oldest segment there is no such segment, and the record is dropped. A value that has
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

MIN_DEAD_SHARE = 0.5  # of a run: a compaction writes less than one byte for each byte that it frees
SMALL_SEGMENT_BYTES = 1 << 20  # smaller ones are merged with adjacent ones, as each start leaves one
SMALL_RUN_LENGTH = 8  # small segments that are merged at a time
FRAME_BODY_BYTES = 256 << 10  # of a frame that compaction writes
READ_BYTES = 1 << 20  # read at a time
NO_LOCATION = 0
MAX_FRAME_BYTES = frames.FRAME_HEADER_BYTES + frames.MAX_FRAME_BODY_BYTES

FindLocation = Callable[[int], int]  # by a key's hash: where its newest record is; 0: nowhere


class CompactionTarget(NamedTuple):
    """The segment that a compaction writes."""

    segment_id: int
    node_hash: int
    hash_secret: int


def choose_run(sealed: Sequence[Segment]) -> list[Segment]:
    """Choose the run with enough dead bytes that frees most, else a run of small segments; empty: none.

    `sealed`: the complete segments, oldest first.
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
    return best or _choose_small_run(sealed)


def _choose_small_run(sealed: Sequence[Segment]) -> list[Segment]:
    """Choose the oldest SMALL_RUN_LENGTH adjacent segments that are all small; empty: there are none."""
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
        """Read the next frame; None at the segment's end. StoreCorruptError, OSError."""
        if self._position >= self._segment.size:
            return None
        frame = self._decode()
        for read_bytes in (READ_BYTES, MAX_FRAME_BYTES):
            if frame is None:
                self._buffer = self._segment.file.read_at(self._position, read_bytes)
                self._buffer_offset = self._position
                frame = self._decode()
        if frame is None:
            path = segment_file_name(self._segment.id)
            raise StoreCorruptError(f"broken at byte {self._position}", path=path)
        self._position = frame.end
        return frame

    def _decode(self) -> frames.Frame | None:
        """Decode the frame at the position; None where the buffer doesn't hold all of it."""
        start = self._position - self._buffer_offset
        return frames.decode_frame(self._buffer, self._segment.id, self._position, start)


class SegmentWriter:
    """Writes the new segment frame by frame. Not thread-safe."""

    def __init__(self, files: Files, target: CompactionTarget) -> None:
        """OSError: the file can't be made."""
        self._files = files
        self._segment_id = target.segment_id
        self._hash_secret = target.hash_secret
        self._file = files.create(segment_file_name(target.segment_id))
        self._file.write_at(0, frames.encode_segment_header(target.segment_id, target.node_hash))
        self._size = frames.SEGMENT_HEADER_BYTES
        self._hint = Hint()
        self._body = bytearray()
        self._body_records = 0

    @property
    def record_count(self) -> int:
        """Records added so far."""
        return len(self._hint)

    def note_time(self, latest_time_us: int) -> None:
        """Record in the following frames that the store has seen this time."""
        self._hint.latest_time_us = max(self._hint.latest_time_us, latest_time_us)

    def add(self, record: frames.Record, key_hash: int) -> int:
        """Add a record of an old segment, and return its location in the new one. OSError."""
        if (
            len(self._body) + record.size > FRAME_BODY_BYTES
            or self._body_records == frames.MAX_RECORDS_PER_FRAME
        ):
            self._flush()
        offset = self._size + frames.FRAME_HEADER_BYTES + len(self._body)
        copied = frames.Record(
            offset, record.kind, record.sequence, record.expiry_us, record.key, record.value
        )
        self._body += frames.encode_record(copied, self._segment_id)
        self._body_records += 1
        self._hint.add(copied, key_hash)
        return self._segment_id << frames.OFFSET_BITS | offset

    def _flush(self) -> None:
        """Write the buffered records as one frame, if there are any. OSError."""
        if not self._body_records:
            return
        frame = frames.encode_frame(
            bytes(self._body), self._body_records, 0, self._hint.latest_time_us, self._segment_id, self._size
        )
        self._file.write_at(self._size, frame)
        self._size += len(frame)
        self._body = bytearray()
        self._body_records = 0

    def finish(self) -> Segment:
        """Sync and return the segment. Its directory entry is not synced, and not needed yet. OSError."""
        self._flush()
        self._file.sync()
        hints.write_hint(self._files, self._hint, self._segment_id, self._size)
        return Segment(self._segment_id, self._file, self._size)

    def abort(self) -> None:
        """Close the file; the next start removes it."""
        self._file.close()


class Compaction:
    """The compaction of one run into a new segment. Owned by the commit leader: no lock.

    Attributes:
        run: the segments that are compacted.
        moved: the records whose entries in the index have to be changed or removed.
    """

    def __init__(
        self, files: Files, target: CompactionTarget, run: list[Segment], *, includes_oldest: bool
    ) -> None:
        """`includes_oldest`: whether no segment is older than the run. OSError: no file can be created."""
        self.run = run
        self.moved: list[MovedRecord] = []
        self._includes_oldest = includes_oldest
        self._hash_secret = target.hash_secret
        self._writer = SegmentWriter(files, target)
        self._unread = list(run)
        self._reader = FrameReader(self._unread[0])

    @property
    def record_count(self) -> int:
        """Records in the new segment."""
        return self._writer.record_count

    def step(self, budget_bytes: int, find_location: FindLocation, now_us: int) -> bool:
        """Read about so many bytes of the run and copy what is live; return True once all is read.

        StoreCorruptError, OSError.
        """
        self._note_times_of_run()
        remaining_bytes = budget_bytes
        while remaining_bytes > 0:
            if not self._unread:
                return True
            segment = self._unread[0]
            frame = self._reader.next_frame()
            if frame is None:
                self._next_segment()
                continue
            self._writer.note_time(frame.latest_time_us)
            for record in frame.records:
                self._copy(segment, record, find_location, now_us)
            remaining_bytes -= frame.end - frame.offset
        return False

    def _note_times_of_run(self) -> None:
        """Note the latest times that are known of segments without a hint file."""
        for segment in self.run:
            if segment.pending_hint is not None:
                self._writer.note_time(segment.pending_hint.latest_time_us)

    def _next_segment(self) -> None:
        """Continue with the next segment of the run, if there is one."""
        del self._unread[0]
        if self._unread:
            self._reader = FrameReader(self._unread[0])

    def _copy(
        self, segment: Segment, record: frames.Record, find_location: FindLocation, now_us: int
    ) -> None:
        """Copy a record if it must be kept, and note the change of the index."""
        key_hash = hash_key(record.key, self._hash_secret)
        location = segment.id << frames.OFFSET_BITS | record.offset
        if record.kind == frames.DELETE:
            self._copy_deletion(record, key_hash)
            return
        newest_location = find_location(key_hash)
        if newest_location not in (location, NO_LOCATION):
            return  # a newer record replaces it
        if record.expiry_us and record.expiry_us <= now_us:
            # The index has no entry for what had expired at the start, but an older segment may have an older
            # value of its key.
            self.moved.append(MovedRecord(key_hash, location, NO_LOCATION, 0))
            deletion = frames.Record(record.offset, frames.DELETE, record.sequence, 0, record.key, value=b"")
            self._copy_deletion(deletion, key_hash)
        elif newest_location == location:
            new_location = self._writer.add(record, key_hash)
            self.moved.append(MovedRecord(key_hash, location, new_location, record.size))

    def _copy_deletion(self, record: frames.Record, key_hash: int) -> None:
        """Copy a deletion, unless no older segment can have a value of its key."""
        if not self._includes_oldest:
            self._writer.add(record, key_hash)

    def finish(self) -> Segment:
        """Sync and return the new segment; its directory entry is not synced. OSError."""
        return self._writer.finish()

    def abort(self) -> None:
        """Close the new segment; the next start removes its file."""
        self._writer.abort()
