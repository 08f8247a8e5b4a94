"""Delay notes: how long messages take at each pool member, told to the module as the simulator does."""

from __future__ import annotations

import threading
from collections import deque
from datetime import timedelta

from tansyladder.net.clock import now

EVERY = timedelta(seconds=1)  # a note a member at most, while its messages take long
WINDOW = timedelta(seconds=1)  # what is heard within it is taken together
KEPT = 64


class _Heard:
    __slots__ = ("noted_at", "over", "samples")

    def __init__(self) -> None:
        self.samples: deque[tuple[timedelta, timedelta]] = deque(maxlen=KEPT)
        self.noted_at = timedelta(0)
        self.over = False


class DelayMeter:
    """Collects the delays of all connections to a member and says when a note is due."""

    def __init__(self, bound: timedelta) -> None:
        self._bound = bound
        self._members: dict[int, _Heard] = {}
        self._lock = threading.Lock()

    def heard(self, member: int, delay: timedelta) -> timedelta | None:
        """Take in a message's delay; the value of a note where one is due."""
        moment = now()
        with self._lock:
            at = self._members.setdefault(member, _Heard())
            at.samples.append((moment, delay))
            while at.samples[0][0] < moment - WINDOW:
                at.samples.popleft()
            value = sorted(d for _, d in at.samples)[len(at.samples) // 2]
            if value > self._bound:
                if at.over and moment - at.noted_at < EVERY:
                    return None
                at.over, at.noted_at = True, moment
                return value
            if at.over:
                at.over = False
                return value
            return None
