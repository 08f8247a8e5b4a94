"""The errors of this package, with the reasons that are sent to clients and logged."""

from __future__ import annotations

from enum import StrEnum


class ResumeRejection(StrEnum):
    """Why a token was rejected. The value is sent after `ERR resume` and written to the log."""

    MALFORMED = "malformed"  # not a token of this version
    ELSEWHERE = "elsewhere"  # sealed by another issuer: another node, or an earlier start without a store
    FORGED = "forged"  # the key is unknown, or the token or the client's binding fails authentication
    EXPIRED = "expired"
    SPENT = "spent"  # redeemed, or older than a redeemed token
    CLAIMED = "claimed"  # another resume of the session is in progress
    AHEAD = "ahead"  # the client claims to have received lines that were never sent
    BEHIND = "behind"  # the client lacks lines that can no longer be replayed
    ENDED = "ended"  # the client or the stream host ended the session
    MOVED = "moved"  # the client was redirected to open a new session
    LOST = "lost"  # a replay buffer overflowed
    NO_CAPACITY = "room"  # too many sessions were suspended
    DRAINING = "draining"  # the node is shutting down
    STORE = "store"  # the store could not record that the token is redeemed


class PositionMismatch(StrEnum):
    """Why a session can't continue from a position."""

    AHEAD = "ahead"  # the position is ahead of the newest line
    BEHIND = "behind"  # the position is behind the oldest line that can be replayed
    NO_POSITION = "no_position"  # the stream host sent no position


class ResumptionError(Exception):
    """Base of the errors of this package."""


class ControlMessageError(ResumptionError):
    """A control line is malformed, or its sender may not send it."""


class PositionError(ResumptionError):
    """The session can't continue from a position; `reason` says why."""

    def __init__(self, reason: PositionMismatch) -> None:
        super().__init__(reason)
        self.reason = reason


class TokenError(ResumptionError):
    """A token is rejected; `reason` is sent to the client."""

    def __init__(self, reason: ResumeRejection) -> None:
        super().__init__(reason)
        self.reason = reason
