"""Truncated binary exponential backoff, modified so that successive intervals never overlap.

After the n-th failure in a row a retry is drawn evenly from an interval of 2^n slots, with n capped. The
usual interval starts at the failure; here it starts where the last one ends, if that is later. So retries
after one number of failures never fall together with those after another, and a burst of failures thins out
with each round. Whether there may be a retry, and how long a slot is, is for the caller to decide.
"""

from __future__ import annotations

from random import Random


class Backoff:
    """The number of failures in a row, the interval that the last one opened, and the retry drawn in it."""

    __slots__ = ("attempt", "interval_end", "retry_at")

    def __init__(self) -> None:
        self.attempt = 0
        self.interval_end = 0
        self.retry_at = 0

    def record_failure(self, now: int, slot_us: int, max_attempt: int, rng: Random) -> None:
        """Open the next interval after a failure, and draw the retry from it.

        Args:
            now: The moment of the failure, in microseconds.
            slot_us: The slot: the interval after the n-th failure has 2^n of them.
            max_attempt: The number of failures from which intervals grow no more.
            rng: Where the retry is drawn from.
        """
        start = max(now, self.interval_end)
        self.attempt = min(self.attempt + 1, max_attempt)
        width = slot_us << self.attempt
        self.retry_at = start + rng.randint(0, width)
        self.interval_end = start + width
