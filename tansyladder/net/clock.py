"""The node's clock: moments are spans since the monotonic clock's zero, and wall times are mapped to them."""

from __future__ import annotations

import time
from datetime import UTC, datetime, timedelta

MICROSECOND = timedelta(microseconds=1)
MILLISECOND = timedelta(milliseconds=1)
EPOCH = datetime(1970, 1, 1, tzinfo=UTC)  # of Unix time


def now() -> timedelta:
    """Return this moment on the monotonic clock, to the microsecond."""
    return timedelta(microseconds=time.monotonic_ns() // 1000)


def seconds_left(moment: timedelta) -> float:
    """Return the seconds until a moment, for the timeout of a blocking call; 0 once it has passed."""
    return max(0.0, (moment - now()).total_seconds())


def milliseconds_left(moment: timedelta) -> int:
    """Return the milliseconds until a moment, for `poll`; 0 once it has passed.

    Rounded up: a wait that was rounded down would end before the moment, and its caller would spin.
    """
    return max(0, -((now() - moment) // MILLISECOND))


class Clock:
    """Maps wall times onto the monotonic clock, and moments to the policy's integer microseconds.

    Both clocks are read once, at construction, so that no later step of the wall clock moves a deadline.
    Immutable, thus thread-safe.
    """

    def __init__(self) -> None:
        self._zero = datetime.now(UTC) - now()  # the wall time at the monotonic clock's zero
        self._base = (self._zero - EPOCH) // MICROSECOND

    def micros(self, moment: timedelta) -> int:
        """Return a moment in the policy's time: microseconds of Unix time."""
        return moment // MICROSECOND + self._base

    def moment(self, micros: int) -> timedelta:
        """Return the moment of a time of the policy, in microseconds of Unix time."""
        return timedelta(microseconds=micros - self._base)

    def of_wall(self, wall: datetime) -> timedelta:
        """Return the moment of a wall time; it may lie before the monotonic clock's zero."""
        return wall - self._zero
