"""The errors of this package, and the reasons that clients and operators are told."""

from __future__ import annotations

from enum import StrEnum


class ResumeRejection(StrEnum):
    """Why a token does not resume its session; the value follows `ERR resume` and stands in the log."""

    MALFORMED = "malformed"  # no token of this version
    ELSEWHERE = "elsewhere"  # sealed by another node, or in an earlier life of this one
    FORGED = "forged"  # the seal does not match the token, the key or the client's claims
    EXPIRED = "expired"
    SPENT = "spent"  # redeemed, or older than a redeemed one
    CLAIMED = "claimed"  # another resume of the session is in progress
    AHEAD = "ahead"  # the client has lines that were never sent
    BEHIND = "behind"  # the client lacks lines that it acknowledged
    ENDED = "ended"
    MOVED = "moved"  # the client was told to open a new session
    LOST = "lost"  # a buffer overflowed
    NO_CAPACITY = "room"  # too many sessions waited for their clients
    DRAINING = "draining"  # the node is shutting down
    STORE = "store"  # the store could not record that the token is redeemed


class PositionMismatch(StrEnum):
    """How a position does not fit the lines that are buffered."""

    AHEAD = "ahead"  # of the newest line
    BEHIND = "behind"  # the oldest line that can be replayed
    SILENT = "no_position"  # the stream host sent no position


class ResumptionError(Exception):
    """Base of the errors of this package."""


class ControlMessageError(ResumptionError):
    """A control line that its sender must not send."""


class PositionError(ResumptionError):
    """A position from which the session can't continue; `reason` says how it does not fit."""

    def __init__(self, reason: PositionMismatch) -> None:
        super().__init__(reason)
        self.reason = reason


class TokenError(ResumptionError):
    """A token that resumes nothing; `reason` is what its presenter is told."""

    def __init__(self, reason: ResumeRejection) -> None:
        super().__init__(reason)
        self.reason = reason
