"""Opening: what is on disk becomes an index again, and what a crash left half done is undone.

Only the last segment may end in something that is no frame: nothing behind its last sync was acknowledged.
What had been on disk for sure and is broken now is Damaged, never dropped.
"""

from __future__ import annotations

import contextlib
from dataclasses import dataclass, field

from tansyladder.store import frames, hints, manifest
from tansyladder.store.errors import NotAStoreError, StoreCorruptError
from tansyladder.store.files import File, Files
from tansyladder.store.hints import Hint
from tansyladder.store.index import Index


@dataclass(slots=True, eq=False)
class Segment:
    """A segment of an open store."""

    id: int
    file: File
    size: int
    live: int = 0  # bytes of records that the index points to
    fixed: int = 0  # bytes that no compaction would free: heads, and ends that must stay
    users: int = 1  # the store, and each snapshot; closed at 0
    hint: Hint | None = None  # where its file has yet to be written

    @property
    def dead(self) -> int:
        """Bytes that a compaction may free."""
        return self.size - self.fixed - self.live

    def release(self) -> None:
        self.users -= 1
        if not self.users:
            self.file.close()


@dataclass(slots=True)
class RecoveryResult:
    """All that opening found."""

    manifest: manifest.Manifest
    segments: list[Segment] = field(default_factory=list)
    index: Index = field(default_factory=Index)
    sequence: int = 0  # the highest that any record has
    latest_time_us: int = 0  # the highest Unix time, in microseconds, that the store has seen
    dropped_bytes: int = 0  # bytes of a tail that no crash-free write left
    rebuilt_hint_count: int = 0  # segments whose hint could not be used


def segment_file_name(segment: int) -> str:
    """The file of a segment."""
    return f"{segment:016x}.log"


def recover(files: Files, node: str, now: int) -> RecoveryResult:
    """Read everything, up to a tail that is no frame; changes nothing. Damaged, Foreign, Newer, OSError."""
    told = manifest.read_manifest(files)
    if told.node != node:
        raise NotAStoreError(f"the store is of node {told.node!r}, not {node!r}")
    found = RecoveryResult(told)
    secret = int(told.secret, 16)
    loaded: list[tuple[Segment, Hint]] = []
    try:
        for listed in told.segments:
            loaded.append(_load(files, listed, node, secret, found))
        _index(loaded, found, now)
    except BaseException:
        for segment, _ in loaded:
            segment.release()
        raise
    found.segments = [segment for segment, _ in loaded]
    return found


def _load(
    files: Files, listed: manifest.SegmentEntry, node: str, secret: int, found: RecoveryResult
) -> tuple[Segment, Hint]:
    try:
        file = files.open(segment_file_name(listed.id))
    except FileNotFoundError as err:
        raise StoreCorruptError(f"{segment_file_name(listed.id)}: missing") from err
    try:
        head = frames.decode_segment_header(file.read_at(0, frames.SEGMENT_HEADER_BYTES), listed.id)
        if head is None:
            raise StoreCorruptError(f"{segment_file_name(listed.id)}: its head is broken")
        if head[1] != frames.name_hash(node):
            raise NotAStoreError(f"{segment_file_name(listed.id)}: of another node")
        size = file.size()
        if listed.size >= 0 and size < listed.size:
            raise StoreCorruptError(
                f"{segment_file_name(listed.id)}: {size} bytes, and {listed.size} had been written"
            )
        hint = hints.read_hint(files, listed.id, listed.size) if listed.size >= 0 else None
        if hint is not None:
            return Segment(listed.id, file, listed.size, fixed=listed.size - sum(hint.sizes)), hint
        size, hint = _scan(file, listed, secret, found)
        if listed.size < 0:
            found.dropped_bytes += file.size() - size  # the next manifest names the size that counts
        return Segment(listed.id, file, size, fixed=size - sum(hint.sizes), hint=hint), hint
    except BaseException:
        file.close()
        raise


def _scan(file: File, listed: manifest.SegmentEntry, secret: int, found: RecoveryResult) -> tuple[int, Hint]:
    """A segment without a hint: its sound size, and a hint for it."""
    found.rebuilt_hint_count += listed.size >= 0
    scan = frames.SegmentScan(file.read_at(0, listed.size if listed.size >= 0 else file.size()), listed.id)
    read = list(scan.frames())
    sealed = listed.size >= 0
    if scan.holes and (sealed or scan.holes[0][0] < scan.synced):
        at, behind = scan.holes[0]
        raise StoreCorruptError(
            f"{segment_file_name(listed.id)}: bytes {at} to {behind} are broken, with sound ones behind them"
        )
    if sealed and scan.end != listed.size:
        raise StoreCorruptError(
            f"{segment_file_name(listed.id)}: broken from byte {scan.end} of {listed.size} on"
        )
    # Behind a hole that no sync had covered stands what was never acknowledged, and came after what is lost.
    whole = [frame for frame in read if frame.end <= scan.end]
    hint = hints.build_hint((record for frame in whole for record in frame.records), secret)
    hint.latest_time_us = max((frame.latest_time_us for frame in whole), default=0)
    return scan.end, hint


def _index(loaded: list[tuple[Segment, Hint]], found: RecoveryResult, now: int) -> None:
    """Of each key the record with the highest sequence counts, if it is a value that has not expired."""
    loaded = [(segment, hint) for segment, hint in loaded if len(hint)]
    if not loaded:
        return
    import numpy as np

    def column(which: str, kind: type) -> np.ndarray[tuple[int], np.dtype[np.uint64]]:
        return np.concatenate([np.frombuffer(getattr(hint, which), kind) for _, hint in loaded])

    found.latest_time_us = max(hint.latest_time_us for _, hint in loaded)
    sequences = column("sequences", np.uint64)
    found.sequence = int(sequences.max())
    hashes = column("hashes", np.uint64)
    order = np.lexsort((sequences, hashes))
    del sequences
    ordered = hashes[order]
    newest = order[np.append(ordered[1:] != ordered[:-1], True)]
    del order, ordered
    hashes = hashes[newest]
    expiries = column("expiries", np.uint64)[newest]
    alive = (column("kinds", np.uint8)[newest] == frames.PUT) & (
        (expiries == 0) | (expiries > max(now, found.latest_time_us))
    )
    which = np.repeat(np.arange(len(loaded)), [len(hint) for _, hint in loaded])[newest][alive]
    ids = np.array([segment.id for segment, _ in loaded], np.uint64)
    places = (ids[which] << np.uint64(frames.OFFSET_BITS)) | column("offsets", np.uint32)[newest][alive]
    sizes = np.bincount(which, column("sizes", np.uint32)[newest][alive], len(loaded))
    for (segment, _), size in zip(loaded, sizes, strict=True):
        segment.live = int(size)
    found.index = Index.build(hashes[alive], places)


def sweep(files: Files, kept: set[int]) -> int:
    """Remove what no manifest names: a compaction or a new segment that a crash cut short; how many."""
    removed = 0
    for file in files.list_names():
        stem, _, kind = file.partition(".")
        unnamed = kind in ("log", "hint") and not (len(stem) == 16 and _number(stem) in kept)
        if unnamed or file.endswith(".new"):
            with contextlib.suppress(FileNotFoundError):
                files.remove(file)
                removed += 1
    return removed


def _number(stem: str) -> int:
    try:
        return int(stem, 16)
    except ValueError:
        return -1
