"""A wall clock that does not step back, so that expired values do not become valid again."""

from __future__ import annotations

from collections.abc import Callable


class ForwardClock:
    """Returns the latest Unix time that a store has read from the system clock, in microseconds.

    Thread-safe without a lock: two threads that call `now_us` concurrently may set the latest time back, but
    by no more than the difference between their two readings.
    """

    def __init__(self, read_clock: Callable[[], int], latest_us: int) -> None:
        self._read_clock = read_clock
        self._latest_us = max(latest_us, read_clock())

    @property
    def latest_us(self) -> int:
        """The latest time so far, without reading the clock."""
        return self._latest_us

    def now_us(self) -> int:
        """Read the clock, and return its time, or the latest one if the clock has stepped back."""
        self._latest_us = max(self._read_clock(), self._latest_us)
        return self._latest_us
