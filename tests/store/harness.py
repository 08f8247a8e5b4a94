"""Opens stores on fault-injecting files, for the tests of this package."""

from __future__ import annotations

from typing import NamedTuple

from tansyladder.lab.crash_consistency import ManualClock
from tansyladder.lab.fault_injecting_files import FaultInjectingFiles
from tansyladder.store import Store, open_store

NODE = "n1"
SMALL_SEGMENT_BYTES = 400  # filled by a few records
KEY_COUNT = 40  # in the store of `closed_store_files`


class OpenedStore(NamedTuple):
    """An open store and its files."""

    files: FaultInjectingFiles
    store: Store


def open_in_memory(
    files: FaultInjectingFiles | None = None,
    max_segment_bytes: int = SMALL_SEGMENT_BYTES,
    clock: ManualClock | None = None,
) -> OpenedStore:
    """Open a store on these files, or on new ones if there are none."""
    files = files or FaultInjectingFiles()
    return OpenedStore(files, open_store(files, NODE, clock or ManualClock(), max_segment_bytes))


def closed_store_files() -> FaultInjectingFiles:
    """Return the files of a closed store of KEY_COUNT keys in several sealed segments."""
    files, store = open_in_memory()
    for number in range(KEY_COUNT):
        store.put(b"key%d" % number, b"value%d" % number * 3)
    store.close()
    return files


def compacted_store_files() -> FaultInjectingFiles:
    """Return the files of a closed store of KEY_COUNT keys in few sealed segments with hints."""
    files, store = open_in_memory(closed_store_files())
    store.compact_all()
    store.close()
    return files


def contents_of(files: FaultInjectingFiles) -> dict[str, bytes]:
    """Return the contents of each file by its name."""
    return {name: bytes(inode.visible) for name, inode in files.visible.items()}
