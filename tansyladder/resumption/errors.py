"""The errors of this package, and the reasons that clients and operators get."""

from __future__ import annotations

from enum import StrEnum


class ResumeRejection(StrEnum):
    """Why a token was rejected. The value is sent after `ERR resume` and written to the log."""

    MALFORMED = "malformed"  # no token of this version
    ELSEWHERE = "elsewhere"  # sealed by another issuer: another node, or an earlier start of this one
    FORGED = "forged"  # the authentication of the token, its key or the client's claims fails
    EXPIRED = "expired"
    SPENT = "spent"  # redeemed, or older than a redeemed one
    CLAIMED = "claimed"  # another resume of the session is in progress
    AHEAD = "ahead"  # the client has lines that were never sent
    BEHIND = "behind"  # the client lacks lines that it acknowledged
    ENDED = "ended"
    MOVED = "moved"  # the client was redirected to open a new session
    LOST = "lost"  # a buffer overflowed
    NO_CAPACITY = "room"  # too many sessions were suspended
    DRAINING = "draining"  # the node is shutting down
    STORE = "store"  # the store could not record that the token is redeemed


class PositionMismatch(StrEnum):
    """Why a session can't continue from a position."""

    AHEAD = "ahead"  # it is ahead of the newest line
    BEHIND = "behind"  # it is behind the oldest line that can be replayed
    NO_POSITION = "no_position"  # the stream host sent no position


class ResumptionError(Exception):
    """Base of the errors of this package."""


class ControlMessageError(ResumptionError):
    """A control line that is malformed, or that its sender may not send."""


class PositionError(ResumptionError):
    """A position from which the session can't continue, for `reason`."""

    def __init__(self, reason: PositionMismatch) -> None:
        super().__init__(reason)
        self.reason = reason


class TokenError(ResumptionError):
    """A token that is rejected; the client gets `reason`."""

    def __init__(self, reason: ResumeRejection) -> None:
        super().__init__(reason)
        self.reason = reason
