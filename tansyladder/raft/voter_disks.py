"""The disk on which each voter counts, and majorities of voters on such disks."""

from __future__ import annotations

from collections.abc import Collection

from tansyladder.raft.node_state import NodeState


class VoterDisks:
    """The disks of the cluster's nodes. Owned by the node's thread.

    A voter votes and counts only on its admitted disk: the last one that the log has admitted for it, or else
    the disk that it had when the cluster was founded.
    """

    def __init__(self, state: NodeState) -> None:
        """Start with the admitted disks of the snapshot."""
        self._state = state
        self._admitted = dict(state.log.snapshot.voter_disks)
        self._current = {state.name: state.hard_state.disk_id}  # by node; those heard from since the start

    @property
    def admitted(self) -> dict[str, str]:
        """A copy of the disks that the log has admitted in place of the initial ones, by voter."""
        return dict(self._admitted)

    def admit(self, voter: str, disk_id: str) -> None:
        """Admit a disk for a voter, in place of its earlier one."""
        self._admitted[voter] = disk_id

    def restore(self, admitted: dict[str, str]) -> None:
        """Replace the admitted disks by those of a snapshot."""
        self._admitted = dict(admitted)

    def observe(self, node: str, disk_id: str) -> None:
        """Record the disk that a node uses now."""
        self._current[node] = disk_id

    def current(self, node: str) -> str:
        """Return the disk that a node uses now; raise KeyError if it has sent no message since the start."""
        return self._current[node]

    def is_admitted(self, voter: str, disk_id: str) -> bool:
        """Whether a voter counts on a disk, according to the entries that this node knows to be committed."""
        admitted_disk = self._admitted.get(voter) or self._state.hard_state.initial_disks.get(voter)
        return admitted_disk == disk_id

    @property
    def is_voting(self) -> bool:
        """Whether this node votes and counts: a voter on an admitted disk that is not suspected."""
        state = self._state
        hard_state = state.hard_state
        is_admitted = state.name in state.voters and self.is_admitted(state.name, hard_state.disk_id)
        return is_admitted and not hard_state.stale_disk_suspected

    def counted_voters(self) -> list[str]:
        """Return the voters that are known to run on their admitted disks; this node may be one of them."""
        return [
            name
            for name in self._state.voters
            if name in self._current and self.is_admitted(name, self._current[name])
        ]

    def has_majority(self, names: Collection[str]) -> bool:
        """Whether these nodes and this one include more than half of all voters, on admitted disks."""
        count = sum(name in names or name == self._state.name for name in self.counted_voters())
        return count * 2 > len(self._state.voters)
