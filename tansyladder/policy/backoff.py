"""Modified binary exponential backoff."""

from random import Random


class Backoff:
    """The number of failures in a row, the interval that the last one opened, and the retry drawn in it."""

    __slots__ = ("attempt", "interval_end", "retry_at")

    def __init__(self) -> None:
        self.attempt = 0
        self.interval_end = 0
        self.retry_at = 0

    def record_failure(self, now: int, slot_us: int, max_attempt: int, rng: Random) -> None:
        """Draw the retry evenly from an interval of 2^attempt slots that starts where the last one ends."""
        # So retries after one number of failures never fall together with those after another.
        start = max(now, self.interval_end)
        self.attempt = min(self.attempt + 1, max_attempt)
        width = slot_us << self.attempt
        self.retry_at = start + rng.randint(0, width)
        self.interval_end = start + width
