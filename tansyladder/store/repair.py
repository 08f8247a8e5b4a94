"""Examines a store without changing it, and copies the readable records of a damaged one to a new store."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from tansyladder.store import frames, hints, manifest
from tansyladder.store.errors import StoreError
from tansyladder.store.files import LOCK_FILE_NAME, Files
from tansyladder.store.manifest import Manifest, SegmentEntry
from tansyladder.store.opening import open_store
from tansyladder.store.operations import WriteOperation
from tansyladder.store.recovery import SEGMENT_ID_DIGITS
from tansyladder.store.segment import LOG_SUFFIX, segment_file_name

RECORDS_PER_BATCH = 1000  # in one write of `repair`
NODE_NAME_WITHOUT_MANIFEST = "repaired"  # owner of the new store if the manifest can't be read
ProgressCallback = Callable[[str, int, int], None]  # called with the unit, the number done and the total


def _no_progress(_unit: str, _done: int, _total: int) -> None:
    """Report nothing."""


@dataclass(frozen=True, slots=True)
class SegmentReport:
    """One segment as it is on disk; sizes in bytes."""

    id: int
    entry: SegmentEntry | None  # None if the manifest doesn't list the segment
    size: int = 0
    frame_count: int = 0
    record_count: int = 0
    has_hint: bool = False
    fault: str = ""  # empty if the segment is valid
    tail_bytes: int = 0  # after the last valid frame of the active segment; left by a crash, and not a fault


@dataclass(frozen=True, slots=True)
class Examination:
    """The result of reading a whole store."""

    manifest: Manifest | None  # None if it can't be read
    manifest_fault: str
    segments: tuple[SegmentReport, ...]

    @property
    def faults(self) -> list[str]:
        """One line for each fault; empty if the store is valid."""
        segment_faults = [
            f"{segment_file_name(segment.id)}: {segment.fault}" for segment in self.segments if segment.fault
        ]
        return [self.manifest_fault, *segment_faults] if self.manifest_fault else segment_faults


@dataclass(frozen=True, slots=True)
class RepairResult:
    """The result of a repair."""

    faults: list[str]
    saved_key_count: int
    lost_sequence_count: int  # missing changes between the first and the last one, including compacted ones


def examine(files: Files, progress: ProgressCallback = _no_progress) -> Examination:
    """Read every byte and change none. Raises OSError.

    A store that is in use may seem to have an incomplete tail.
    """
    current = None
    manifest_fault = ""
    try:
        current = manifest.read_manifest(files)
    except (StoreError, OSError) as err:
        manifest_fault = str(err)
    entries: dict[int, SegmentEntry | None] = {}
    if current is not None:
        entries.update({entry.id: entry for entry in current.segments})
    for segment_id in _segment_ids_on_disk(files):
        entries.setdefault(segment_id, None)
    reports = []
    for done, (segment_id, entry) in enumerate(entries.items()):
        progress("segments", done, len(entries))
        reports.append(_examine_segment(files, segment_id, entry))
    progress("segments", len(entries), len(entries))
    return Examination(current, manifest_fault, tuple(reports))


def _segment_ids_on_disk(files: Files) -> list[int]:
    """Return the ids of all segment files, in ascending order."""
    name_length = SEGMENT_ID_DIGITS + len(LOG_SUFFIX)
    names = [name for name in files.list_names() if name.endswith(LOG_SUFFIX) and len(name) == name_length]
    return sorted(int(name[:SEGMENT_ID_DIGITS], 16) for name in names)


def _examine_segment(files: Files, segment_id: int, entry: SegmentEntry | None) -> SegmentReport:
    """Read one segment and report its content and its faults."""
    try:
        data = _read_segment(files, segment_id)
    except OSError as err:
        return SegmentReport(segment_id, entry, fault=str(err) or "missing")
    listed = _listed_bytes(data, entry)
    scan = frames.SegmentScan(listed, segment_id)
    record_counts = [len(frame.records) for frame in scan.frames()]
    if frames.decode_segment_header(listed, segment_id) is None:
        fault = "invalid segment header"
    else:
        fault = _frame_fault(scan, entry)
    is_valid = entry is not None and not fault
    return SegmentReport(
        segment_id,
        entry,
        size=len(data),
        frame_count=len(record_counts),
        record_count=sum(record_counts),
        has_hint=_has_hint(files, entry),
        fault=fault,
        tail_bytes=len(listed) - scan.valid_end if is_valid else 0,
    )


def _has_hint(files: Files, entry: SegmentEntry | None) -> bool:
    """Return whether a sealed segment has a valid hint file."""
    if entry is None or not entry.is_sealed:
        return False
    return hints.read_hint(files, entry.id, entry.size) is not None


def _frame_fault(scan: frames.SegmentScan, entry: SegmentEntry | None) -> str:
    """Describe the fault of a listed segment's frames; empty if they are valid or it isn't listed."""
    if entry is None:
        return ""
    damage = scan.first_damage(is_sealed=entry.is_sealed)
    if damage is not None:
        return f"bytes {damage.start} to {damage.end} are corrupt"
    if entry.is_sealed and scan.valid_end != entry.size:
        return f"corrupt from byte {scan.valid_end} of {entry.size} to the end"
    return ""


def _read_segment(files: Files, segment_id: int) -> bytes:
    """Read all bytes of a segment. Raises OSError."""
    with contextlib.closing(files.open(segment_file_name(segment_id))) as file:
        return file.read_at(0, file.size())


def _listed_bytes(data: bytes, entry: SegmentEntry | None) -> bytes:
    """Cut a segment's bytes to the size that the manifest lists, if the segment is sealed."""
    return data[: entry.size] if entry is not None and entry.is_sealed else data


def read_records(files: Files, examination: Examination) -> Iterator[frames.Record]:
    """Yield every readable record, including those after damaged bytes."""
    for report in examination.segments:
        if report.entry is None and examination.manifest is not None:
            continue  # left by an interrupted compaction, whose records are in other segments as well
        try:
            data = _read_segment(files, report.id)
        except OSError:
            continue
        for frame in frames.SegmentScan(_listed_bytes(data, report.entry), report.id).frames():
            yield from frame.records


def repair(
    source: Files, target: Files, read_clock: Callable[[], int], progress: ProgressCallback = _no_progress
) -> RepairResult:
    """Copy the newest readable record of each key to a new, empty store; the damaged one is not changed.

    If the newest change of a key is lost, the new store has an older value of it.

    Args:
        source: the directory of the damaged store.
        target: the directory of the new store.
        read_clock: returns the Unix time in microseconds.
        progress: is called before each segment that is read and each batch that is written.

    Raises:
        StoreError: the target is not empty, or can't be written.
        OSError: the source can't be read.
    """
    examination = examine(source, progress)
    newest: dict[bytes, frames.Record] = {}
    sequences = set[int]()
    for record in read_records(source, examination):
        sequences.add(record.sequence)
        known = newest.get(record.key)
        if known is None or known.sequence < record.sequence:
            newest[record.key] = record
    by_sequence = sorted(newest.values(), key=lambda record: record.sequence)
    live = [record for record in by_sequence if record.kind == frames.PUT]
    if any(name != LOCK_FILE_NAME for name in target.list_names()):
        raise StoreError("the target directory is not empty")
    node = examination.manifest.node if examination.manifest else NODE_NAME_WITHOUT_MANIFEST
    with contextlib.closing(open_store(target, node, read_clock)) as store:
        for start in range(0, len(live), RECORDS_PER_BATCH):
            progress("records", start, len(live))
            batch = live[start : start + RECORDS_PER_BATCH]
            store.write([WriteOperation(record.key, record.value, record.expiry_us) for record in batch])
        progress("records", len(live), len(live))
    return RepairResult(examination.faults, len(live), _count_missing(sequences))


def _count_missing(sequences: set[int]) -> int:
    """Count the missing numbers between the lowest and the highest sequence number."""
    return max(sequences) - min(sequences) + 1 - len(sequences) if sequences else 0
