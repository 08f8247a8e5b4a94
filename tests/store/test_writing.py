"""The write path: bounds, group commit, and failures that end the writing."""

from __future__ import annotations

import errno
import random
import threading
import time
from pathlib import Path

import pytest

from tansyladder.store import Durability, StoreError, WriteOperation, errors
from tansyladder.store.frames import MAX_KEY_BYTES, MAX_VALUE_BYTES
from tests.store.harness import open_in_memory


def test_bounds_of_keys_values_and_batches() -> None:
    files, store = open_in_memory(size=4 << 20)
    store.write([WriteOperation(b"k" * MAX_KEY_BYTES, b"v" * MAX_VALUE_BYTES), WriteOperation(b"k", b"")])
    for ops in (
        [WriteOperation(b"", b"v")],
        [WriteOperation(b"k" * (MAX_KEY_BYTES + 1), b"v")],
        [WriteOperation(b"k", b"v" * (MAX_VALUE_BYTES + 1))],
        [WriteOperation(b"k", b"v", -1)],
        [WriteOperation(b"k", b"v")] * 65_536,
        [WriteOperation(b"k%d" % n, b"v" * MAX_VALUE_BYTES) for n in range(17)],
    ):
        with pytest.raises(errors.RecordTooLargeError):
            store.write(ops)
    store.close()
    _, store = open_in_memory(files)
    assert (
        store.get(b"k" * MAX_KEY_BYTES) == b"v" * MAX_VALUE_BYTES
        and store.get(b"k") == b""
        and len(store) == 2
    )


def test_many_writers_share_a_sync_and_each_gets_its_own_result(tmp_path: Path) -> None:
    """Also where the disk fails in the middle: who was told of success finds its record after a loss."""
    files, store = open_in_memory(size=1 << 20)
    said: dict[bytes, bytes] = {}

    def work(which: int) -> None:
        for n in range(60):
            key, value = b"%d-%d" % (which, n), b"%d" % n
            try:
                store.put(key, value)
            except StoreError:
                return
            said[key] = value

    def others_come() -> None:
        for _ in range(200):
            if store.waiting_write_count >= 8:
                return
            time.sleep(0.0005)

    files.before_sync = others_come
    files.failing_steps[files.step_count + 60] = 5
    threads = [threading.Thread(target=work, args=(n,)) for n in range(16)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(20)
    assert not any(thread.is_alive() for thread in threads)
    syncs = files.step_kinds.count("sync")
    assert len(said) > 4 * syncs
    with pytest.raises(errors.StoreBrokenError):
        store.put(b"k", b"v")
    _, again = open_in_memory(files.after_power_loss(random.Random(1), 0.5), 1 << 20)
    assert said.items() <= dict(again.items()).items()


def test_a_write_that_waits_while_maintenance_breaks_the_store_is_refused() -> None:
    """The failed sync dropped what stands before it in the log: a recovery would not reach this write."""
    files, store = open_in_memory(size=1 << 16)
    store.put(b"before", b"x", durability=Durability.BUFFERED)
    refused = list[StoreError]()

    def write_late() -> None:
        try:
            store.put(b"late", b"x")
        except StoreError as err:
            refused.append(err)

    writer = threading.Thread(target=write_late)

    def fail_once_the_writer_waits() -> None:
        files.before_sync = lambda: None
        writer.start()
        deadline = time.monotonic() + 20
        while not store.waiting_write_count and time.monotonic() < deadline:
            time.sleep(0.0005)
        files.failing_steps[files.step_count] = errno.EIO

    files.before_sync = fail_once_the_writer_waits
    with pytest.raises(errors.StoreBrokenError):
        store.maintain()
    writer.join(20)
    assert [type(error) for error in refused] == [errors.StoreBrokenError]
    _, again = open_in_memory(files.after_power_loss(random.Random(1), 0), 1 << 16)
    assert dict(again.items()) == {}


def test_an_uncertain_manifest_breaks_the_store(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its rename may be on disk and seal the segment: what was appended behind that size would be lost."""
    files, store = open_in_memory()
    real, calls = files.sync_directory, list[int]()

    def no_room() -> None:
        calls.append(1)
        if len(calls) == 2:  # the first is for the new segment's name
            raise OSError(28, "no room")
        real()

    monkeypatch.setattr(files, "sync_directory", no_room)
    with pytest.raises(errors.StoreBrokenError):
        for n in range(40):
            store.put(b"k%d" % n, b"v" * 40)
