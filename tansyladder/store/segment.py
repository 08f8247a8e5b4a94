"""A segment of an open store: its file, its figures, and the reading of one record of it."""

from __future__ import annotations

from dataclasses import dataclass

from tansyladder.store import frames
from tansyladder.store.errors import StoreCorruptError
from tansyladder.store.files import File
from tansyladder.store.hints import Hint

OFFSET_MASK = (1 << frames.OFFSET_BITS) - 1
FIRST_READ_BYTES = 512  # read for a record whose size is not known; most fit
MAX_RECORD_BYTES = frames.RECORD_HEADER.size + frames.MAX_KEY_BYTES + frames.MAX_VALUE_BYTES
LOG_SUFFIX = ".log"


def segment_file_name(segment_id: int) -> str:
    """The name of a segment's file."""
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
    fixed_bytes: int = 0  # that no compaction would free: headers, and deletions that must stay
    reference_count: int = 1  # the store, and each snapshot; the file is closed at 0
    pending_hint: Hint | None = None  # where its hint file is not written yet

    @property
    def dead_bytes(self) -> int:
        """Bytes that a compaction may free."""
        return self.size - self.fixed_bytes - self.live_bytes

    def acquire(self) -> None:
        """Keep the file open until a further `release`."""
        self.reference_count += 1

    def release(self) -> None:
        """Give up a reference; the last one closes the file."""
        self.reference_count -= 1
        if not self.reference_count:
            self.file.close()


def read_record(segment: Segment, offset: int) -> frames.Record:
    """The record at an offset of a segment.

    Raises:
        StoreCorruptError: it is not as it was written.
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
