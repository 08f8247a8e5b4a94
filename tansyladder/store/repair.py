"""Examining a store without changing it, and saving what can be read of a damaged one into a new place."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from tansyladder.store import frames, hints, manifest
from tansyladder.store.errors import StoreError
from tansyladder.store.files import LOCK_FILE_NAME, Files
from tansyladder.store.manifest import Manifest, SegmentEntry
from tansyladder.store.opening import open_store
from tansyladder.store.operations import WriteOperation
from tansyladder.store.recovery import SEGMENT_ID_DIGITS
from tansyladder.store.segment import LOG_SUFFIX, segment_file_name

RECORDS_PER_BATCH = 1000  # that `repair` writes at once
NODE_WITHOUT_MANIFEST = "repaired"
Progress = Callable[[str, int, int], None]  # what is counted, done, in all


def _no_progress(_what: str, _done: int, _total: int) -> None:
    """Report nothing."""


@dataclass(slots=True)
class SegmentReport:
    """One segment as it is on disk; sizes in bytes."""

    id: int
    entry: SegmentEntry | None  # None where the manifest doesn't name it
    size: int = 0
    frame_count: int = 0
    record_count: int = 0
    has_hint: bool = False
    fault: str = ""  # empty where all is as it should be
    tail_bytes: int = 0  # behind the last frame of the active segment: what a crash leaves, and no fault


@dataclass(slots=True)
class Examination:
    """What is known of a whole store."""

    manifest: Manifest | None = None
    manifest_fault: str = ""
    segments: list[SegmentReport] = field(default_factory=list)

    @property
    def faults(self) -> list[str]:
        """A line for everything that is not as it should be; empty for a sound store."""
        of_segments = [f"{segment_file_name(s.id)}: {s.fault}" for s in self.segments if s.fault]
        return [self.manifest_fault, *of_segments] if self.manifest_fault else of_segments


@dataclass(slots=True)
class RepairResult:
    """What a repair came to."""

    faults: list[str]
    saved_keys: int
    lost_sequences: int  # changes between the first and the last that are not there, compacted ones too


def examine(files: Files, progress: Progress = _no_progress) -> Examination:
    """Read every byte and change none; a store that is in use may look torn at its end. OSError."""
    examination = Examination()
    try:
        examination.manifest = manifest.read_manifest(files)
    except (StoreError, OSError) as err:
        examination.manifest_fault = str(err)
    named = examination.manifest.segments if examination.manifest else ()
    entries: dict[int, SegmentEntry | None] = {entry.id: entry for entry in named}
    for segment_id in _segment_ids_on_disk(files):
        entries.setdefault(segment_id, None)
    for done, (segment_id, entry) in enumerate(entries.items()):
        progress("segments", done, len(entries))
        examination.segments.append(_examine_segment(files, segment_id, entry))
    progress("segments", len(entries), len(entries))
    return examination


def _segment_ids_on_disk(files: Files) -> list[int]:
    name_length = SEGMENT_ID_DIGITS + len(LOG_SUFFIX)
    names = [name for name in files.list_names() if name.endswith(LOG_SUFFIX) and len(name) == name_length]
    return sorted(int(name[:SEGMENT_ID_DIGITS], 16) for name in names)


def _examine_segment(files: Files, segment_id: int, entry: SegmentEntry | None) -> SegmentReport:
    report = SegmentReport(segment_id, entry)
    try:
        data = _read_segment(files, segment_id)
    except OSError as err:
        report.fault = str(err) or "missing"
        return report
    report.size = len(data)
    data = _counted_bytes(data, entry)
    scan = frames.SegmentScan(data, segment_id)
    for frame in scan.frames():
        report.frame_count += 1
        report.record_count += len(frame.records)
    if entry is not None and entry.is_sealed:
        report.has_hint = hints.read_hint(files, segment_id, entry.size) is not None
    if frames.decode_segment_header(data, segment_id) is None:
        report.fault = "its head is broken"
    elif entry is not None:
        report.fault = _frame_fault(scan, entry)
        if not report.fault:
            report.tail_bytes = len(data) - scan.valid_end
    return report


def _frame_fault(scan: frames.SegmentScan, entry: SegmentEntry) -> str:
    """What is wrong with the frames of a segment that the manifest names; empty where nothing is."""
    damage = scan.first_damage(entry.is_sealed)
    if damage is not None:
        return f"bytes {damage.start} to {damage.end} are broken"
    if entry.is_sealed and scan.valid_end != entry.size:
        return f"broken from byte {scan.valid_end} of {entry.size} on"
    return ""


def _read_segment(files: Files, segment_id: int) -> bytes:
    with contextlib.closing(files.open(segment_file_name(segment_id))) as file:
        return file.read_at(0, file.size())


def _counted_bytes(data: bytes, entry: SegmentEntry | None) -> bytes:
    """The bytes of a segment up to the size that the manifest names, if it does."""
    return data[: entry.size] if entry is not None and entry.is_sealed else data


def read_records(files: Files, examination: Examination) -> Iterator[frames.Record]:
    """Every record that can be read, whatever stands between them."""
    for report in examination.segments:
        if report.entry is None and examination.manifest is not None:
            continue  # a compaction that a crash cut short: its records are elsewhere
        try:
            data = _read_segment(files, report.id)
        except OSError:
            continue
        for frame in frames.SegmentScan(_counted_bytes(data, report.entry), report.id).frames():
            yield from frame.records


def repair(
    source: Files, target: Files, read_clock: Callable[[], int], progress: Progress = _no_progress
) -> RepairResult:
    """Save the newest readable record of each key into a new, empty store; the damaged one stays as it is.

    A change that was lost may have been a key's newest one: then an older value is kept. `read_clock`: Unix
    time in microseconds.

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
        raise StoreError("the target is not empty")
    node = examination.manifest.node if examination.manifest else NODE_WITHOUT_MANIFEST
    with contextlib.closing(open_store(target, node, read_clock)) as store:
        for start in range(0, len(live), RECORDS_PER_BATCH):
            progress("records", start, len(live))
            batch = live[start : start + RECORDS_PER_BATCH]
            store.write([WriteOperation(record.key, record.value, record.expiry_us) for record in batch])
        progress("records", len(live), len(live))
    return RepairResult(examination.faults, len(live), _count_missing(sequences))


def _count_missing(sequences: set[int]) -> int:
    """Numbers between the lowest and the highest that are not there."""
    return max(sequences) - min(sequences) + 1 - len(sequences) if sequences else 0
