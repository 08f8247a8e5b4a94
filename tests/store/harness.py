"""Stores on the fault-injecting files, for the tests of this package."""

from __future__ import annotations

from tansyladder.lab import crash_consistency
from tansyladder.lab.fault_injecting_files import FaultInjectingFiles
from tansyladder.store import (
    Store,
    open_store,
)


def fresh(files: FaultInjectingFiles | None = None, size: int = 400) -> tuple[FaultInjectingFiles, Store]:
    files = files or FaultInjectingFiles()
    return files, open_store(files, "n1", crash_consistency.ManualClock(), size)


def full(upkeep: bool = False) -> FaultInjectingFiles:
    """A closed store of forty keys in several sealed segments, or with upkeep in few of them, with hints."""
    files, store = fresh()
    for n in range(40):
        store.put(b"key%d" % n, b"value%d" % n * 3)
    if upkeep:
        store.compact_all()
    store.close()
    return files
