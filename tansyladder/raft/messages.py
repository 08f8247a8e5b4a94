"""What goes between the agreement of two nodes, and what it writes down. Indexes count entries from 1."""

from __future__ import annotations

from enum import IntEnum

import msgspec

Place = tuple[int, int]  # an entry's term and index; of two logs, the one whose last place is higher wins


class EntryKind(IntEnum):
    """What an entry is for."""

    NOTHING = 0  # a new leader's first, which commits what came before it
    DATA = 1  # for the state that the log decides
    ADMIT = 2  # `request` names a voter, `data` the disk and the start with which it votes from now on


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log; `request` is its proposer's name for it."""

    term: int
    kind: EntryKind = EntryKind.NOTHING
    request: str = ""
    data: bytes = b""


class Handshake(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """Who a node is on this disk and at this start, and how far its log goes.

    `founders`: which voters' disks it knows to have founded the fleet; none: none.
    """

    ident: str
    start: str  # drawn anew at each one
    founders: dict[str, str]
    to: str = ""  # the start of whom it is for, as far as the sender knows
    wants: bool = False  # an answer that names the sender's start
    term: int = 0
    last: Place = (0, 0)


class CommitPosition(msgspec.Struct, frozen=True, array_like=True):
    """How far its sender knows the log to be committed: whoever has that same entry knows it as well."""

    index: int
    term: int


class RequestVote(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """For a vote in this term; `trial`: whether it would be given, which binds nobody (pre-vote)."""

    term: int
    last_index: int
    last_term: int
    trial: bool
    committed: CommitPosition


class VoteResponse(msgspec.Struct, frozen=True, array_like=True, tag="vote"):
    """The answer to it, under the disk that gives it."""

    term: int
    given: bool
    trial: bool
    ident: str
    committed: CommitPosition


class AppendEntries(msgspec.Struct, frozen=True, array_like=True, tag="append"):
    """A leader's entries behind one that both should have, and how far the log is committed."""

    term: int
    before: int
    before_term: int
    entries: tuple[Entry, ...]
    commit: int


class AppendEntriesResponse(msgspec.Struct, frozen=True, array_like=True, tag="appended"):
    """How far the log agrees with the leader's; where it doesn't (`fits` false), where to try again."""

    term: int
    fits: bool
    index: int
    ident: str
    start: str
    counts: bool  # whether its disk is known to hold all that it ever acknowledged


class InstallSnapshot(msgspec.Struct, frozen=True, array_like=True, tag="install"):
    """The state up to an entry that the leader has no more."""

    term: int
    index: int
    index_term: int
    voters: dict[str, str]
    state: bytes


class Propose(msgspec.Struct, frozen=True, array_like=True, tag="propose"):
    """For the leader: an entry of another node."""

    request: str
    data: bytes


class ProposalResult(msgspec.Struct, frozen=True, array_like=True, tag="decided"):
    """What became of a proposal; none: nothing that this node knows of, it may be asked for again."""

    request: str
    result: bytes | None


Message = (
    Handshake
    | RequestVote
    | VoteResponse
    | AppendEntries
    | AppendEntriesResponse
    | InstallSnapshot
    | Propose
    | ProposalResult
)


class HardState(msgspec.Struct, frozen=True):
    """What must never be forgotten: the term, the vote in it, the disk's name and those of the founders.

    `sure`: the entry of the last admission that is known to be committed; a voter that was admitted, and
    nobody knows of any more, could not be counted. `doubt`: the disk may be an older copy. `floor`: the
    furthest log that the others told of when the doubt ended; a log that ends before gets no vote.
    """

    term: int = 0
    vote: str = ""
    ident: str = ""
    founders: dict[str, str] = {}
    sure: int = 0
    doubt: bool = False
    floor: Place = (0, 0)


class Snapshot(msgspec.Struct, frozen=True):
    """The state after an entry, in place of all entries up to it."""

    index: int = 0
    term: int = 0
    voters: dict[str, str] = {}
    state: bytes = b""


class PersistentState(msgspec.Struct, frozen=True):
    """All that a disk holds; `entries` begin behind the snapshot."""

    hard: HardState = HardState()
    snapshot: Snapshot = Snapshot()
    entries: tuple[Entry, ...] = ()


class LogSuffix(msgspec.Struct, frozen=True):
    """Entries to write from an index on; whatever was there from it on is void."""

    index: int
    entries: tuple[Entry, ...]


Write = HardState | Snapshot | LogSuffix
