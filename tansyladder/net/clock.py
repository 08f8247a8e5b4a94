"""The node's clock: moments are spans since the monotonic clock's zero, wall times are mapped once."""

from __future__ import annotations

import time
from datetime import UTC, datetime, timedelta

MICROSECOND = timedelta(microseconds=1)
EPOCH = datetime(1970, 1, 1, tzinfo=UTC)


def now() -> timedelta:
    """This moment on the monotonic clock."""
    return timedelta(microseconds=time.monotonic_ns() // 1000)


def seconds_left(moment: timedelta) -> float:
    """What a blocking call may wait until a moment."""
    return max(0.0, (moment - now()).total_seconds())


class Clock:
    """Maps wall times onto the monotonic clock, and moments to the module's integer microseconds."""

    def __init__(self) -> None:
        self._zero = datetime.now(UTC) - now()  # the wall time at the monotonic clock's zero
        self._base = (self._zero - EPOCH) // MICROSECOND

    def micros(self, moment: timedelta) -> int:
        """A moment in the module's time."""
        return moment // MICROSECOND + self._base

    def moment(self, micros: int) -> timedelta:
        """The module's time as a moment."""
        return timedelta(microseconds=micros - self._base)

    def of_wall(self, wall: datetime) -> timedelta:
        """A wall time as a moment; it may lie before the clock's zero."""
        return wall - self._zero
