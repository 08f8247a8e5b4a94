"""The stored form of histories, and how they are written, read and merged."""

from __future__ import annotations

from pathlib import Path

import msgspec

from tansyladder.lab.chaos import history
from tansyladder.lab.chaos.history import Event, EventKind, History, Party

STORED_KINDS = (
    "asked answered said heard moved knocks sent_to taken fenced broken holds killed stopped cut "
    "reset upgraded delayed cut_peers flap_peers full_disk sound standing held asks ended decided follows"
)
STORED_LINE = (
    b'{"at":7,"who":"client","what":"answered","client":3,"life":2,"ident":"1f","token":"T","word":"UP",'
    b'"text":"UP s1","node":1,"host":"s1","session":"ab","epoch":5,"number":6,"of_own":4,"moment":9}'
)


def test_the_stored_names_of_parties_and_kinds() -> None:
    assert [party.value for party in Party] == ["client", "host", "front", "node", "rig"]
    assert {kind.value for kind in EventKind} == {*STORED_KINDS.split(), "heard word"}


def test_a_stored_event_is_read_and_written_to_the_same_bytes() -> None:
    event = msgspec.json.decode(STORED_LINE, type=Event)
    assert event == Event(
        timestamp_us=7,
        party=Party.CLIENT,
        kind=EventKind.ANSWERED,
        client=3,
        session_count=2,
        connection_id="1f",
        token="T",
        label="UP",
        detail="UP s1",
        node=1,
        host="s1",
        session_id="ab",
        epoch=5,
        number=6,
        acknowledged_line=4,
        decided_at_us=9,
    )
    assert msgspec.json.encode(event) == STORED_LINE


def test_a_history_file_is_written_in_parts_and_read_without_an_incomplete_last_line(tmp_path: Path) -> None:
    path = tmp_path / "history.jsonl"
    with path.open("wb") as out:
        recorded = History(out)
        for number in range(history.FLUSH_EVERY):
            recorded.record(Party.HOST, EventKind.LINE_RECEIVED, number=number)
        assert not recorded.events  # flushed
        recorded.record(Party.HOST, EventKind.SESSION_FENCED)
        assert [event.kind for event in recorded.events] == [EventKind.SESSION_FENCED]
        out.write(b'{"at":1,"who":"ho')
    events = history.load(path)
    assert [event.number for event in events] == list(range(history.FLUSH_EVERY))


def test_merged_histories_are_in_the_order_of_their_timestamps(tmp_path: Path) -> None:
    first = [Event(1, Party.CLIENT, EventKind.LINE_SENT), Event(5, Party.CLIENT, EventKind.LINE_SENT)]
    second = [Event(3, Party.HOST, EventKind.LINE_RECEIVED)]
    merged = history.merge(first, second)
    assert [event.timestamp_us for event in merged] == [1, 3, 5]
    history.save(tmp_path / "history.jsonl", merged)
    assert history.load(tmp_path / "history.jsonl") == merged
