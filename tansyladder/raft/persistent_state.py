"""What a node keeps on disk, and the writes that change it."""

from __future__ import annotations

import msgspec

from tansyladder.raft.messages import LogEntry, LogPosition


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
    """State that must be on disk before a message that rests on it leaves.

    Raft's current term and vote, and the identity of the disk itself.

    Attributes:
        term: The latest term that the node has seen.
        voted_for: The candidate that got this node's vote in `term`; empty if none did.
        disk_id: The name of this disk, drawn when it was made.
        initial_disks: The disk with which each voter founded the cluster, by voter; empty until known.
        committed_admission_index: The newest disk admission in the log that is known to be committed. Without
            it a voter whose admission nobody remembers as committed could not be counted.
        stale_disk_suspected: Whether the disk may be an older copy of itself.
        vote_floor: The furthest log position that other voters reported when the suspicion ended; a candidate
            whose log ends before it gets no vote.
    """

    term: int = 0
    voted_for: str = ""
    disk_id: str = ""
    initial_disks: dict[str, str] = {}
    committed_admission_index: int = 0
    stale_disk_suspected: bool = False
    vote_floor: LogPosition = (0, 0)


class Snapshot(msgspec.Struct, frozen=True, rename={"voter_disks": "voters"}):
    """The state after an entry, in place of all entries up to it."""

    index: int = 0
    term: int = 0
    voter_disks: dict[str, str] = {}
    state: bytes = b""


class PersistentState(msgspec.Struct, frozen=True, rename={"hard_state": "hard"}):
    """All that a disk holds; `entries` begin behind the snapshot."""

    hard_state: HardState = HardState()
    snapshot: Snapshot = Snapshot()
    entries: tuple[LogEntry, ...] = ()


class LogSuffix(msgspec.Struct, frozen=True):
    """Entries to write from an index on; whatever was there from it on is void."""

    index: int
    entries: tuple[LogEntry, ...]


Write = HardState | Snapshot | LogSuffix
