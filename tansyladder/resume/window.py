"""Counted lines of one direction that went out and are not acknowledged, within bounds on their bytes."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Iterable

from tansyladder.invariants import check_invariant

LINE_COST = 64  # bytes that a kept line takes beside its text: its object's head and its place in the queue


class PositionError(Exception):
    """A position that this window can't serve: `ahead` of what there is, or `behind` what is kept."""

    def __init__(self, why: str) -> None:
        super().__init__(why)
        self.why = why


class Budget:
    """Bytes that all windows of a node may keep together; safe to share between threads."""

    def __init__(self, most: int) -> None:
        self.most = most
        self._used = 0
        self._lock = threading.Lock()

    @property
    def used(self) -> int:
        return self._used

    def take(self, size: int) -> bool:
        """Reserve bytes; False, and nothing reserved, where they would go over the bound."""
        with self._lock:
            if self._used + size > self.most:
                return False
            self._used += size
            return True

    def give(self, size: int) -> None:
        """Give reserved bytes back."""
        with self._lock:
            self._used -= size
            check_invariant(self._used >= 0, "resume_budget")


class Window:
    """Lines `base + 1` to `end`; counting goes on when keeping had to end."""

    __slots__ = ("_budget", "_lines", "_most", "_size", "base", "end", "kept")

    def __init__(self, budget: Budget, most: int) -> None:
        self._budget, self._most = budget, most
        self._lines: deque[bytes] = deque()
        self._size = 0
        self.base = self.end = 0
        self.kept = True  # whether all after `base` can still be said again

    @property
    def size(self) -> int:
        """Bytes kept, with what each line costs beside its text."""
        return self._size

    def add(self, line: bytes) -> None:
        """Count a whole line and keep it; where it doesn't fit, nothing is kept from now on."""
        self.end += 1
        if not self.kept:
            return
        cost = len(line) + LINE_COST
        if self._size + cost > self._most or not self._budget.take(cost):
            self.stop()
            return
        self._size += cost
        self._lines.append(line)

    def ack(self, position: int) -> None:
        """The other end has all up to a position; an older one says nothing new. PositionError: ahead."""
        if position > self.end:
            raise PositionError("ahead")
        if not self.kept:
            self.base = max(self.base, position)
            return
        given = 0
        while self.base < position:
            self.base += 1
            given += len(self._lines.popleft()) + LINE_COST
        if given:
            self._size -= given
            self._budget.give(given)

    def since(self, position: int) -> Iterable[bytes]:
        """The lines after a position, oldest first. PositionError where they are not all there."""
        if position > self.end:
            raise PositionError("ahead")
        if position < self.base or not self.kept:
            raise PositionError("behind")
        lines = iter(self._lines)
        for _ in range(position - self.base):
            next(lines)
        return lines

    def stop(self) -> None:
        """Keep nothing more and give the bytes back; counting goes on."""
        self.kept = False
        self._lines.clear()
        self._budget.give(self._size)
        self._size = 0
