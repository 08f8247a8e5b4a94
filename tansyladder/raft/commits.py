"""The commit index of the log, and the application of committed entries to the state machine."""

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
        """Load the snapshot, and apply the entries up to the last disk admission known to be committed."""
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

    def observe_commit(self, position: CommitPosition) -> None:
        """Commit up to an entry that another node knows to be committed, if this log holds that entry.

        The position arrives with votes, because voters may differ in the disk admissions that they know to
        be committed. A voter whose new disk was admitted knows that its admission is committed. Another voter
        may hold the entry of that admission without knowing this, and wouldn't count the first one's vote.
        """
        log = self._state.log
        is_new = self.commit_index < position.index <= log.last_index
        if is_new and log.term_at(position.index) == position.term:
            self.commit_to(position.index)

    def commit_to(self, index: int) -> None:
        """Commit and apply all entries up to an index; does nothing if they are committed already."""
        while self.commit_index < index:
            self.commit_index += 1
            result = self._apply(self._state.log.entry(self.commit_index))
            self.last_applied = self.commit_index
            self._state.pending_proposals.resolve(self.commit_index, result)
        self._snapshots.compact_if_due(self.last_applied)

    def install_snapshot(self, message: InstallSnapshot) -> None:
        """Install a leader's snapshot, unless this node has committed all entries that it includes."""
        if message.last_included_index > self.commit_index:
            self._snapshots.install(message)
            self.commit_index = message.last_included_index
            self.last_applied = message.last_included_index

    def _apply(self, entry: LogEntry) -> bytes:
        """Apply a committed entry, and return the result for its proposer."""
        if entry.kind is EntryKind.ADMIT_DISK:
            self._admission.apply(self.commit_index, entry)
        return self._state_machine.apply(entry.data) if entry.kind is EntryKind.COMMAND else b""
