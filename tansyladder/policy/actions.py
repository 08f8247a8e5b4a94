"""Actions that the policy asks its caller to perform.

Times and durations are integer microseconds. Times are on one monotonic clock.
"""

from __future__ import annotations

from typing import NamedTuple, Union


class StartAttempt(NamedTuple):
    """Start an attempt that times out after `timeout_us`, counted from now."""

    request_id: int
    endpoint_id: int
    timeout_us: int
    send_by_us: int | None = None  # a time before which the request must be sent, else not at all; None: none


class Reject(NamedTuple):
    """Answer that the request was not served and may safely be repeated. This answer is final."""

    request_id: int
    retry_after_us: int = 0


class Fail(NamedTuple):
    """Answer that the request failed and may have been executed. This answer is final."""

    request_id: int


class CancelAttempt(NamedTuple):
    """Stop waiting for an attempt."""

    request_id: int
    attempt: int


class SetTimer(NamedTuple):
    """Deliver `TimerExpired` at `due_at_us`."""

    due_at_us: int
    timer_id: int


class CheckHealth(NamedTuple):
    """Check the health of an endpoint; the caller reports the outcome as `HealthCheckResult`."""

    endpoint_id: int


class Migrate(NamedTuple):
    """End an established connection gracefully; its client reconnects."""

    request_id: int


class SendPeerMessage(NamedTuple):
    """Send bytes to one peer, or to all peers if `peer_index` is None."""

    peer_index: int | None
    data: bytes


class Log(NamedTuple):
    """Log a line for operators."""

    text: str


class PollDiscovery(NamedTuple):
    """Start polling discovery for changes, or stop."""

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
