"""Compaction keeps deletions that are still needed, and does not make expired values valid again."""

from __future__ import annotations

import random
from pathlib import Path

from tansyladder.lab.crash_consistency import ManualClock
from tansyladder.store import open_store
from tansyladder.store.files import RealFiles
from tests.store.harness import NODE, SMALL_SEGMENT_BYTES, open_in_memory


def test_a_deletion_is_kept_while_an_older_segment_may_contain_its_key() -> None:
    files, store = open_in_memory(max_segment_bytes=1200)
    first = store.active_segment_id
    for number in range(8):
        store.put(b"old%d" % number, b"x" * 40)
    while store.active_segment_id == first:
        store.put(b"fill", b"x" * 40)
    store.delete(b"old3")
    second = store.active_segment_id
    while store.active_segment_id == second:
        store.put(b"often", b"y" * 60)
    store.compact_all()
    assert first in store.stats_by_segment
    assert second not in store.stats_by_segment
    store.close()
    _, store = open_in_memory(files)
    assert store.get(b"old3") is None
    assert store.get(b"old4") == b"x" * 40


def test_an_expired_value_stays_expired_when_the_clock_steps_back() -> None:
    clock = ManualClock()
    files, store = open_in_memory(clock=clock)
    store.put(b"k", b"old")
    store.put(b"k", b"new", expiry_us=clock.now_us + 10)
    clock.advance(20)
    store.put(b"other", b"x")
    clock.advance(-20)
    assert store.get(b"k") is None
    store.close()
    _, store = open_in_memory(files, clock=clock)
    assert store.get(b"k") is None
    store.compact_all()
    assert store.get(b"k") is None
    assert dict(store.items()) == {b"other": b"x"}


def test_a_value_that_had_expired_at_the_start_still_hides_an_older_one() -> None:
    """The index lacks the expired value, but compaction must keep a deletion that hides the older one."""
    clock = ManualClock()
    files, store = open_in_memory(clock=clock)
    store.put(b"k", b"old")
    store.put(b"live", b"x" * 200)  # keeps enough of this segment live that the other one is compacted alone
    files, store = open_in_memory(files.after_power_loss(random.Random(5), 0.0), clock=clock)
    store.put(b"k", b"y" * 100, expiry_us=clock.now_us)
    files, store = open_in_memory(files.after_power_loss(random.Random(5), 0.0), clock=clock)
    store.compact_all()
    store.close()
    _, store = open_in_memory(files, clock=clock)
    assert store.get(b"k") is None
    assert store.get(b"live") == b"x" * 200


def test_a_snapshot_keeps_the_files_of_compacted_segments_open(tmp_path: Path) -> None:
    """Use a real directory, where a closed file can't be read; the store must stay usable afterwards."""
    store = open_store(RealFiles(tmp_path), NODE, ManualClock(), SMALL_SEGMENT_BYTES)
    for number in range(40):
        store.put(b"k%d" % (number % 4), b"old%d" % number)
    old_segments = set(store.stats_by_segment)
    expected = dict(store.items())
    with store.snapshot() as snapshot:
        for number in range(40):
            store.put(b"k%d" % (number % 4), b"new%d" % number)
        store.compact_all()
        assert not old_segments <= set(store.stats_by_segment)
        assert {key: value for key, value, _ in snapshot.items()} == expected
    assert dict(store.items()) == {b"k%d" % (number % 4): b"new%d" % number for number in range(36, 40)}
    store.close()
