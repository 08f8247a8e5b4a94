"""Truncated binary exponential backoff whose successive intervals never overlap.

After the n-th failure in a row, the time of the retry is drawn uniformly from an interval of 2^n slots, with
n capped. The usual algorithm starts the interval at the failure. Here it starts at the end of the previous
interval if that is later. If many clients fail together, all first retries are therefore due before any
second one, and the retries spread out further with each round. The caller decides whether to retry and how
long a slot is.
"""

from __future__ import annotations

from random import Random


class Backoff:
    """The number of failures in a row, the end of the current interval, and the retry time drawn from it.

    Times are in microseconds.
    """

    __slots__ = ("failure_count", "interval_end", "retry_at")

    def __init__(self) -> None:
        self.failure_count = 0
        self.interval_end = 0
        self.retry_at = 0

    def record_failure(self, now: int, slot_us: int, max_failure_count: int, rng: Random) -> None:
        """Start the next interval after a failure, and draw the time of the retry from it.

        Args:
            now: The time of the failure, in microseconds.
            slot_us: The length of a slot; the interval after the n-th failure has 2^n slots.
            max_failure_count: The number of failures from which the interval stops growing.
            rng: The source of the random draw.
        """
        start = max(now, self.interval_end)
        self.failure_count = min(self.failure_count + 1, max_failure_count)
        width = slot_us << self.failure_count
        self.retry_at = start + rng.randint(0, width)
        self.interval_end = start + width
