"""The follower's side of replication: accepts entries and snapshots from the leader."""

from __future__ import annotations

from tansyladder.invariants import Invariant, check_invariant
from tansyladder.raft.commits import CommittedLog
from tansyladder.raft.messages import AppendEntries, AppendEntriesResponse, InstallSnapshot, LogEntry
from tansyladder.raft.node_state import NodeState, Role


class FollowerReplication:
    """Replicates the log of the term's leader. Owned by the node's thread."""

    def __init__(self, state: NodeState, commits: CommittedLog, incarnation: str) -> None:
        """Start without a leader; `incarnation` identifies this start of the node in its responses."""
        self._state = state
        self._commits = commits
        self._incarnation = incarnation

    def on_append_entries(self, sender: str, message: AppendEntries) -> None:
        """Append the entries if the one before them matches, and report how far the logs agree."""
        if not self._accept_leader(sender, message.term):
            return
        log = self._state.log
        compacted_count = max(0, log.snapshot.index - message.prev_log_index)
        prev_index = message.prev_log_index + compacted_count  # skips the entries that the snapshot includes
        terms_differ = not compacted_count and (
            prev_index <= log.last_index and log.term_at(prev_index) != message.prev_log_term
        )
        if prev_index > log.last_index or terms_differ:
            retry_index = max(min(log.last_index, message.prev_log_index - 1), self._commits.commit_index)
            self._respond(sender, success=False, index=retry_index)
            return
        self._append(prev_index + 1, message.entries[compacted_count:])
        match_index = max(prev_index, message.prev_log_index + len(message.entries))
        self._commits.commit_to(min(message.leader_commit, match_index))
        self._respond(sender, success=True, index=match_index)

    def on_install_snapshot(self, sender: str, message: InstallSnapshot) -> None:
        """Install a snapshot that replaces entries which the leader has compacted."""
        if self._accept_leader(sender, message.term):
            self._commits.install_snapshot(message)
            self._respond(sender, success=True, index=message.last_included_index)

    def _accept_leader(self, sender: str, term: int) -> bool:
        """Follow the sender; if its term is outdated, respond with the current term and return False."""
        state = self._state
        if term < state.term:
            self._respond(sender, success=False, index=0)
            return False
        check_invariant(Invariant.RAFT_TWO_LEADERS, holds=state.role is not Role.LEADER or term > state.term)
        state.accept_leader(sender, term)
        return True

    def _append(self, first_index: int, entries: tuple[LogEntry, ...]) -> None:
        """Replace this log from the first index where it lacks the given entry or has one of another term."""
        log = self._state.log
        for index, entry in enumerate(entries, first_index):
            if index > log.last_index or log.term_at(index) != entry.term:
                is_uncommitted = index > self._commits.commit_index
                check_invariant(Invariant.RAFT_COMMITTED_ENTRY_REPLACED, holds=is_uncommitted)
                self._state.outbox.write(log.replace_from(index, entries[index - first_index :]))
                return

    def _respond(self, leader: str, *, success: bool, index: int) -> None:
        """Respond to a leader's message; `index` has the meaning of `AppendEntriesResponse.index`."""
        hard_state = self._state.hard_state
        response = AppendEntriesResponse(
            term=hard_state.term,
            success=success,
            index=index,
            disk_id=hard_state.disk_id,
            incarnation=self._incarnation,
            is_disk_trusted=not hard_state.stale_disk_suspected,
        )
        self._state.outbox.send(leader, response)
