"""Opening a store: locks the directory, creates a missing manifest, recovers, and removes unused files."""

from __future__ import annotations

import contextlib
import ctypes
import os
from collections.abc import Callable

from tansyladder.store import manifest, recovery
from tansyladder.store.engine import DEFAULT_SEGMENT_BYTES, Store
from tansyladder.store.errors import StoreCorruptError, StoreLockedError, StoreUnusableError
from tansyladder.store.files import Files
from tansyladder.store.segment import LOG_SUFFIX

FIRST_SEGMENT_ID = 1
HASH_SECRET_BYTES = 8
TRIM_MIN_KEYS = 10_000  # with more keys, the memory that opening has freed is returned to the system


def open_store(
    files: Files, node: str, read_clock: Callable[[], int], max_segment_bytes: int = DEFAULT_SEGMENT_BYTES
) -> Store:
    """Open a node's store, or create it.

    Args:
        files: the store's directory.
        node: the name of the node that owns the store.
        read_clock: returns the Unix time in microseconds.
        max_segment_bytes: size above which a new segment is started.

    Raises:
        StoreLockedError: another process owns the directory.
        StoreUnusableError: the directory can't be read or written.
        StoreVersionError, NotAStoreError, StoreCorruptError: the store can't be opened; it was not changed.
    """
    try:
        files.lock()
    except BlockingIOError as err:
        raise StoreLockedError("another process owns the directory") from err
    except OSError as err:
        raise StoreUnusableError(str(err)) from err
    try:
        return _open_locked(files, node, read_clock, max_segment_bytes)
    except BaseException as err:
        files.unlock()
        if isinstance(err, OSError):
            raise StoreUnusableError(str(err)) from err
        raise


def _open_locked(files: Files, node: str, read_clock: Callable[[], int], max_segment_bytes: int) -> Store:
    """Open a store whose directory is locked; no file stays open after an error."""
    if manifest.FILE_NAME not in files.list_names():
        _create_manifest(files, node)
    recovered = recovery.recover(files, node, read_clock())
    try:
        store = Store(files, recovered, read_clock, max_segment_bytes)
        used_ids = {segment.id for segment in recovered.segments} | {store.active_segment_id}
        recovery.remove_unused_files(files, used_ids)
    except BaseException:
        for segment in recovered.segments:
            segment.release()
        raise
    if len(store) > TRIM_MIN_KEYS:
        _trim_memory()
    return store


def _create_manifest(files: Files, node: str) -> None:
    """Create the manifest of an empty store.

    Raises:
        StoreCorruptError: there are segment files, so the manifest was lost.
    """
    if any(name.endswith(LOG_SUFFIX) for name in files.list_names()):
        raise StoreCorruptError("missing, but the directory contains segment files", path=manifest.FILE_NAME)
    hash_secret_hex = os.urandom(HASH_SECRET_BYTES).hex()
    created = manifest.Manifest(manifest.VERSION, node, hash_secret_hex, FIRST_SEGMENT_ID, ())
    manifest.write_manifest(files, created)


def _trim_memory() -> None:
    """Return freed memory to the system; the allocator would keep that of the columns used by recovery."""
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).malloc_trim(0)
