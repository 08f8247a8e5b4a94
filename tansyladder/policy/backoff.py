"""Modified binary exponential backoff of one key."""

from __future__ import annotations

from random import Random


class Backoff:
    """A key's retry number, the end of its current interval, and the retry drawn in it."""

    __slots__ = ("at", "end", "n")

    def __init__(self) -> None:
        self.n = self.end = self.at = 0

    def failed(self, now: int, slot: int, cap: int, rng: Random) -> None:
        """Raise n and draw in the next interval, which starts where the last one ends, if that is to come."""
        start = max(now, self.end)
        self.n = min(self.n + 1, cap)
        width = slot << self.n
        self.at, self.end = start + rng.randint(0, width), start + width
