"""Stores on the fault-injecting files, for the tests of this package."""

from __future__ import annotations

from tansyladder.lab import crash_consistency
from tansyladder.lab.fault_injecting_files import FaultInjectingFiles
from tansyladder.store import Store, open_store


def open_in_memory(
    files: FaultInjectingFiles | None = None, size: int = 400
) -> tuple[FaultInjectingFiles, Store]:
    files = files or FaultInjectingFiles()
    return files, open_store(files, "n1", crash_consistency.ManualClock(), size)


def closed_store_files(compact: bool = False) -> FaultInjectingFiles:
    """A closed store of forty keys in several sealed segments, or with upkeep in few of them, with hints."""
    files, store = open_in_memory()
    for n in range(40):
        store.put(b"key%d" % n, b"value%d" % n * 3)
    if compact:
        store.compact_all()
    store.close()
    return files
