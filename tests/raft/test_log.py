"""The log in memory, and the records that it returns to be written to the disk."""

from __future__ import annotations

import pytest

from tansyladder.raft.log import RaftLog
from tansyladder.raft.messages import LogEntry, LogPosition
from tansyladder.raft.persistent_state import LogSuffix, Snapshot


def log_of_terms(*terms: int) -> RaftLog:
    return RaftLog(Snapshot(), [LogEntry(term) for term in terms])


def test_an_empty_log_ends_at_its_snapshot() -> None:
    assert RaftLog(Snapshot(), []).last_position == LogPosition(0, 0)
    assert RaftLog(Snapshot(7, 3), []).last_position == LogPosition(3, 7)


def test_replacing_entries_removes_all_later_entries() -> None:
    log = log_of_terms(1, 1, 2)
    assert log.replace_from(2, [LogEntry(3)]) == LogSuffix(2, (LogEntry(3),))
    assert log.entries == (LogEntry(1), LogEntry(3))
    assert log.last_position == LogPosition(3, 2)


def test_compaction_keeps_indexes_and_terms() -> None:
    log = log_of_terms(1, 2, 3)
    assert log.compact(2, {"n1": "d"}, b"state") == Snapshot(2, 2, {"n1": "d"}, b"state")
    assert log.term_at(2) == 2  # the snapshot's last entry
    assert log.entry(3) == LogEntry(3)
    assert log.last_index == 3
    assert log.append([LogEntry(4)]) == LogSuffix(4, (LogEntry(4),))


@pytest.mark.parametrize(
    ("snapshot", "remaining"),
    [
        (Snapshot(2, 1), (LogEntry(2),)),  # the log has the same entry at this index
        (Snapshot(2, 9), ()),  # the log has another entry at this index
        (Snapshot(5, 1), ()),  # the index is beyond the log's end
    ],
)
def test_an_installed_snapshot_keeps_later_entries_only_if_the_log_agrees(
    snapshot: Snapshot, remaining: tuple[LogEntry, ...]
) -> None:
    log = log_of_terms(1, 1, 2)
    assert log.install(snapshot) == LogSuffix(snapshot.index + 1, remaining)
    assert log.entries == remaining
    assert log.last_index == snapshot.index + len(remaining)
