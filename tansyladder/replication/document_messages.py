"""Entries of the log about documents and leases, and their results."""

from __future__ import annotations

import msgspec


class Proposal(msgspec.Struct, frozen=True, array_like=True, tag="offer"):
    """Somebody wants a document changed. `ask` names the wish: said again, it is the same one."""

    name: str
    digest: bytes
    size: int
    idempotency_key: str
    node: str
    timestamp_us: int


class ValidationVote(msgspec.Struct, frozen=True, array_like=True, tag="verdict"):
    """A node has the content on its disk and finds it sound, or says with the fault's path why not."""

    number: int
    node: str
    timestamp_us: int
    fault: str = ""


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag="arm"):
    """All have said yes: from here on leases are short."""

    number: int
    node: str
    timestamp_us: int
    short_lease_us: int


class Prepared(msgspec.Struct, frozen=True, array_like=True, tag="armed"):
    """A node has cut its lease to the short one, counted from `at`, in that round."""

    number: int
    round: int
    node: str
    timestamp_us: int


class Commit(msgspec.Struct, frozen=True, array_like=True, tag="hold"):
    """All have armed, or hold no lease: the document is to be in force."""

    number: int
    node: str
    timestamp_us: int


class Abort(msgspec.Struct, frozen=True, array_like=True, tag="drop"):
    """The change is off; or with no reason: its leases need not be short for now."""

    number: int
    node: str
    timestamp_us: int
    reason: str = ""


class LeaseGrant(msgspec.Struct, frozen=True, array_like=True, tag="lease"):
    """These starts of nodes were heard of a moment ago, and may decide for so long."""

    incarnations: tuple[str, ...]
    duration_us: int
    node: str
    timestamp_us: int


class LeaseRelease(msgspec.Struct, frozen=True, array_like=True, tag="leave"):
    """A node decides nothing any more, and gives back its lease."""

    node: str
    timestamp_us: int


DocumentCommand = Proposal | ValidationVote | Prepare | Prepared | Commit | Abort | LeaseGrant | LeaseRelease


class LeaseRenewal(msgspec.Struct, frozen=True, array_like=True, tag="here"):
    """To the leader, beside the log: a node's start is there, and wants to go on deciding."""

    incarnation: str


class ChangeResult(msgspec.Struct, frozen=True, array_like=True):
    """What became of an entry: `done`, or a word for why not; the number that it is about."""

    outcome: str
    number: int = 0
    reason: str = ""
