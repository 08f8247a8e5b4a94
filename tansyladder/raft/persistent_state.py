"""The state of a node on its disk, and the writes that change it.

The structs are stored as maps; `rename` gives the stored key of each field whose name differs from its key.
"""

from __future__ import annotations

import msgspec
from msgspec.structs import replace

from tansyladder.raft.messages import START_OF_LOG, LogEntry, LogPosition

UNKNOWN_CANDIDATE = "-"  # placeholder for the candidate of a vote that the disk may have lost


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

    It must be synced before any message that depends on it is sent.

    Attributes:
        term: The latest term that the node has seen.
        voted_for: The candidate for which this node voted in `term`; empty if it hasn't voted, and
            `UNKNOWN_CANDIDATE` if it may have voted but lost the record.
        disk_id: The name of this disk, generated when its store was created.
        initial_disks: The disk that each voter had when the cluster was founded, by voter; empty until known.
        committed_admission_index: The index of the newest disk admission that is known to be committed.
            Without it, a restart of all nodes could lose that knowledge, and the admitted voter would no
            longer count.
        stale_disk_suspected: Whether the disk may be an older copy of itself. This doesn't depend on the
            role: a node with a suspected disk may follow a leader, but neither votes nor counts.
        vote_floor: The highest log position that the other voters had reported when the suspicion ended. A
            candidate whose log ends before it gets no vote.
    """

    term: int = 0
    voted_for: str = ""
    disk_id: str = ""
    initial_disks: dict[str, str] = {}
    committed_admission_index: int = 0
    stale_disk_suspected: bool = False
    vote_floor: LogPosition = START_OF_LOG

    def with_term(self, term: int) -> HardState:
        """Return the state at the beginning of a term, without a vote."""
        return replace(self, term=term, voted_for="")

    def with_vote(self, candidate: str) -> HardState:
        """Return the state after a vote for a candidate in the current term."""
        return replace(self, voted_for=candidate)

    def with_initial_disks(self, disks: dict[str, str]) -> HardState:
        """Return the state with the disks that the voters had when the cluster was founded."""
        return replace(self, initial_disks=disks)

    def with_committed_admission(self, index: int) -> HardState:
        """Return the state with the index of the newest committed disk admission."""
        return replace(self, committed_admission_index=index)

    def with_trusted_disk(self) -> HardState:
        """Return the state of a disk that is no longer suspected to be stale.

        The node may have voted in the current term and lost the record, so it grants no vote in this term.
        """
        return replace(self, stale_disk_suspected=False, voted_for=self.voted_for or UNKNOWN_CANDIDATE)

    def with_vote_floor(self, floor: LogPosition) -> HardState:
        """Return the state in which a candidate whose log ends before a position gets no vote."""
        return replace(self, vote_floor=floor)


class Snapshot(msgspec.Struct, frozen=True, rename={"voter_disks": "voters"}):
    """The state after the entry at `index`; a snapshot replaces all entries up to that one. Immutable.

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
