"""A segment of an open store: its file, its byte counts, and the reading of a single record."""

from __future__ import annotations

from dataclasses import dataclass

from tansyladder.store import frames
from tansyladder.store.errors import StoreCorruptError
from tansyladder.store.files import File
from tansyladder.store.hints import Hint

OFFSET_MASK = (1 << frames.OFFSET_BITS) - 1
FIRST_READ_BYTES = 512  # of the first read of a record, whose size is unknown; most records are not larger
MAX_RECORD_BYTES = frames.RECORD_HEADER.size + frames.MAX_KEY_BYTES + frames.MAX_VALUE_BYTES
LOG_SUFFIX = ".log"


def segment_file_name(segment_id: int) -> str:
    """Return the name of a segment's file."""
    return f"{segment_id:016x}{LOG_SUFFIX}"


@dataclass(slots=True, eq=False)
class Segment:
    """One segment; sizes in bytes.

    The record table's lock guards `live_bytes`, `unreclaimable_bytes` and `reference_count`; the other
    attributes belong to the commit leader.
    """

    id: int
    file: File
    size: int
    live_bytes: int = 0  # of records that the index points to
    unreclaimable_bytes: int = 0  # that no compaction can free: headers, and deletions that must be kept
    reference_count: int = 1  # one for the store and one for each snapshot; the file is closed at 0
    pending_hint: Hint | None = None  # until the segment's hint file is written

    @property
    def dead_bytes(self) -> int:
        """Bytes that a compaction may free."""
        return self.size - self.unreclaimable_bytes - self.live_bytes

    def grow(self, size: int) -> None:
        """Add appended bytes to the size."""
        self.size += size

    def add_appended_records(self, written: Hint, frame_count: int) -> None:
        """Add the records that were appended in `frame_count` frames to the pending hint."""
        if self.pending_hint is None:
            self.pending_hint = Hint()
        self.pending_hint.extend(written)
        self.unreclaimable_bytes += frame_count * frames.FRAME_HEADER_BYTES

    def drop_pending_hint(self) -> None:
        """Discard the pending hint after its file was written, or could not be written."""
        self.pending_hint = None

    def add_live_bytes(self, size: int) -> None:
        """Add bytes of records that the index now points to."""
        self.live_bytes += size

    def remove_live_bytes(self, size: int) -> None:
        """Subtract bytes of a record that the index no longer points to."""
        self.live_bytes -= min(self.live_bytes, size)

    def mark_dead_bytes_unreclaimable(self) -> None:
        """Treat all bytes that are dead now as bytes that no compaction can free."""
        self.unreclaimable_bytes = self.size - self.live_bytes

    def acquire(self) -> None:
        """Add a reference, which keeps the file open until the matching `release`."""
        self.reference_count += 1

    def release(self) -> None:
        """Drop a reference; the last one closes the file."""
        self.reference_count -= 1
        if not self.reference_count:
            self.file.close()


def read_record(segment: Segment, offset: int) -> frames.Record:
    """Read the record at an offset of a segment.

    Raises:
        StoreCorruptError: the record is incomplete or its checksum is wrong.
        OSError: the file can't be read.
    """
    data = segment.file.read_at(offset, FIRST_READ_BYTES)
    record = frames.decode_record(data, segment.id, offset)
    if record is None and len(data) >= frames.RECORD_HEADER.size:
        size = frames.encoded_record_bytes(data)
        if size > len(data):
            data = segment.file.read_at(offset, min(size, MAX_RECORD_BYTES))
            record = frames.decode_record(data, segment.id, offset)
    if record is None:
        raise StoreCorruptError(f"the record at byte {offset} is corrupt", path=segment_file_name(segment.id))
    return record
