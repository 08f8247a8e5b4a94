"""Modified binary exponential backoff."""

from random import Random


class Backoff:
    """The number of failures in a row, the interval that the last one opened, and the retry drawn in it."""

    __slots__ = ("n", "end", "at")

    def __init__(self) -> None:
        self.n = 0
        self.end = 0
        self.at = 0

    def failed(self, now: int, slot_us: int, max_attempt: int, rng: Random) -> None:
        """Draw the retry evenly from an interval of 2^attempt slots that starts where the last one ends."""
        # So retries after one number of failures never fall together with those after another.
        start = max(now, self.end)
        self.n = min(self.n + 1, max_attempt)
        width = slot_us << self.n
        self.at = start + rng.randint(0, width)
        self.end = start + width
