"""The commands `tansyladder store ...`: inspect, verify, compact, dump and repair a store."""

from __future__ import annotations

import contextlib
import json
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import click

from tansyladder.store import manifest
from tansyladder.store import repair as repairing
from tansyladder.store.engine import Store
from tansyladder.store.errors import StoreError, StoreUnusableError
from tansyladder.store.files import RealFiles
from tansyladder.store.opening import open_store

EXIT_FAULTS = 1
EXIT_ERROR = 3
COMPACTION_BUDGET_BYTES = 8 << 20  # compacted between two updates of the progress line
FOLDER_ARGUMENT = click.argument("folder", type=click.Path(path_type=Path, exists=True, file_okay=False))


def _clock_us() -> int:
    """Return the Unix time in microseconds."""
    return time.time_ns() // 1000


def _show_progress(unit: str, done: int, total: int) -> None:
    """Overwrite the progress line on standard error if that is a terminal."""
    if sys.stderr.isatty():
        line_end = "" if done < total else "\n"
        print(f"\r{unit}: {done} of {total}  ", end=line_end, file=sys.stderr, flush=True)


@contextlib.contextmanager
def _reporting_errors() -> Iterator[None]:
    """Print a store error with its code instead of a traceback, and exit with EXIT_ERROR."""
    try:
        yield
    except (StoreError, OSError) as err:
        code = err.code if isinstance(err, StoreError) else StoreUnusableError.code
        click.echo(f"{code}: {err}", err=True)
        sys.exit(EXIT_ERROR)


@contextlib.contextmanager
def _open_folder(folder: Path) -> Iterator[Store]:
    """Open the store in a folder under the node name in its manifest, and close it afterwards."""
    node = manifest.read_manifest(RealFiles(folder)).node
    with contextlib.closing(open_store(RealFiles(folder), node, _clock_us)) as current:
        yield current


@click.group()
def store() -> None:
    """Maintain the folder of a store that no node is using."""


@store.command()
@FOLDER_ARGUMENT
def inspect(folder: Path) -> None:
    """Show the manifest and the segments; changes nothing, and also works while the node is running."""
    with _reporting_errors():
        examination = repairing.examine(RealFiles(folder), _show_progress)
    current = examination.manifest
    if current is not None:
        click.echo(f"node {current.node}, format {current.version}, next segment {current.next_segment_id}")
    for report in examination.segments:
        click.echo(_segment_line(report))
    for fault in examination.faults:
        click.echo(fault, err=True)


def _segment_line(report: repairing.SegmentReport) -> str:
    """Format the report of one segment."""
    state = "not named"
    if report.entry is not None:
        state = "sealed" if report.entry.is_sealed else "active"
    hint = ", hint" if report.has_hint else ""
    tail = f", tail of {report.tail_bytes}" if report.tail_bytes else ""
    fault = f"  FAULT: {report.fault}" if report.fault else ""
    figures = f"{report.size} bytes, {report.frame_count} batches, {report.record_count} records"
    return f"{report.id:016x}  {state}{hint}  {figures}{tail}{fault}"


@store.command()
@FOLDER_ARGUMENT
def verify(folder: Path) -> None:
    """Read every byte; exits with code 1 if anything is damaged."""
    with _reporting_errors():
        examination = repairing.examine(RealFiles(folder), _show_progress)
    for fault in examination.faults:
        click.echo(fault, err=True)
    click.echo(f"{len(examination.segments)} segments, {len(examination.faults)} faults")
    sys.exit(EXIT_FAULTS if examination.faults else 0)


@store.command()
@FOLDER_ARGUMENT
def compact(folder: Path) -> None:
    """Do all maintenance that is due; the node must not be running."""
    with _reporting_errors(), _open_folder(folder) as current:
        bytes_before = current.stats.total_bytes
        while current.maintain(COMPACTION_BUDGET_BYTES):
            _show_progress("bytes", current.compacted_bytes, bytes_before)
        click.echo(f"{bytes_before} bytes before, {current.stats.total_bytes} now, {len(current)} keys")


@store.command()
@FOLDER_ARGUMENT
def dump(folder: Path) -> None:
    """Write every live key as a line of JSON with hexadecimal digits; the node must not be running."""
    with _reporting_errors(), _open_folder(folder) as current, current.snapshot() as snapshot:
        for key, value, expiry_us in snapshot.items():
            click.echo(json.dumps({"key": key.hex(), "value": value.hex(), "expiry": expiry_us}))


@store.command("repair")
@FOLDER_ARGUMENT
@click.argument("target", type=click.Path(path_type=Path))
def repair_command(folder: Path, target: Path) -> None:
    """Copy all readable records into TARGET, a new folder; the damaged one is not changed."""
    with _reporting_errors():
        result = repairing.repair(RealFiles(folder), RealFiles(target), _clock_us, _show_progress)
    for fault in result.faults:
        click.echo(fault, err=True)
    lost = f"{result.lost_sequence_count} changes not found (including compacted ones)"
    click.echo(f"{result.saved_key_count} keys kept; {lost}")
