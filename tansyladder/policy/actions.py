"""Actions that the decision module asks its caller to perform.

Moments and spans are integer microseconds; moments are on one clock that never goes back.
"""

from __future__ import annotations

from typing import NamedTuple, Union


class StartAttempt(NamedTuple):
    """Start an attempt; `timeout` is relative."""

    request_id: int
    endpoint_id: int
    timeout_us: int


class Reject(NamedTuple):
    """Final answer: not served, trying again is harmless."""

    request_id: int
    retry_after_us: int = 0


class Fail(NamedTuple):
    """Final answer that promises nothing."""

    request_id: int


class CancelAttempt(NamedTuple):
    """Stop waiting on one attempt."""

    request_id: int
    attempt: int


class SetTimer(NamedTuple):
    """Ask for a Timer event at a clock time."""

    due_at_us: int
    timer_id: int


class CheckHealth(NamedTuple):
    """Ask a server how it does."""

    endpoint_id: int


class Migrate(NamedTuple):
    """End a standing connection politely; its client comes again."""

    request_id: int


class SendPeerMessage(NamedTuple):
    """Send bytes to a peer, or to all (None)."""

    peer_index: int | None
    data: bytes


class Log(NamedTuple):
    """A line for the operators."""

    text: str


class PollDiscovery(NamedTuple):
    """Ask discovery for changes from now on, or stop."""

    is_enabled: bool


Action = Union[
    StartAttempt,
    Reject,
    Fail,
    CancelAttempt,
    SetTimer,
    CheckHealth,
    Migrate,
    SendPeerMessage,
    Log,
    PollDiscovery,
]
