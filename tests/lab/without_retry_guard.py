"""Runs the program without one guard of retry safety: `python -m tests.lab.without_retry_guard GUARD`."""

from __future__ import annotations

import sys
from enum import Enum
from typing import Any

from tansyladder.__main__ import main
from tansyladder.policy import attempt_sending, endpoint_draw, final_answers, retries


class RetryGuard(Enum):
    """A guard of retry safety; the value is the argument of this program."""

    REJECTION = "rejection"  # a request that may have been executed is rejected only if a repetition is safe
    RETRY = "retry"  # it gets another attempt only if that is safe
    SEND_TIME = "send_time"  # that attempt is sent only within the window


def allow(*_: Any) -> bool:
    """Find anything safe."""
    return True


def no_deadline(*_: Any) -> None:
    """Set no time by which a request must be sent."""


def take_out(guard: RetryGuard) -> None:
    """Take a guard out of this process."""
    match guard:
        case RetryGuard.REJECTION:
            vars(final_answers)["may_be_rejected"] = allow
        case RetryGuard.RETRY:
            vars(retries)["may_execute_again"] = allow
            vars(endpoint_draw)["may_execute_on"] = allow
        case RetryGuard.SEND_TIME:
            vars(attempt_sending)["send_deadline"] = no_deadline


if __name__ == "__main__":
    take_out(RetryGuard(sys.argv.pop()))
    sys.exit(main())
