"""Errors that end a session or one of its connections, and the reasons that are logged for them."""

from __future__ import annotations

from datetime import timedelta
from enum import StrEnum

from tansyladder.net import protocol
from tansyladder.policy.events import AttemptStatus
from tansyladder.resumption.token_registry import SessionEnd

# Tells a client whose token is rejected now to try it again after this time.
RETRY_SOON_LINE = protocol.format_reject(timedelta(milliseconds=200))


class UpstreamLossReason(StrEnum):
    """Why a session lost its stream host; logged as `reason` of `session_moved` and `session_rejected`."""

    RESTART = "restart"  # the session was restored and has no stream host yet
    MIGRATED_BY_POLICY = "migrated_by_policy"
    STALLED = "stalled"  # the host does not accept any bytes
    RESPONSE_TIMEOUT = "response_timeout"  # the host did not answer in time
    CONNECTION_RESET = "connection_reset"
    CONNECTION_CLOSED = "connection_closed"  # the host closed its connection without BYE
    INVALID_LINE = "invalid_line"
    INVALID_CONTROL_MESSAGE = "invalid_control_message"
    MOVED_BY_ENDPOINT = "moved_by_endpoint"  # the host sent MOVE
    FINISHED = "finished"  # the host sent BYE while the client was disconnected


class SuspendReason(StrEnum):
    """Why a session lost its client; logged as `reason` of `session_suspended`."""

    CONNECTION_LOST = "connection_lost"
    STALLED = "stalled"  # the client does not accept any bytes


class SessionError(Exception):
    """Base of the errors of this package."""


class UpstreamLostError(SessionError):
    """The session has lost its stream host and may continue at another one.

    `status` is reported to the policy as the status of the attempt.
    """

    def __init__(self, status: AttemptStatus, reason: UpstreamLossReason) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class SessionEndedError(SessionError):
    """The session ends.

    `status` is reported to the policy as the status of the attempt. `last_line` is sent to the client before
    its connection is closed.
    """

    def __init__(
        self,
        session_end: SessionEnd,
        status: AttemptStatus = AttemptStatus.CANCELLED,
        last_line: bytes = b"",
    ) -> None:
        super().__init__(session_end.value)
        self.session_end = session_end
        self.status = status
        self.last_line = last_line


class ResumeRejectedError(SessionError):
    """A resume was rejected, which leaves the session unchanged; `answer` is the line for the client."""

    def __init__(self, answer: bytes) -> None:
        super().__init__(answer.decode().strip())
        self.answer = answer
