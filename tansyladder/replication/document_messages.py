"""The commands about documents and leases in the replicated log, and their results.

The messages are encoded as arrays. A tag identifies the class and the position identifies the field, so a
class or a field may be renamed as long as its tag or position stays the same. In every message `number` is
that of the change, `node` is the incarnation (NAME/START) that proposed it, and `timestamp_us` is the Unix
time of the proposal by that node's clock, in microseconds.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

import msgspec


class Proposal(msgspec.Struct, frozen=True, array_like=True, tag="offer"):
    """Proposes a new content for a document; `digest` identifies the content.

    Proposals with the same `idempotency_key` are one change: a repeated one gets the result of the first.
    """

    name: str
    digest: bytes
    size: int  # bytes
    idempotency_key: str
    node: str
    timestamp_us: int


class ValidationVote(msgspec.Struct, frozen=True, array_like=True, tag="verdict"):
    """A node's vote on a change: it has stored and accepted the content, or rejects it with a reason."""

    number: int
    node: str
    timestamp_us: int
    validation_error: str = ""


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag="arm"):
    """Begins a round in which the participants shorten their leases, after all have accepted the change."""

    number: int
    node: str
    timestamp_us: int
    short_lease_us: int


class Prepared(msgspec.Struct, frozen=True, array_like=True, tag="armed"):
    """Reports that a node has shortened its lease in a round; the short lease starts at `timestamp_us`."""

    number: int
    round: int
    node: str
    timestamp_us: int


class Commit(msgspec.Struct, frozen=True, array_like=True, tag="hold"):
    """Commits the change, after the long leases of all participants have been shortened or have ended."""

    number: int
    node: str
    timestamp_us: int


class Abort(msgspec.Struct, frozen=True, array_like=True, tag="drop"):
    """Aborts the change for a reason; without one, ends only its round, so that leases may be long again."""

    number: int
    node: str
    timestamp_us: int
    reason: str = ""


class LeaseGrant(msgspec.Struct, frozen=True, array_like=True, tag="lease"):
    """Grants leases, from `timestamp_us` on, to the incarnations that have recently asked for renewal."""

    incarnations: tuple[str, ...]
    duration_us: int
    node: str
    timestamp_us: int


class LeaseRelease(msgspec.Struct, frozen=True, array_like=True, tag="leave"):
    """Releases a node's lease, because the node no longer makes decisions."""

    node: str
    timestamp_us: int


ChangeCommand = ValidationVote | Prepare | Prepared | Commit | Abort  # concern the pending change
DocumentCommand = Proposal | ChangeCommand | LeaseGrant | LeaseRelease


class LeaseRenewal(msgspec.Struct, frozen=True, array_like=True, tag="here"):
    """Asks the leader, outside the log, to renew a node's lease."""

    incarnation: str


class ChangeOutcome(StrEnum):
    """The outcome of a command. The values are the encoded form, and appear in answers to operators."""

    DONE = "done"
    IN_PROGRESS = "under way"
    BUSY = "busy"  # another change is pending
    REJECTED = "refused"  # a node's validation failed, or a limit was exceeded
    ABORTED = "dropped"  # the leader has aborted the change
    STALE = "over"  # the command concerns a change or a round that has ended
    TOO_EARLY = "early"  # a condition for this command is not met yet
    LEASES_FROZEN = "armed"  # no leases are granted while a change is prepared
    UNKNOWN = "not known"  # this node knows no decision; never the result of a command


class ChangeResult(msgspec.Struct, frozen=True, array_like=True):
    """The result of a command; `number` is that of the change that it concerns, or 0 if it concerns none."""

    outcome: ChangeOutcome
    number: int = 0
    reason: str = ""


class ChangeStepName(StrEnum):
    """A step of a node or the leader in a change; the field `step` of the event `document_change_step`."""

    VOTE = "vote"  # this node accepts the change or rejects it
    PREPARE = "prepare"
    COMMIT = "commit"
    ABORT = "abort"


class ChangeStep(NamedTuple):
    """A step of a change, as the log event reports it."""

    name: ChangeStepName
    number: int
    detail: str  # the validation error or the reason; empty if there is none


def change_step(command: object) -> ChangeStep | None:
    """Return the step of a change that a command takes, or None if it isn't reported in the log.

    `Prepared` isn't reported, because every participant proposes one in each round.
    """
    match command:
        case ValidationVote():
            return ChangeStep(ChangeStepName.VOTE, command.number, command.validation_error)
        case Prepare():
            return ChangeStep(ChangeStepName.PREPARE, command.number, "")
        case Commit():
            return ChangeStep(ChangeStepName.COMMIT, command.number, "")
        case Abort():
            return ChangeStep(ChangeStepName.ABORT, command.number, command.reason)
    return None
