"""A wall clock that never steps back, so that expired values never become valid again."""

from __future__ import annotations

from collections.abc import Callable


class ForwardClock:
    """The latest Unix time that a store has seen, in microseconds.

    Thread-safe without a lock: two threads that read at once may set the latest time back by what lies
    between their two readings, and no further.
    """

    def __init__(self, read_clock: Callable[[], int], latest_us: int) -> None:
        self._read_clock = read_clock
        self._latest_us = max(latest_us, read_clock())

    @property
    def latest_us(self) -> int:
        """The latest time that was read."""
        return self._latest_us

    def now_us(self) -> int:
        """Read the clock; return the latest time where the clock has stepped back."""
        self._latest_us = max(self._read_clock(), self._latest_us)
        return self._latest_us
