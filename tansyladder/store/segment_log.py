"""The log of segments: appends to the active segment, creates new ones, and lists them in the manifest."""

from __future__ import annotations

from collections.abc import Sequence

from tansyladder.store import frames, manifest
from tansyladder.store.files import Files
from tansyladder.store.lifecycle import StoreLifecycle
from tansyladder.store.manifest import Manifest, SegmentEntry
from tansyladder.store.record_table import RecordTable
from tansyladder.store.segment import Segment, segment_file_name


class SegmentLog:
    """The files of the segments. Only the commit leader uses it, so it has no lock.

    The constructor begins a new segment, so that nothing is appended after bytes that a crash may have left.

    Attributes:
        files: the store's directory.
        active: the segment that writes are appended to.
        synced_bytes: bytes of the active segment that are on disk.
        written_bytes: bytes written to all segments since the store was opened, including compactions.
    """

    def __init__(
        self,
        files: Files,
        current: Manifest,
        records: RecordTable,
        lifecycle: StoreLifecycle,
        max_segment_bytes: int,
    ) -> None:
        self.files = files
        self.node_hash = frames.hash_node_name(current.node)
        self.hash_secret = current.hash_secret
        self._manifest = current
        self._records = records
        self._lifecycle = lifecycle
        self._max_segment_bytes = max_segment_bytes
        self._next_segment_id = current.next_segment_id
        self.written_bytes = 0
        self._begin_segment()

    @property
    def has_unsynced_bytes(self) -> bool:
        """Whether the active segment has bytes that may not be on disk yet."""
        return self.synced_bytes < self.active.size

    def roll_if_full(self, size: int) -> None:
        """Seal the active segment and begin a new one if `size` more bytes would exceed the maximum.

        Raises:
            StoreFullError: there is no space for a new segment; the active one is unchanged.
            StoreBrokenError: any other failure; the store no longer accepts writes.
        """
        if (
            self.active.size + size <= self._max_segment_bytes
            or self.active.size <= frames.SEGMENT_HEADER_BYTES
        ):
            return
        self.sync()  # the manifest may only list a segment as sealed once all of it is on disk
        try:
            self._begin_segment()
        except OSError as err:
            raise self._lifecycle.handle_os_error(err, "creating a segment") from err

    def append(self, data: bytes) -> None:
        """Append to the active segment.

        Raises:
            StoreFullError: there is no space; the segment is unchanged.
            StoreBrokenError: the write failed for another reason, or a partial write could not be undone.
        """
        active = self.active
        try:
            active.file.write_at(active.size, data)
        except OSError as err:
            try:
                active.file.truncate(active.size)
            except OSError as second:
                raise self._lifecycle.mark_broken(
                    f"truncation after a failed write failed: {second}"
                ) from second
            raise self._lifecycle.handle_os_error(err, "write") from err
        active.grow(len(data))
        self.written_bytes += len(data)

    def count_compacted_bytes(self, size: int) -> None:
        """Add bytes that a compaction wrote to its new segment to `written_bytes`."""
        self.written_bytes += size

    def sync(self) -> None:
        """Sync the active segment.

        A failed sync is not retried: the operating system drops pages that it failed to write, and reports
        success the next time.

        Raises:
            StoreBrokenError: the sync failed, so it is not known which bytes are on disk.
        """
        try:
            self.active.file.sync()
        except OSError as err:
            raise self._lifecycle.mark_broken(f"sync failed: {err}") from err
        self.synced_bytes = self.active.size

    def reserve_segment_id(self) -> int:
        """Reserve and return the id of a segment that a compaction will write."""
        segment_id = self._next_segment_id
        self._next_segment_id += 1
        return segment_id

    def replace_segments(self, segments: Sequence[Segment]) -> None:
        """List these segments in the manifest; return once it is on disk. Raises OSError."""
        self.files.sync_directory()
        self._write_manifest(segments, self.active, self._next_segment_id)

    def _begin_segment(self) -> None:
        """Create the next active segment.

        Its header and its name are synced before the manifest lists it. Raises OSError.
        """
        segment_id = self._next_segment_id
        file = self.files.create(segment_file_name(segment_id))
        try:
            file.write_at(0, frames.encode_segment_header(segment_id, self.node_hash))
            file.sync()
            self.files.sync_directory()
            size = frames.SEGMENT_HEADER_BYTES
            segment = Segment(segment_id, file, size, unreclaimable_bytes=size)
            segments = [*self._records.segments_by_age(), segment]
            self._write_manifest(segments, segment, segment_id + 1)
        except OSError:
            file.close()
            raise
        self._records.add_segment(segment)
        self._next_segment_id = segment_id + 1
        self.active = segment
        self.synced_bytes = size

    def _write_manifest(self, segments: Sequence[Segment], active: Segment, next_segment_id: int) -> None:
        """Replace the manifest by one that lists these segments, oldest first. Raises OSError."""
        entries = tuple(
            SegmentEntry(segment.id, manifest.ACTIVE_SIZE if segment is active else segment.size)
            for segment in segments
        )
        changed = Manifest(
            version=manifest.VERSION,
            node=self._manifest.node,
            hash_secret_hex=self._manifest.hash_secret_hex,
            next_segment_id=next_segment_id,
            segments=entries,
        )
        manifest.write_manifest(self.files, changed)
        self._manifest = changed
