"""Commands about documents and leases that the replicated log holds, and their results.

Arrays, their order and the tags are the encoded form: a class or a field may be renamed, its place and its
tag stay. In every message `node` names the incarnation (NAME/START) that proposed it, and `timestamp_us` is
the Unix time in microseconds at which it did so, by its own clock.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

import msgspec


class Proposal(msgspec.Struct, frozen=True, array_like=True, tag="offer"):
    """Change a document to new content, which is named by its digest.

    Proposals with the same `idempotency_key` are one change: the second one gets the result of the first.
    """

    name: str
    digest: bytes
    size: int  # bytes
    idempotency_key: str
    node: str
    timestamp_us: int


class ValidationVote(msgspec.Struct, frozen=True, array_like=True, tag="verdict"):
    """A node has the content of a change on its disk and accepts it, or rejects it with the fault's path."""

    number: int
    node: str
    timestamp_us: int
    fault: str = ""


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag="arm"):
    """All nodes have accepted the change: begin a round in which they shorten their leases."""

    number: int
    node: str
    timestamp_us: int
    short_lease_us: int


class Prepared(msgspec.Struct, frozen=True, array_like=True, tag="armed"):
    """A node has shortened its lease in that round; the short lease counts from `timestamp_us`."""

    number: int
    round: int
    node: str
    timestamp_us: int


class Commit(msgspec.Struct, frozen=True, array_like=True, tag="hold"):
    """All participants are prepared or have no lease any more: put the new version in force."""

    number: int
    node: str
    timestamp_us: int


class Abort(msgspec.Struct, frozen=True, array_like=True, tag="drop"):
    """End the change for a reason; without a reason, only its round: leases may be long again."""

    number: int
    node: str
    timestamp_us: int
    reason: str = ""


class LeaseGrant(msgspec.Struct, frozen=True, array_like=True, tag="lease"):
    """The leader has heard from these incarnations a moment ago and gives each a lease."""

    incarnations: tuple[str, ...]
    duration_us: int
    node: str
    timestamp_us: int


class LeaseRelease(msgspec.Struct, frozen=True, array_like=True, tag="leave"):
    """A node makes no decisions any more and gives its lease back."""

    node: str
    timestamp_us: int


ChangeCommand = ValidationVote | Prepare | Prepared | Commit | Abort  # about the change that is pending
DocumentCommand = Proposal | ChangeCommand | LeaseGrant | LeaseRelease


class LeaseRenewal(msgspec.Struct, frozen=True, array_like=True, tag="here"):
    """A node tells the leader, beside the log, that it is up and wants its lease renewed."""

    incarnation: str


class ChangeOutcome(StrEnum):
    """What became of a command. The values are the encoded form, and the words of the operators' answers."""

    DONE = "done"
    IN_PROGRESS = "under way"
    BUSY = "busy"  # another change is pending
    REJECTED = "refused"  # by a node's validation, or as it exceeds a limit
    ABORTED = "dropped"  # by the leader
    STALE = "over"  # about a change or a round that has ended
    TOO_EARLY = "early"  # a condition for this step is not met yet
    LEASES_FROZEN = "armed"  # no leases are granted while the change is prepared
    UNKNOWN = "not known"  # not decided as far as this node knows; never a result of the log


class ChangeResult(msgspec.Struct, frozen=True, array_like=True):
    """The result of a command, and the number of the change that it is about; 0: of none."""

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
    detail: str  # the fault or the reason; empty where there is none


def change_step(command: object) -> ChangeStep | None:
    """Describe a step that a node or the leader takes in a change; None for commands that aren't logged.

    A node's `Prepared` isn't logged, as every participant sends one in each round.
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
