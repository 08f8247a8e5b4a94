"""The write path: bounds, group commit, and failures after which a store rejects writes."""

from __future__ import annotations

import errno
import random
import threading
import time
from collections.abc import Callable

import pytest

from tansyladder.lab.fault_injecting_files import FaultInjectingFile, FaultInjectingFiles, Inode
from tansyladder.store import Durability, Store, StoreError, WriteOperation, errors
from tansyladder.store.frames import MAX_KEY_BYTES, MAX_RECORDS_PER_FRAME, MAX_VALUE_BYTES
from tests.store.harness import open_in_memory

MAX_WAIT_S = 20.0


def wait_until(is_met: Callable[[], bool], seconds: float = MAX_WAIT_S) -> None:
    deadline = time.monotonic() + seconds
    while not is_met() and time.monotonic() < deadline:
        time.sleep(0.0005)


class ConcurrentPut:
    """A thread that puts one key, and the errors that it gets."""

    def __init__(self, store: Store, key: bytes) -> None:
        self._store = store
        self._key = key
        self._thread = threading.Thread(target=self._put, daemon=True)
        self.errors = list[StoreError]()

    def _put(self) -> None:
        try:
            self._store.put(self._key, b"x")
        except StoreError as err:
            self.errors.append(err)

    def start(self) -> None:
        """Begin the write."""
        self._thread.start()

    def join(self) -> None:
        """Wait until the write has returned."""
        self._thread.join(MAX_WAIT_S)
        assert not self._thread.is_alive()


def test_bounds_of_keys_values_and_batches() -> None:
    files, store = open_in_memory(max_segment_bytes=4 << 20)
    largest_key = b"k" * MAX_KEY_BYTES
    largest_value = b"v" * MAX_VALUE_BYTES
    store.write([WriteOperation(largest_key, largest_value), WriteOperation(b"k", b"")])
    for operations in (
        [WriteOperation(b"", b"v")],
        [WriteOperation(largest_key + b"k", b"v")],
        [WriteOperation(b"k", largest_value + b"v")],
        [WriteOperation(b"k", b"v", -1)],
        [WriteOperation(b"k", b"v", 1 << 63)],
        [WriteOperation(b"k", b"v")] * (MAX_RECORDS_PER_FRAME + 1),
        [WriteOperation(b"k%d" % number, largest_value) for number in range(17)],
    ):
        with pytest.raises(errors.RecordTooLargeError):
            store.write(operations)
    store.close()
    _, store = open_in_memory(files)
    assert store.get(largest_key) == largest_value
    assert store.get(b"k") == b""
    assert len(store) == 2


def put_until_rejected(store: Store, writer: int, acknowledged: dict[bytes, bytes]) -> None:
    """Put up to sixty keys of one writer, and record each acknowledged one."""
    for number in range(60):
        key = b"%d-%d" % (writer, number)
        value = b"%d" % number
        try:
            store.put(key, value)
        except StoreError:
            return
        acknowledged[key] = value


def test_many_writers_share_a_sync_and_each_gets_its_own_result() -> None:
    """The disk fails in the middle, and each acknowledged record must exist after a power loss."""
    files, store = open_in_memory(max_segment_bytes=1 << 20)
    acknowledged: dict[bytes, bytes] = {}
    files.call_before_sync(lambda: wait_until(lambda: store.waiting_write_count >= 8, seconds=0.1))
    files.fail_at(files.step_count + 60, errno.EIO)
    writers = [
        threading.Thread(target=put_until_rejected, args=(store, writer, acknowledged))
        for writer in range(16)
    ]
    for thread in writers:
        thread.start()
    for thread in writers:
        thread.join(MAX_WAIT_S)
    assert not any(thread.is_alive() for thread in writers)
    sync_count = files.step_kinds.count("sync")
    assert len(acknowledged) > 4 * sync_count
    with pytest.raises(errors.StoreBrokenError):
        store.put(b"k", b"v")
    _, recovered = open_in_memory(files.after_power_loss(random.Random(1), 0.5), 1 << 20)
    assert acknowledged.items() <= dict(recovered.items()).items()


def test_a_write_that_waits_while_maintenance_breaks_the_store_is_rejected() -> None:
    """The failed sync has lost earlier records of the log, so a recovery would not reach this write."""
    files, store = open_in_memory(max_segment_bytes=1 << 16)
    store.put(b"before", b"x", durability=Durability.BUFFERED)
    late_put = ConcurrentPut(store, b"late")

    def fail_once_the_writer_waits() -> None:
        files.call_before_sync(lambda: None)
        late_put.start()
        wait_until(lambda: store.waiting_write_count > 0)
        files.fail_at(files.step_count, errno.EIO)

    files.call_before_sync(fail_once_the_writer_waits)
    with pytest.raises(errors.StoreBrokenError):
        store.maintain()
    late_put.join()
    assert [type(error) for error in late_put.errors] == [errors.StoreBrokenError]
    _, recovered = open_in_memory(files.after_power_loss(random.Random(1), 0), 1 << 16)
    assert dict(recovered.items()) == {}


class UnreadableOnceFiles(FaultInjectingFiles):
    """Files whose next read fails once `is_unreadable` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.is_unreadable = False

    def create(self, name: str) -> UnreadableOnceFile:
        """Create an empty file. Raises OSError."""
        super().create(name)
        return UnreadableOnceFile(self, self.visible[name])


class UnreadableOnceFile(FaultInjectingFile):
    """An open file of `UnreadableOnceFiles`."""

    def __init__(self, files: UnreadableOnceFiles, inode: Inode) -> None:
        super().__init__(files, inode)
        self._unreadable_files = files

    def read_at(self, offset: int, size: int) -> bytes:
        """Read like any file, or raise OSError once."""
        if self._unreadable_files.is_unreadable:
            self._unreadable_files.is_unreadable = False
            raise OSError(errno.EIO, "made to fail: read")
        return super().read_at(offset, size)


def test_a_commit_that_fails_unexpectedly_breaks_the_store_and_no_writer_waits_for_it() -> None:
    """The writer that commits can't read the stored key of the same hash, to compare it with the new one."""
    files = UnreadableOnceFiles()
    _, store = open_in_memory(files)
    store.put(b"k", b"old")
    files.is_unreadable = True
    with pytest.raises(OSError, match="made to fail: read"):
        store.put(b"k", b"new")
    later_put = ConcurrentPut(store, b"other")
    later_put.start()
    later_put.join()
    assert [type(error) for error in later_put.errors] == [errors.StoreBrokenError]
    assert store.get(b"k") == b"old"


class UncertainManifestFiles(FaultInjectingFiles):
    """Files whose second directory sync after `is_failing` was set fails for lack of space.

    The first sync is that of a new segment's name, the second one that of the manifest.
    """

    def __init__(self) -> None:
        super().__init__()
        self.is_failing = False
        self.sync_count = 0

    def sync_directory(self) -> None:
        """Flush all changes of names to disk, but raise OSError the second time."""
        if self.is_failing:
            self.sync_count += 1
            if self.sync_count == 2:
                raise OSError(errno.ENOSPC, "no room")
        super().sync_directory()


def put_until_segment_is_full(store: Store) -> None:
    for number in range(40):
        store.put(b"k%d" % number, b"v" * 40)


def test_a_manifest_of_unknown_state_breaks_the_store() -> None:
    """If the rename is on disk, the manifest seals the segment, and later records in it would be lost."""
    files = UncertainManifestFiles()
    _, store = open_in_memory(files)
    files.is_failing = True
    with pytest.raises(errors.StoreBrokenError):
        put_until_segment_is_full(store)
