"""What goes between the agreement of two nodes, and what it writes down. Indexes count entries from 1."""

from __future__ import annotations

from enum import IntEnum

import msgspec

LogPosition = tuple[
    int, int
]  # an entry's term and index; of two logs, the one whose last place is higher wins


class EntryKind(IntEnum):
    """What an entry is for."""

    NO_OP = 0  # a new leader's first, which commits what came before it
    COMMAND = 1  # for the state that the log decides
    ADMIT_DISK = (
        2  # `request_id` names a voter, `data` the disk and the start with which it votes from now on
    )


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log; `request_id` is its proposer's name for it."""

    term: int
    kind: EntryKind = EntryKind.NO_OP
    request_id: str = ""
    data: bytes = b""


class Handshake(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """Who a node is on this disk and at this start, and how far its log goes.

    `initial_disks`: which voters' disks it knows to have founded the fleet; none: none.
    """

    disk_id: str
    incarnation: str  # drawn anew at each one
    initial_disks: dict[str, str]
    recipient_incarnation: str = ""  # the start of whom it is for, as far as the sender knows
    wants_reply: bool = False  # an answer that names the sender's start
    term: int = 0
    last_position: LogPosition = (0, 0)


class CommitPosition(msgspec.Struct, frozen=True, array_like=True):
    """How far its sender knows the log to be committed: whoever has that same entry knows it as well."""

    index: int
    term: int


class RequestVote(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """For a vote in this term; `pre_vote`: whether it would be given, which binds nobody (pre-vote)."""

    term: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool
    committed: CommitPosition


class VoteResponse(msgspec.Struct, frozen=True, array_like=True, tag="vote"):
    """The answer to it, under the disk that gives it."""

    term: int
    granted: bool
    pre_vote: bool
    disk_id: str
    committed: CommitPosition


class AppendEntries(msgspec.Struct, frozen=True, array_like=True, tag="append"):
    """A leader's entries behind one that both should have, and how far the log is committed."""

    term: int
    prev_log_index: int
    prev_log_term: int
    entries: tuple[LogEntry, ...]
    leader_commit: int


class AppendEntriesResponse(msgspec.Struct, frozen=True, array_like=True, tag="appended"):
    """How far the log agrees with the leader's; where it doesn't (`success` false), where to try again."""

    term: int
    success: bool
    index: int
    disk_id: str
    incarnation: str
    is_disk_trusted: bool  # whether its disk is known to hold all that it ever acknowledged


class InstallSnapshot(msgspec.Struct, frozen=True, array_like=True, tag="install"):
    """The state up to an entry that the leader has no more."""

    term: int
    last_included_index: int
    last_included_term: int
    voter_disks: dict[str, str]
    state: bytes


class ProposalRequest(msgspec.Struct, frozen=True, array_like=True, tag="propose"):
    """For the leader: an entry of another node."""

    request_id: str
    data: bytes


class ProposalResult(msgspec.Struct, frozen=True, array_like=True, tag="decided"):
    """What became of a proposal; none: nothing that this node knows of, it may be asked for again."""

    request_id: str
    result: bytes | None


Message = (
    Handshake
    | RequestVote
    | VoteResponse
    | AppendEntries
    | AppendEntriesResponse
    | InstallSnapshot
    | ProposalRequest
    | ProposalResult
)
