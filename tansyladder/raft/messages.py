"""Messages between the nodes of a Raft cluster, and the entries of its log.

Log indexes count from 1. The messages are encoded as arrays: the order of their fields and their tags are the
format on the wire and in the log.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

import msgspec


class LogPosition(NamedTuple):
    """The end of a log. Of two logs, the one with the higher position is more up to date."""

    term: int
    log_index: int


START_OF_LOG = LogPosition(0, 0)


class EntryKind(IntEnum):
    """The purpose of a log entry."""

    NO_OP = 0  # a new leader's first entry; its commit also commits the entries of earlier terms
    COMMAND = 1  # a command for the state machine
    ADMIT_DISK = 2  # `request_id` names a voter, `data` the disk and the incarnation with which it votes


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log; a command's `request_id` is chosen by the node that proposed it."""

    term: int
    kind: EntryKind = EntryKind.NO_OP
    request_id: str = ""
    data: bytes = b""


class Handshake(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """Identifies a node, its disk and its incarnation, and reports the end of its log.

    Attributes:
        disk_id: The name of the sender's disk.
        incarnation: Identifies this start of the sender; drawn anew at each start.
        initial_disks: The disk that each voter had when the cluster was founded; empty if not known.
        recipient_incarnation: The last incarnation of the recipient that the sender knows; empty if none.
        wants_reply: Whether the sender hasn't yet received a handshake that names its own incarnation.
        term: The sender's term.
        last_position: The end of the sender's log.
    """

    disk_id: str
    incarnation: str
    initial_disks: dict[str, str]
    recipient_incarnation: str = ""
    wants_reply: bool = False
    term: int = 0
    last_position: LogPosition = START_OF_LOG


class CommitPosition(msgspec.Struct, frozen=True, array_like=True):
    """The last entry that the sender knows to be committed.

    A recipient whose log holds the same entry can therefore commit it too.
    """

    index: int
    term: int


class RequestVote(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """Requests a vote in `term`; with `pre_vote`, asks whether it would be granted, which isn't binding."""

    term: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool
    committed: CommitPosition


class VoteResponse(msgspec.Struct, frozen=True, array_like=True, tag="vote"):
    """The response to `RequestVote`; `disk_id` is the disk on which the sender votes.

    `term` is that of the request if the vote is granted, else the sender's own.
    """

    term: int
    granted: bool
    pre_vote: bool
    disk_id: str
    committed: CommitPosition


class AppendEntries(msgspec.Struct, frozen=True, array_like=True, tag="append"):
    """Sends the entries of the leader's log after `prev_log_index`; without entries, it is a heartbeat."""

    term: int
    prev_log_index: int
    prev_log_term: int
    entries: tuple[LogEntry, ...]
    leader_commit: int


class AppendEntriesResponse(msgspec.Struct, frozen=True, array_like=True, tag="appended"):
    """The response to `AppendEntries` and `InstallSnapshot`.

    Attributes:
        term: The follower's term.
        success: Whether the follower's log agrees with the leader's up to `index`.
        index: The index up to which the logs agree; without success, the index after which to retry.
        disk_id: The name of the follower's disk.
        incarnation: Identifies this start of the follower.
        is_disk_trusted: Whether the disk is known to hold all entries that the follower acknowledged.
    """

    term: int
    success: bool
    index: int
    disk_id: str
    incarnation: str
    is_disk_trusted: bool


class InstallSnapshot(msgspec.Struct, frozen=True, array_like=True, tag="install"):
    """Sends a snapshot, which replaces entries that the leader has compacted."""

    term: int
    last_included_index: int
    last_included_term: int
    voter_disks: dict[str, str]
    state: bytes


class ProposalRequest(msgspec.Struct, frozen=True, array_like=True, tag="propose"):
    """A proposed command, which other nodes forward to the leader."""

    request_id: str
    data: bytes


class ProposalResult(msgspec.Struct, frozen=True, array_like=True, tag="decided"):
    """The state machine's result of a proposal.

    `result` is None if the outcome is unknown: the proposal may be lost, or may be committed later.
    """

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

# Plain tuples rather than classes, because `RaftNode.handle` reads or creates one for each message.
ReceivedMessage = tuple[str, Message]  # the sender and its message
SentMessage = tuple[str, Message]  # the recipient and the message to send
