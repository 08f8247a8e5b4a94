"""How far the log is committed, and the state machine that applies it."""

from __future__ import annotations

from tansyladder.raft.disk_admission import DiskAdmission
from tansyladder.raft.messages import CommitPosition, EntryKind, InstallSnapshot, LogEntry
from tansyladder.raft.node_state import NodeState
from tansyladder.raft.snapshots import Snapshots
from tansyladder.raft.state_machine import StateMachine


class CommittedLog:
    """Applies entries as they are committed. Owned by the node's thread."""

    def __init__(
        self, state: NodeState, admission: DiskAdmission, snapshots: Snapshots, state_machine: StateMachine
    ) -> None:
        """Begin at the snapshot, and apply what is known to be committed after it."""
        self._state = state
        self._admission = admission
        self._snapshots = snapshots
        self._state_machine = state_machine
        self.commit_index = state.log.snapshot.index
        self.last_applied = self.commit_index
        snapshots.load()
        self.commit_to(min(state.hard_state.committed_admission_index, state.log.last_index))

    @property
    def position(self) -> CommitPosition:
        """The last entry that is known to be committed."""
        return CommitPosition(self.commit_index, self._state.log.term_at(self.commit_index))

    def learn(self, position: CommitPosition) -> None:
        """Commit up to an entry that another node knows to be committed, if this log has the same one.

        A voter that was admitted knows it, but others may have the entry and not know that it is committed.
        """
        log = self._state.log
        is_news = self.commit_index < position.index <= log.last_index
        if is_news and log.term_at(position.index) == position.term:
            self.commit_to(position.index)

    def commit_to(self, index: int) -> None:
        """Commit and apply all entries up to an index; nothing if they are committed already."""
        while self.commit_index < index:
            self.commit_index += 1
            result = self._apply(self._state.log.entry(self.commit_index))
            self.last_applied = self.commit_index
            self._state.pending_proposals.resolve(self.commit_index, result)
        self._snapshots.compact_if_due(self.last_applied)

    def install_snapshot(self, message: InstallSnapshot) -> None:
        """Take a leader's snapshot, unless more than it holds is committed here already."""
        if message.last_included_index > self.commit_index:
            self._snapshots.install(message)
            self.commit_index = message.last_included_index
            self.last_applied = message.last_included_index

    def _apply(self, entry: LogEntry) -> bytes:
        """Return what the proposer is to be answered."""
        if entry.kind is EntryKind.ADMIT_DISK:
            self._admission.apply(self.commit_index, entry)
        return self._state_machine.apply(entry.data) if entry.kind is EntryKind.COMMAND else b""
