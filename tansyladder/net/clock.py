"""The node's clocks: monotonic times, and their conversion from and to wall times and Unix times.

A moment is a time of the monotonic clock, as a `timedelta` since the zero of that clock.
"""

from __future__ import annotations

import time
from datetime import UTC, datetime, timedelta

MICROSECOND = timedelta(microseconds=1)
MILLISECOND = timedelta(milliseconds=1)
EPOCH = datetime(1970, 1, 1, tzinfo=UTC)  # the zero of Unix time


def now() -> timedelta:
    """Return the current time of the monotonic clock, in whole microseconds."""
    return timedelta(microseconds=time.monotonic_ns() // 1000)


def seconds_left(moment: timedelta) -> float:
    """Return the seconds until a moment, as the timeout of a blocking call; 0 once it has passed."""
    return max(0.0, (moment - now()).total_seconds())


def milliseconds_left(moment: timedelta) -> int:
    """Return the milliseconds until a moment, as the timeout of `poll`; 0 once it has passed.

    The result is rounded up: rounded down, the wait would end before the moment and the caller would spin.
    """
    return max(0, -((now() - moment) // MILLISECOND))


class Clock:
    """Converts between moments, wall times and the policy's times (integer microseconds of Unix time).

    Both clocks are read once, at construction, so that a later step of the wall clock moves no deadline.
    Immutable, thus thread-safe.
    """

    def __init__(self) -> None:
        self._wall_time_at_zero = datetime.now(UTC) - now()  # when the monotonic clock was zero
        self._unix_us_at_zero = (self._wall_time_at_zero - EPOCH) // MICROSECOND

    def to_unix_us(self, moment: timedelta) -> int:
        """Convert a moment to the policy's time: microseconds of Unix time."""
        return moment // MICROSECOND + self._unix_us_at_zero

    def from_unix_us(self, unix_us: int) -> timedelta:
        """Convert the policy's time, in microseconds of Unix time, to a moment."""
        return timedelta(microseconds=unix_us - self._unix_us_at_zero)

    def from_wall_time(self, wall: datetime) -> timedelta:
        """Convert a wall time to a moment, which is negative for a time before the monotonic clock's zero."""
        return wall - self._wall_time_at_zero
