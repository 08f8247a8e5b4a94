"""The tool: look at a store, check it, compact it, write it out, save what is left of a damaged one."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import click

from tansyladder.store import manifest
from tansyladder.store import repair as fixing
from tansyladder.store.engine import open_store
from tansyladder.store.errors import StoreError
from tansyladder.store.files import RealFiles

FOLDER = click.argument("folder", type=click.Path(path_type=Path, exists=True, file_okay=False))


def _clock() -> int:
    return time.time_ns() // 1000


def _progress(what: str, done: int, total: int) -> None:
    if sys.stderr.isatty():
        print(f"\r{what}: {done} of {total}  ", end="" if done < total else "\n", file=sys.stderr, flush=True)


@contextmanager
def _named() -> Iterator[None]:
    """Errors with their word and exit code 3; no traceback."""
    try:
        yield
    except (StoreError, OSError) as err:
        word = err.code if isinstance(err, StoreError) else "unusable"
        click.echo(f"{word}: {err}", err=True)
        sys.exit(3)


@click.group()
def store() -> None:
    """Look after a store's folder while no node runs on it."""


@store.command()
@FOLDER
def inspect(folder: Path) -> None:
    """Show the manifest and the segments; changes nothing, and works beside a running node."""
    with _named():
        found = fixing.examine(RealFiles(folder), _progress)
    if found.manifest is not None:
        told = found.manifest
        click.echo(f"node {told.node}, format {told.version}, next segment {told.next}")
    for s in found.segments:
        state = "not named" if s.listed is None else "active" if s.listed < 0 else "sealed"
        hinted = ", hint" if s.hinted else ""
        more = f", tail of {s.tail}" if s.tail else ""
        more += f"  FAULT: {s.fault}" if s.fault else ""
        figures = f"{s.size} bytes, {s.frames} batches, {s.records} records"
        click.echo(f"{s.id:016x}  {state}{hinted}  {figures}{more}")
    for fault in found.faults:
        click.echo(fault, err=True)


@store.command()
@FOLDER
def verify(folder: Path) -> None:
    """Read every byte; exit code 1 where something is not as it should be."""
    with _named():
        found = fixing.examine(RealFiles(folder), _progress)
    for fault in found.faults:
        click.echo(fault, err=True)
    click.echo(f"{len(found.segments)} segments, {len(found.faults)} faults")
    sys.exit(1 if found.faults else 0)


def _node_of(folder: Path) -> str:
    return manifest.read_manifest(RealFiles(folder)).node


@store.command()
@FOLDER
def compact(folder: Path) -> None:
    """Do all the upkeep that is due; the node must not run."""
    with _named():
        opened = open_store(RealFiles(folder), _node_of(folder), _clock)
        try:
            before = opened.stats["bytes"]
            while opened.maintain(8 << 20):
                _progress("bytes", opened.compacted_bytes, before)
            click.echo(f"{before} bytes before, {opened.stats['bytes']} now, {len(opened)} keys")
        finally:
            opened.close()


@store.command()
@FOLDER
def dump(folder: Path) -> None:
    """Write every live key as a line of JSON with hexadecimal digits; the node must not run."""
    with _named():
        opened = open_store(RealFiles(folder), _node_of(folder), _clock)
        try:
            snapshot = opened.snapshot()
            for key, value, expiry in snapshot.items():
                click.echo(json.dumps({"key": key.hex(), "value": value.hex(), "expiry": expiry}))
            snapshot.close()
        finally:
            opened.close()


@store.command("repair")
@FOLDER
@click.argument("target", type=click.Path(path_type=Path))
def repair_command(folder: Path, target: Path) -> None:
    """Save what can be read into TARGET, a new folder; the damaged one stays as it is."""
    with _named():
        done = fixing.repair(RealFiles(folder), RealFiles(target), _clock, _progress)
    for fault in done.faults:
        click.echo(fault, err=True)
    click.echo(f"{done.kept} keys kept; {done.lost_sequences} changes not found (compacted ones among them)")
