"""Compaction keeps what an older segment may contradict, and what has expired stays expired."""

from __future__ import annotations

from tansyladder.lab.crash_consistency import ManualClock
from tests.store.harness import open_in_memory


def test_a_deletion_stays_while_an_older_segment_may_hold_its_key() -> None:
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


def test_what_has_expired_stays_expired_when_the_clock_steps_back() -> None:
    clock = ManualClock()
    files, store = open_in_memory(clock=clock)
    store.put(b"k", b"old")
    store.put(b"k", b"new", expiry_us=clock.now + 10)
    clock.now += 20
    store.put(b"other", b"x")
    clock.now -= 20
    assert store.get(b"k") is None
    store.close()
    _, store = open_in_memory(files, clock=clock)
    assert store.get(b"k") is None
    store.compact_all()
    assert store.get(b"k") is None
    assert dict(store.items()) == {b"other": b"x"}
