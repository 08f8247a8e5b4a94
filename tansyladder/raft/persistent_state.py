"""The state of a node on its disk, and the writes that change it.

The structs are stored as maps; `rename` maps fields to the keys of the stored form.
"""

from __future__ import annotations

import msgspec
from msgspec.structs import replace

from tansyladder.raft.messages import START_OF_LOG, LogEntry, LogPosition

UNKNOWN_CANDIDATE = "-"  # the candidate of a vote that may have been granted, and that the disk has lost


class HardState(
    msgspec.Struct,
    frozen=True,
    rename={
        "voted_for": "vote",
        "disk_id": "ident",
        "initial_disks": "founders",
        "committed_admission_index": "sure",
        "stale_disk_suspected": "doubt",
        "vote_floor": "floor",
    },
):
    """Raft's current term and vote, and the identity of the disk itself. Immutable.

    It must be synced before a message that depends on it is sent.

    Attributes:
        term: The latest term that the node has seen.
        voted_for: The candidate that got this node's vote in `term`; empty if none did.
        disk_id: The name of this disk, drawn when its store was created.
        initial_disks: The disk with which each voter founded the cluster, by voter; empty until known.
        committed_admission_index: The newest disk admission in the log that is known to be committed. Without
            it a restart of all nodes could lose that knowledge, and with it the voter that was admitted.
        stale_disk_suspected: Whether the disk may be an older copy of itself. Independent of the role: a
            suspected node may follow a leader, but it neither votes nor counts.
        vote_floor: The furthest log position that other voters reported when the suspicion ended; a candidate
            whose log ends before it gets no vote.
    """

    term: int = 0
    voted_for: str = ""
    disk_id: str = ""
    initial_disks: dict[str, str] = {}
    committed_admission_index: int = 0
    stale_disk_suspected: bool = False
    vote_floor: LogPosition = START_OF_LOG

    def with_term(self, term: int) -> HardState:
        """Return the state in a new term, in which the node has granted no vote yet."""
        return replace(self, term=term, voted_for="")

    def with_vote(self, candidate: str) -> HardState:
        """Return the state after a vote for a candidate in the current term."""
        return replace(self, voted_for=candidate)

    def with_initial_disks(self, disks: dict[str, str]) -> HardState:
        """Return the state with the disks that founded the cluster, by voter."""
        return replace(self, initial_disks=disks)

    def with_committed_admission(self, index: int) -> HardState:
        """Return the state with the index of the newest committed disk admission."""
        return replace(self, committed_admission_index=index)

    def with_trusted_disk(self) -> HardState:
        """Return the state of a disk that is no longer suspected to be stale.

        The node may have voted in the current term without a record of it, so it grants no vote in this term.
        """
        return replace(self, stale_disk_suspected=False, voted_for=self.voted_for or UNKNOWN_CANDIDATE)

    def with_vote_floor(self, floor: LogPosition) -> HardState:
        """Return the state that denies its vote to a candidate whose log ends before a position."""
        return replace(self, vote_floor=floor)


class Snapshot(msgspec.Struct, frozen=True, rename={"voter_disks": "voters"}):
    """The state after the entry at `index`, which replaces all entries up to it. Immutable.

    Attributes:
        index: The last entry that the snapshot includes; 0 for an empty snapshot.
        term: The term of that entry.
        voter_disks: The disks that the log has admitted up to `index`, by voter.
        state: The state machine's own snapshot.
    """

    index: int = 0
    term: int = 0
    voter_disks: dict[str, str] = {}
    state: bytes = b""


class PersistentState(msgspec.Struct, frozen=True, rename={"hard_state": "hard"}):
    """The whole state on a disk; `entries` begin after the snapshot. Immutable."""

    hard_state: HardState = HardState()
    snapshot: Snapshot = Snapshot()
    entries: tuple[LogEntry, ...] = ()


class LogSuffix(msgspec.Struct, frozen=True):
    """Entries that replace all entries from `index` on. Immutable."""

    index: int
    entries: tuple[LogEntry, ...]


Write = HardState | Snapshot | LogSuffix
