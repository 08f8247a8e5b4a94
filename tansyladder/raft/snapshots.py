"""Snapshots: they replace applied entries, and are sent to followers that lack compacted entries."""

from __future__ import annotations

from tansyladder.raft.messages import InstallSnapshot
from tansyladder.raft.node_state import NodeState
from tansyladder.raft.persistent_state import Snapshot
from tansyladder.raft.state_machine import StateMachine
from tansyladder.raft.voter_disks import VoterDisks

SNAPSHOT_THRESHOLD = 1024  # applied entries in the log; once reached, a snapshot replaces them


class Snapshots:
    """Creates and installs snapshots of the state machine. Owned by the node's thread."""

    def __init__(self, state: NodeState, disks: VoterDisks, state_machine: StateMachine) -> None:
        """Start with the log's snapshot; `load` restores the state machine from it."""
        self._state = state
        self._disks = disks
        self._state_machine = state_machine

    def load(self) -> None:
        """Restore the state machine from the log's snapshot, if there is one."""
        snapshot = self._state.log.snapshot
        if snapshot.index:
            self._state_machine.restore(snapshot.state)

    def compact_if_due(self, last_applied: int) -> None:
        """Replace the applied entries by a snapshot if there are at least `SNAPSHOT_THRESHOLD`."""
        log = self._state.log
        if last_applied - log.snapshot.index >= SNAPSHOT_THRESHOLD:
            snapshot = log.compact(last_applied, self._disks.admitted, self._state_machine.snapshot())
            self._state.outbox.write(snapshot)

    def install(self, message: InstallSnapshot) -> None:
        """Replace the state, and the entries that a leader's snapshot includes, by that snapshot."""
        snapshot = Snapshot(
            message.last_included_index, message.last_included_term, message.voter_disks, message.state
        )
        suffix = self._state.log.install(snapshot)
        self._disks.restore(snapshot.voter_disks)
        self._state_machine.restore(snapshot.state)
        self._state.outbox.write(snapshot)
        self._state.outbox.write(suffix)

    def message(self) -> InstallSnapshot:
        """Return the message that carries the log's snapshot to a follower."""
        snapshot = self._state.log.snapshot
        return InstallSnapshot(
            self._state.term, snapshot.index, snapshot.term, snapshot.voter_disks, snapshot.state
        )
