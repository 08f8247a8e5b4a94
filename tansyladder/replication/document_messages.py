"""Commands about documents and leases that the replicated log holds, and their results.

The messages are encoded as arrays: the order of their fields and their tags are the encoded form, so a class
or a field may be renamed while its position and its tag stay. In every message `node` is the incarnation
(NAME/START) that proposed it, and `timestamp_us` is the Unix time of the proposal by that node's clock, in
microseconds.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

import msgspec


class Proposal(msgspec.Struct, frozen=True, array_like=True, tag="offer"):
    """Proposes to change a document to a new content, which its digest identifies.

    Proposals with the same `idempotency_key` are one change: a repeated one gets the result of the first.
    """

    name: str
    digest: bytes
    size: int  # bytes
    idempotency_key: str
    node: str
    timestamp_us: int


class ValidationVote(msgspec.Struct, frozen=True, array_like=True, tag="verdict"):
    """A node's vote on a change: it has stored and accepts the content, or it rejects it with a fault."""

    number: int
    node: str
    timestamp_us: int
    fault: str = ""


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag="arm"):
    """Begins a round in which all participants shorten their leases, as all have accepted the change."""

    number: int
    node: str
    timestamp_us: int
    short_lease_us: int


class Prepared(msgspec.Struct, frozen=True, array_like=True, tag="armed"):
    """Reports that a node has shortened its lease in a round; the short lease counts from `timestamp_us`."""

    number: int
    round: int
    node: str
    timestamp_us: int


class Commit(msgspec.Struct, frozen=True, array_like=True, tag="hold"):
    """Puts the new version in force, as no participant holds a long lease any more."""

    number: int
    node: str
    timestamp_us: int


class Abort(msgspec.Struct, frozen=True, array_like=True, tag="drop"):
    """Ends the change for a reason; without one ends only its round, so that leases may be long again."""

    number: int
    node: str
    timestamp_us: int
    reason: str = ""


class LeaseGrant(msgspec.Struct, frozen=True, array_like=True, tag="lease"):
    """Grants a lease to each of the incarnations that have sent the leader a renewal in time."""

    incarnations: tuple[str, ...]
    duration_us: int
    node: str
    timestamp_us: int


class LeaseRelease(msgspec.Struct, frozen=True, array_like=True, tag="leave"):
    """Releases a node's lease, as the node makes no decisions any more."""

    node: str
    timestamp_us: int


ChangeCommand = ValidationVote | Prepare | Prepared | Commit | Abort  # about the change that is pending
DocumentCommand = Proposal | ChangeCommand | LeaseGrant | LeaseRelease


class LeaseRenewal(msgspec.Struct, frozen=True, array_like=True, tag="here"):
    """Asks the leader, outside the log, to renew a node's lease."""

    incarnation: str


class ChangeOutcome(StrEnum):
    """The outcome of a command. The values are the encoded form, and the words of the operators' answers."""

    DONE = "done"
    IN_PROGRESS = "under way"
    BUSY = "busy"  # another change is pending
    REJECTED = "refused"  # by a node's validation, or because it exceeds a limit
    ABORTED = "dropped"  # by the leader
    STALE = "over"  # about a change or a round that has ended
    TOO_EARLY = "early"  # a condition of this step is not met yet
    LEASES_FROZEN = "armed"  # no leases are granted while a change is prepared
    UNKNOWN = "not known"  # this node knows of no decision; never a result of the log


class ChangeResult(msgspec.Struct, frozen=True, array_like=True):
    """The result of a command, and the number of the change that it concerns; 0 if it concerns none."""

    outcome: ChangeOutcome
    number: int = 0
    reason: str = ""


class ChangeStepName(StrEnum):
    """What a node or the leader does in a change; `step` of the log event `document_change_step`."""

    VOTE = "vote"  # this node accepts the change or rejects it
    PREPARE = "prepare"
    COMMIT = "commit"
    ABORT = "abort"


class ChangeStep(NamedTuple):
    """A step of a change, as it is logged."""

    name: ChangeStepName
    number: int
    detail: str  # the fault or the reason; empty if there is none


def change_step(command: object) -> ChangeStep | None:
    """Return the step that a command takes in a change, or None if the command isn't logged.

    `Prepared` isn't logged, as every participant proposes one in each round.
    """
    match command:
        case ValidationVote():
            return ChangeStep(ChangeStepName.VOTE, command.number, command.fault)
        case Prepare():
            return ChangeStep(ChangeStepName.PREPARE, command.number, "")
        case Commit():
            return ChangeStep(ChangeStepName.COMMIT, command.number, "")
        case Abort():
            return ChangeStep(ChangeStepName.ABORT, command.number, command.reason)
    return None
