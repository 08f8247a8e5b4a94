"""Actions that the policy asks its caller to perform.

Moments and spans are integer microseconds; moments are on one clock that never goes back.
"""

from __future__ import annotations

from typing import NamedTuple, Union


class StartAttempt(NamedTuple):
    """Start an attempt, which times out so long from now."""

    request_id: int
    endpoint_id: int
    timeout_us: int


class Reject(NamedTuple):
    """Give the final answer: not served, and a repetition does no harm."""

    request_id: int
    retry_after_us: int = 0


class Fail(NamedTuple):
    """Give the final answer that the request failed; it may have run."""

    request_id: int


class CancelAttempt(NamedTuple):
    """Stop waiting on one attempt."""

    request_id: int
    attempt: int


class SetTimer(NamedTuple):
    """Deliver `TimerExpired` at a moment."""

    due_at_us: int
    timer_id: int


class CheckHealth(NamedTuple):
    """Check the health of an endpoint; `HealthCheckResult` follows."""

    endpoint_id: int


class Migrate(NamedTuple):
    """End an established connection gracefully; its client reconnects."""

    request_id: int


class SendPeerMessage(NamedTuple):
    """Send bytes to a peer, or to all (None)."""

    peer_index: int | None
    data: bytes


class Log(NamedTuple):
    """Log a line for the operators."""

    text: str


class PollDiscovery(NamedTuple):
    """Poll discovery for changes from now on, or stop."""

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
