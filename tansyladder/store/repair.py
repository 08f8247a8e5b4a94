"""Looking at a store without changing it, and saving what can be read of a damaged one into a new place."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from tansyladder.store import frames, hints, manifest, recovery
from tansyladder.store.engine import WriteOperation, open_store
from tansyladder.store.errors import StoreError
from tansyladder.store.files import Files

BATCH = 1000  # records a batch that `repair` writes
Progress = Callable[[str, int, int], None]  # what, done, of


@dataclass(slots=True)
class SegmentReport:
    """One segment as it is on disk."""

    id: int
    size: int
    listed: int | None  # its size by the manifest; -1 while it was written to, None where it is not named
    sound: int = 0  # bytes of the unbroken run from the start
    frames: int = 0
    records: int = 0
    holes: list[tuple[int, int]] = field(default_factory=list)
    hinted: bool = False
    fault: str = ""  # empty where all is as it should be
    tail: int = 0  # bytes behind the last frame of the active segment: what a crash leaves, and no fault


@dataclass(slots=True)
class Examination:
    """A whole store."""

    manifest: manifest.Manifest | None = None
    fault: str = ""  # of the manifest
    segments: list[SegmentReport] = field(default_factory=list)

    @property
    def faults(self) -> list[str]:
        """Everything that is not as it should be; empty for a sound store."""
        own = [self.fault] if self.fault else []
        return own + [f"{recovery.segment_file_name(s.id)}: {s.fault}" for s in self.segments if s.fault]


def examine(files: Files, progress: Progress = lambda *_: None) -> Examination:
    """Read every byte and change none; a store that is in use may look torn at its end."""
    found = Examination()
    try:
        found.manifest = manifest.read_manifest(files)
    except (StoreError, OSError) as err:
        found.fault = str(err)
    listed = {s.id: s.size for s in found.manifest.segments} if found.manifest else {}
    there = sorted(int(n[:16], 16) for n in files.list_names() if n.endswith(".log") and len(n) == 20)
    numbers = list(dict.fromkeys([*listed, *there]))
    for done, number in enumerate(numbers):
        progress("segments", done, len(numbers))
        found.segments.append(_look(files, number, listed.get(number)))
    progress("segments", len(numbers), len(numbers))
    return found


def _look(files: Files, number: int, listed: int | None) -> SegmentReport:
    looked = SegmentReport(number, 0, listed)
    try:
        data = _read(files, number)
    except OSError as err:
        looked.fault = str(err) or "missing"
        return looked
    looked.size = len(data)
    if listed is not None and listed >= 0:
        data = data[:listed]
    if frames.decode_segment_header(data, number) is None:
        looked.fault = "its head is broken"
    scan = frames.SegmentScan(data, number)
    for frame in scan.frames():
        looked.frames += 1
        looked.records += len(frame.records)
    looked.sound, looked.holes = scan.end, scan.holes
    looked.hinted = listed is not None and listed >= 0 and hints.read_hint(files, number, listed) is not None
    if looked.fault or listed is None:
        return looked
    if scan.holes and (listed >= 0 or scan.holes[0][0] < scan.synced):
        looked.fault = f"bytes {scan.holes[0][0]} to {scan.holes[0][1]} are broken"
    elif listed >= 0 and scan.end != listed:
        looked.fault = f"broken from byte {scan.end} of {listed} on"
    else:
        looked.tail = len(data) - scan.end
    return looked


def _read(files: Files, number: int) -> bytes:
    file = files.open(recovery.segment_file_name(number))
    try:
        return file.read_at(0, file.size())
    finally:
        file.close()


def records(files: Files, found: Examination) -> Iterator[frames.Record]:
    """Every record that can be read, whatever stands between them."""
    for looked in found.segments:
        if looked.listed is None and found.manifest is not None:
            continue  # a compaction that a crash cut short: its records are elsewhere
        try:
            data = _read(files, looked.id)
        except OSError:
            continue
        if looked.listed is not None and looked.listed >= 0:
            data = data[: looked.listed]
        for frame in frames.SegmentScan(data, looked.id).frames():
            yield from frame.records


@dataclass(slots=True)
class RepairResult:
    """What a repair came to."""

    faults: list[str]
    kept: int  # keys
    lost_sequences: int  # changes between the first and the last that are not there, compacted ones too


def repair(
    source: Files, target: Files, clock: Callable[[], int], progress: Progress = lambda *_: None
) -> RepairResult:
    """Save the newest readable record of each key into a new, empty store; the damaged one stays as it is.

    A change that was lost may have been a key's newest one: then an older value is kept. StoreError where the
    target is no empty place.
    """
    found = examine(source, progress)
    newest: dict[bytes, frames.Record] = {}
    seen = set[int]()
    for record in records(source, found):
        seen.add(record.sequence)
        kept = newest.get(record.key)
        if kept is None or kept.sequence < record.sequence:
            newest[record.key] = record
    live = [r for r in sorted(newest.values(), key=lambda r: r.sequence) if r.kind == frames.PUT]
    if any(name != "LOCK" for name in target.list_names()):
        raise StoreError("the target is not empty")
    store = open_store(target, found.manifest.node if found.manifest else "repaired", clock)
    try:
        for start in range(0, len(live), BATCH):
            progress("records", start, len(live))
            store.write([WriteOperation(r.key, r.value, r.expiry_us) for r in live[start : start + BATCH]])
        progress("records", len(live), len(live))
    finally:
        store.close()
    missing = max(seen) - min(seen) + 1 - len(seen) if seen else 0
    return RepairResult(found.faults, len(live), missing)
