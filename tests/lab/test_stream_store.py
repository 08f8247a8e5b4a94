"""The session store of the stand-in hosts, which fences off the owners of older epochs."""

from __future__ import annotations

from tansyladder.lab.hosted_stream import StreamStore


def test_an_owner_of_a_newer_epoch_gets_the_session_and_an_older_one_does_not() -> None:
    store = StreamStore()
    first = store.acquire("s", epoch=2)
    assert first is not None
    assert store.acquire("s", epoch=2) is None
    assert store.acquire("s", epoch=1) is None
    assert store.fenced_count == 2
    assert store.acquire("s", epoch=3) is first


def test_a_frame_confirms_what_was_received_and_lines_that_never_arrived_are_sent_again() -> None:
    store = StreamStore()
    stored = store.acquire("s", epoch=1)
    assert stored is not None
    stored.record_received(4)
    stored.record_received(3)
    assert [stored.next_frame() for _ in range(3)] == ["F 1 4", "F 2 4", "F 3 4"]
    stored.rewind(sent=1)
    assert stored.next_frame() == "F 2 4"
