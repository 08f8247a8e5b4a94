"""The replicated log: a snapshot, and the entries after it."""

from __future__ import annotations

from collections.abc import Sequence

from tansyladder.raft.messages import LogEntry, LogPosition
from tansyladder.raft.persistent_state import LogSuffix, Snapshot


class RaftLog:
    """The log in memory. Owned by the node's thread.

    Methods that change the log return the record to write to the disk for the same change.
    """

    def __init__(self, snapshot: Snapshot, entries: Sequence[LogEntry]) -> None:
        """Start with a snapshot and the entries that follow it."""
        self._snapshot = snapshot
        self._entries = list(entries)

    @property
    def snapshot(self) -> Snapshot:
        """The snapshot that replaces all entries up to its index."""
        return self._snapshot

    @property
    def entries(self) -> tuple[LogEntry, ...]:
        """A copy of the entries that follow the snapshot."""
        return tuple(self._entries)

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self._snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self._entries[-1].term if self._entries else self._snapshot.term

    @property
    def last_position(self) -> LogPosition:
        """The end of the log, which the election restriction compares."""
        return LogPosition(self.last_term, self.last_index)

    def entry(self, index: int) -> LogEntry:
        """Return the entry at an index after the snapshot's; raise IndexError beyond the log's end."""
        return self._entries[index - self._snapshot.index - 1]

    def term_at(self, index: int) -> int:
        """Return the term of an entry, which may be the last one of the snapshot."""
        return self._snapshot.term if index == self._snapshot.index else self.entry(index).term

    def entries_from(self, index: int, max_count: int) -> tuple[LogEntry, ...]:
        """Return at most `max_count` entries, starting at an index that must be after the snapshot's."""
        start = index - self._snapshot.index - 1
        return tuple(self._entries[start : start + max_count])

    def append(self, entries: Sequence[LogEntry]) -> LogSuffix:
        """Add entries at the end."""
        suffix = LogSuffix(self.last_index + 1, tuple(entries))
        self._entries += suffix.entries
        return suffix

    def replace_from(self, index: int, entries: Sequence[LogEntry]) -> LogSuffix:
        """Replace all entries, starting at an index that must be after the snapshot's."""
        del self._entries[index - self._snapshot.index - 1 :]
        return self.append(entries)

    def compact(self, index: int, voter_disks: dict[str, str], state: bytes) -> Snapshot:
        """Replace all entries up to an index by a snapshot of the state after them."""
        snapshot = Snapshot(index, self.term_at(index), voter_disks, state)
        del self._entries[: index - self._snapshot.index]
        self._snapshot = snapshot
        return snapshot

    def install(self, snapshot: Snapshot) -> LogSuffix:
        """Install a leader's snapshot; keep the entries after it if this log has its last entry."""
        is_consistent = snapshot.index < self.last_index and self.term_at(snapshot.index) == snapshot.term
        remaining = self._entries[snapshot.index - self._snapshot.index :] if is_consistent else []
        self._snapshot = snapshot
        self._entries = remaining
        return LogSuffix(snapshot.index + 1, tuple(remaining))
