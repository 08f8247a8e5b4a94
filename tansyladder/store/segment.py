"""A segment of an open store: its file, its byte counts, and reading one of its records."""

from __future__ import annotations

from dataclasses import dataclass

from tansyladder.store import frames
from tansyladder.store.errors import StoreCorruptError
from tansyladder.store.files import File
from tansyladder.store.hints import Hint

OFFSET_MASK = (1 << frames.OFFSET_BITS) - 1
FIRST_READ_BYTES = 512  # read at first for a record of unknown size; most records fit
MAX_RECORD_BYTES = frames.RECORD_HEADER.size + frames.MAX_KEY_BYTES + frames.MAX_VALUE_BYTES
LOG_SUFFIX = ".log"


def segment_file_name(segment_id: int) -> str:
    """Return the name of a segment's file."""
    return f"{segment_id:016x}{LOG_SUFFIX}"


@dataclass(slots=True, eq=False)
class Segment:
    """One segment; sizes in bytes.

    The record table's lock guards `live_bytes`, `fixed_bytes` and the references; the commit leader owns the
    rest.
    """

    id: int
    file: File
    size: int
    live_bytes: int = 0  # of records that the index points to
    fixed_bytes: int = 0  # that no compaction can free: headers, and deletions that must be kept
    reference_count: int = 1  # of the store and each snapshot; the file is closed at 0
    pending_hint: Hint | None = None  # of a segment whose hint file is not written yet

    @property
    def dead_bytes(self) -> int:
        """Bytes that a compaction may free."""
        return self.size - self.fixed_bytes - self.live_bytes

    def grow(self, size: int) -> None:
        """Count bytes that were appended."""
        self.size += size

    def note_appended(self, written: Hint, frame_count: int) -> None:
        """Add the records that were appended in so many frames to the pending hint."""
        if self.pending_hint is None:
            self.pending_hint = Hint()
        self.pending_hint.extend(written)
        self.fixed_bytes += frame_count * frames.FRAME_HEADER_BYTES

    def drop_pending_hint(self) -> None:
        """Forget the pending hint, once its file is written or could not be."""
        self.pending_hint = None

    def add_live_bytes(self, size: int) -> None:
        """Count bytes of records that the index points to from now on."""
        self.live_bytes += size

    def remove_live_bytes(self, size: int) -> None:
        """Count bytes of a record that the index no longer points to."""
        self.live_bytes -= min(self.live_bytes, size)

    def fix_dead_bytes(self) -> None:
        """Count the bytes that are dead now as bytes that no compaction can free."""
        self.fixed_bytes = self.size - self.live_bytes

    def acquire(self) -> None:
        """Add a reference, which keeps the file open until a further `release`."""
        self.reference_count += 1

    def release(self) -> None:
        """Drop a reference; the last one closes the file."""
        self.reference_count -= 1
        if not self.reference_count:
            self.file.close()


def read_record(segment: Segment, offset: int) -> frames.Record:
    """Read the record at an offset of a segment.

    Raises:
        StoreCorruptError: its checksum is wrong.
        OSError: it can't be read.
    """
    data = segment.file.read_at(offset, FIRST_READ_BYTES)
    record = frames.decode_record(data, segment.id, offset)
    if record is None and len(data) >= frames.RECORD_HEADER.size:
        size = frames.encoded_record_bytes(data)
        if size > len(data):
            data = segment.file.read_at(offset, min(size, MAX_RECORD_BYTES))
            record = frames.decode_record(data, segment.id, offset)
    if record is None:
        raise StoreCorruptError(f"the record at byte {offset} is broken", path=segment_file_name(segment.id))
    return record
