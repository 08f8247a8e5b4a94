"""Recovery: rebuilds the index from the files, and drops an incomplete tail that a crash has left.

Only the active segment may have such a tail: bytes after its last sync belong to writes that were never
acknowledged as synced. Synced bytes are never dropped; if they are damaged, StoreCorruptError is raised.
"""

from __future__ import annotations

import contextlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple

from tansyladder.store import frames, hints, manifest
from tansyladder.store.errors import NotAStoreError, StoreCorruptError
from tansyladder.store.files import File, Files
from tansyladder.store.hints import Hint
from tansyladder.store.index import Index
from tansyladder.store.manifest import Manifest, SegmentEntry
from tansyladder.store.segment import Segment, segment_file_name

if TYPE_CHECKING:
    import numpy as np

SEGMENT_ID_DIGITS = 16  # hexadecimal digits of the segment id in the names of a segment's files


@dataclass(frozen=True, slots=True)
class RecoveredIndex:
    """The index of a store as it is opened."""

    index: Index
    last_sequence: int  # the highest sequence number of any record
    latest_time_us: int  # the latest Unix time that the store has read from its clock


@dataclass(frozen=True, slots=True)
class RecoveryResult:
    """The content of a store as it is opened; sizes in bytes."""

    manifest: Manifest
    segments: tuple[Segment, ...]  # oldest first, without segments that have no frame
    recovered_index: RecoveredIndex
    dropped_bytes: int  # of an incomplete tail
    rebuilt_hint_count: int  # number of sealed segments whose hint was missing or invalid


class LoadedSegment(NamedTuple):
    """A segment with its hint; sizes in bytes."""

    segment: Segment
    hint: Hint
    dropped_bytes: int = 0  # of an incomplete tail
    is_hint_rebuilt: bool = False  # whether the hint of a sealed segment was missing or invalid


class ScannedSegment(NamedTuple):
    """The size of a segment up to its last valid frame, and a hint built from its records."""

    size: int
    hint: Hint


def recover(files: Files, node: str, now_us: int) -> RecoveryResult:
    """Read the whole store but for an incomplete tail; change nothing on disk.

    Raises:
        StoreCorruptError, StoreVersionError: this program can't open the store.
        NotAStoreError: the store belongs to another node.
        OSError: a file can't be read.
    """
    current = manifest.read_manifest(files)
    if current.node != node:
        raise NotAStoreError(f"the store belongs to node {current.node!r}, not to {node!r}")
    loaded: list[LoadedSegment] = []
    with contextlib.ExitStack() as cleanup:
        for entry in current.segments:
            loaded_segment = _load_segment(files, entry, current)
            cleanup.callback(loaded_segment.segment.release)
            loaded.append(loaded_segment)
        recovered_index = _build_index(loaded, now_us)
        cleanup.pop_all()
    return RecoveryResult(
        current,
        _release_empty(loaded),
        recovered_index,
        dropped_bytes=sum(loaded_segment.dropped_bytes for loaded_segment in loaded),
        rebuilt_hint_count=sum(loaded_segment.is_hint_rebuilt for loaded_segment in loaded),
    )


def _release_empty(loaded: list[LoadedSegment]) -> tuple[Segment, ...]:
    """Release segments without a frame, and return the others. Each start without a write leaves one."""
    used = []
    for loaded_segment in loaded:
        if loaded_segment.segment.size > frames.SEGMENT_HEADER_BYTES:
            used.append(loaded_segment.segment)
        else:
            loaded_segment.segment.release()
    return tuple(used)


def _load_segment(files: Files, entry: SegmentEntry, current: Manifest) -> LoadedSegment:
    """Open, verify and read one segment; no file stays open after an error."""
    path = segment_file_name(entry.id)
    try:
        file = files.open(path)
    except FileNotFoundError as err:
        raise StoreCorruptError("missing, but the manifest lists it", path=path) from err
    try:
        _check_header(file, entry, current.node)
        return _read_segment(files, file, entry, current.hash_secret)
    except BaseException:
        file.close()
        raise


def _check_header(file: File, entry: SegmentEntry, node: str) -> None:
    """Check the header and the size of a segment.

    Raises:
        StoreCorruptError: the header is invalid, or a sealed segment is shorter than the manifest lists.
        NotAStoreError: the segment belongs to another node.
        OSError: the file can't be read.
    """
    path = segment_file_name(entry.id)
    header = frames.decode_segment_header(file.read_at(0, frames.SEGMENT_HEADER_BYTES), entry.id)
    if header is None:
        raise StoreCorruptError("invalid segment header", path=path)
    if header.node_hash != frames.hash_node_name(node):
        raise NotAStoreError(f"the segment does not belong to node {node!r}", path=path)
    if entry.is_sealed and file.size() < entry.size:
        raise StoreCorruptError(
            f"the file has {file.size()} bytes, expected at least {entry.size}", path=path
        )


def _read_segment(files: Files, file: File, entry: SegmentEntry, hash_secret: int) -> LoadedSegment:
    """Read the hint of a sealed segment, or scan the segment if it is active or has no valid hint."""
    if entry.is_sealed:
        hint = hints.read_hint(files, entry.id, entry.size)
        if hint is not None:
            unreclaimable_bytes = entry.size - sum(hint.sizes)
            return LoadedSegment(
                Segment(entry.id, file, entry.size, unreclaimable_bytes=unreclaimable_bytes), hint
            )
    size, hint = _scan_segment(file, entry, hash_secret)
    segment = Segment(entry.id, file, size, unreclaimable_bytes=size - sum(hint.sizes), pending_hint=hint)
    if entry.is_sealed:
        return LoadedSegment(segment, hint, is_hint_rebuilt=True)
    # The next manifest seals the segment at this size.
    return LoadedSegment(segment, hint, dropped_bytes=file.size() - size)


def _scan_segment(file: File, entry: SegmentEntry, hash_secret: int) -> ScannedSegment:
    """Read all frames of a segment up to an incomplete tail.

    Raises:
        StoreCorruptError: synced bytes are damaged.
        OSError: the file can't be read.
    """
    path = segment_file_name(entry.id)
    scan = frames.SegmentScan(file.read_at(0, entry.size if entry.is_sealed else file.size()), entry.id)
    valid_frames = list(scan.frames())
    damage = scan.first_damage(is_sealed=entry.is_sealed)
    if damage is not None:
        message = f"bytes {damage.start} to {damage.end} are corrupt, but a valid frame follows"
        raise StoreCorruptError(message, path=path)
    if entry.is_sealed and scan.valid_end != entry.size:
        raise StoreCorruptError(f"corrupt from byte {scan.valid_end} of {entry.size} to the end", path=path)
    # Frames after an unsynced corrupt range are dropped too: they were never acknowledged as synced, and they
    # are later than the lost ones.
    recovered = [frame for frame in valid_frames if frame.end <= scan.valid_end]
    hint = hints.build_hint((record for frame in recovered for record in frame.records), hash_secret)
    hint.update_latest_time(max((frame.latest_time_us for frame in recovered), default=0))
    return ScannedSegment(scan.valid_end, hint)


def _build_index(all_loaded: list[LoadedSegment], now_us: int) -> RecoveredIndex:
    """Index the record with the highest sequence number of each key, unless it is a deletion or has expired.

    This also adds the live bytes to the segments.
    """
    loaded = [loaded_segment for loaded_segment in all_loaded if len(loaded_segment.hint)]
    if not loaded:
        return RecoveredIndex(Index(), last_sequence=0, latest_time_us=0)
    # Imported here, as an empty store never needs numpy.
    import numpy as np  # noqa: PLC0415

    def column(attribute: str, number_type: type) -> np.ndarray[Any, Any]:
        columns = [getattr(loaded_segment.hint, attribute) for loaded_segment in loaded]
        return np.concatenate([np.frombuffer(values, number_type) for values in columns])

    latest_time_us = max(loaded_segment.hint.latest_time_us for loaded_segment in loaded)
    sequences = column("sequences", np.uint64)
    last_sequence = int(sequences.max())
    hashes = column("hashes", np.uint64)
    newest = _newest_record_positions(hashes, sequences)
    del sequences  # a column has an entry for every record of the store, so it is freed as soon as possible
    hashes = hashes[newest]
    expiries = column("expiries", np.uint64)[newest]
    is_put = column("kinds", np.uint8)[newest] == frames.PUT
    is_live = is_put & ((expiries == 0) | (expiries > max(now_us, latest_time_us)))
    newest = newest[is_live]
    record_counts = [len(loaded_segment.hint) for loaded_segment in loaded]
    segment_indices = np.repeat(np.arange(len(loaded)), record_counts)[newest]
    segment_ids = np.array([loaded_segment.segment.id for loaded_segment in loaded], np.uint64)
    segment_bits = segment_ids[segment_indices] << np.uint64(frames.OFFSET_BITS)
    locations = segment_bits | column("offsets", np.uint32)[newest]
    live_bytes = np.bincount(segment_indices, column("sizes", np.uint32)[newest], len(loaded))
    for loaded_segment, segment_live_bytes in zip(loaded, live_bytes, strict=True):
        loaded_segment.segment.add_live_bytes(int(segment_live_bytes))
    return RecoveredIndex(Index.build(hashes[is_live], locations), last_sequence, latest_time_us)


def _newest_record_positions(
    hashes: np.ndarray[Any, Any], sequences: np.ndarray[Any, Any]
) -> np.ndarray[Any, Any]:
    """Return the position of the record with the highest sequence number for each hash."""
    # Imported here, as an empty store never needs numpy.
    import numpy as np  # noqa: PLC0415

    order = np.lexsort((sequences, hashes))
    ordered = hashes[order]
    is_last_of_hash = np.append(ordered[1:] != ordered[:-1], True)
    newest: np.ndarray[Any, Any] = order[is_last_of_hash]
    return newest


def remove_unused_files(files: Files, used_ids: set[int]) -> None:
    """Remove temporary files, and the files of segments that are not in use. Raises OSError.

    They are left by a compaction, or by the creation of a segment, that a crash interrupted.
    """
    for name in files.list_names():
        stem, _, suffix = name.partition(".")
        is_segment_file = suffix in ("log", "hint")
        is_used = len(stem) == SEGMENT_ID_DIGITS and _parse_hex(stem) in used_ids
        if (is_segment_file and not is_used) or name.endswith(".new"):
            with contextlib.suppress(FileNotFoundError):
                files.remove(name)


def _parse_hex(digits: str) -> int:
    """Parse a hexadecimal number; -1 if the text is not one."""
    try:
        return int(digits, 16)
    except ValueError:
        return -1
