"""The timers that the policy has set, in a heap that the policy runner's lock guards."""

from __future__ import annotations

import heapq
import threading
from datetime import timedelta

from tansyladder.net.clock import now
from tansyladder.policy.events import TimerExpired

IDLE_WAIT_SECONDS = 60.0  # how long the timer thread waits at a time if no timer is set


class PolicyTimers:
    """The timers that have not expired yet. Every method is called with the policy runner's lock held."""

    def __init__(self, lock: threading.Lock) -> None:
        self._heap: list[tuple[timedelta, int]] = []  # moment of expiry, and the policy's token
        self._changed = threading.Condition(lock)
        self._is_stopped = False

    def set(self, moment: timedelta, token: int) -> None:
        """Set a timer, and wake the timer thread if this timer is the next one to expire."""
        heapq.heappush(self._heap, (moment, token))
        if self._heap[0][1] == token:
            self._changed.notify()

    def stop(self) -> None:
        """Prevent any timer from expiring from now on, and wake the timer thread."""
        self._is_stopped = True
        self._changed.notify()

    def wait_for_expired(self) -> list[TimerExpired]:
        """Wait, with the lock released, until timers have expired; remove and return them.

        Returns an empty list after `stop`.
        """
        while not self._is_stopped and (not self._heap or self._heap[0][0] > now()):
            seconds = (self._heap[0][0] - now()).total_seconds() if self._heap else IDLE_WAIT_SECONDS
            self._changed.wait(max(0.0, seconds))
        if self._is_stopped:
            return []
        moment = now()
        expired = []
        while self._heap and self._heap[0][0] <= moment:
            _, token = heapq.heappop(self._heap)
            expired.append(TimerExpired(token))
        return expired
