"""An event loop on a virtual clock."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

import numpy


class EventLoop:
    """Calls functions in the order of their times; functions with equal times in the order of scheduling."""

    def __init__(self) -> None:
        """Begin at time 0."""
        self.now = 0  # microseconds
        self._events: list[tuple[int, int, Callable[[], object]]] = []  # a heap ordered by time, then number
        self._event_numbers = itertools.count()

    def call_at(self, time_us: int, call: Callable[[], object]) -> None:
        """Schedule a call; a time in the past is replaced by the present time."""
        heapq.heappush(self._events, (max(time_us, self.now), next(self._event_numbers), call))

    def run_until(self, time_us: int) -> None:
        """Make all calls that are due until a time, and advance the clock to that time."""
        while self._events and self._events[0][0] <= time_us:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = time_us

    def call_randomly(
        self, rng: numpy.random.Generator, mean_interval_us: int, end: int, call: Callable[[], object]
    ) -> None:
        """Schedule calls at random intervals until `end`; schedule none if the mean interval is 0."""
        if not mean_interval_us:
            return
        time_us = self.now
        while (time_us := time_us + int(rng.exponential(mean_interval_us)) + 1) < end:
            self.call_at(time_us, call)
