"""Counted lines of one direction that went out and are not acknowledged, within bounds on their bytes."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Iterable

from tansyladder.invariants import check_invariant

LINE_OVERHEAD_BYTES = (
    64  # bytes that a kept line takes beside its text: its object's head and its place in the queue
)


class PositionError(Exception):
    """A position that this window can't serve: `ahead` of what there is, or `behind` what is kept."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class MemoryBudget:
    """Bytes that all windows of a node may keep together; safe to share between threads."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self._used_bytes = 0
        self._lock = threading.Lock()

    @property
    def used_bytes(self) -> int:
        return self._used_bytes

    def reserve(self, size_bytes: int) -> bool:
        """Reserve bytes; False, and nothing reserved, where they would go over the bound."""
        with self._lock:
            if self._used_bytes + size_bytes > self.limit_bytes:
                return False
            self._used_bytes += size_bytes
            return True

    def release(self, size_bytes: int) -> None:
        """Give reserved bytes back."""
        with self._lock:
            self._used_bytes -= size_bytes
            check_invariant(self._used_bytes >= 0, "resume_budget")


class ReplayBuffer:
    """Lines `base + 1` to `end`; counting goes on when keeping had to end."""

    __slots__ = (
        "_budget",
        "_lines",
        "_limit_bytes",
        "_size_bytes",
        "acknowledged_position",
        "end_position",
        "can_replay",
    )

    def __init__(self, budget: MemoryBudget, limit_bytes: int) -> None:
        self._budget, self._limit_bytes = budget, limit_bytes
        self._lines: deque[bytes] = deque()
        self._size_bytes = 0
        self.acknowledged_position = self.end_position = 0
        self.can_replay = True  # whether all after `base` can still be said again

    @property
    def size_bytes(self) -> int:
        """Bytes kept, with what each line costs beside its text."""
        return self._size_bytes

    def append(self, line: bytes) -> None:
        """Count a whole line and keep it; where it doesn't fit, nothing is kept from now on."""
        self.end_position += 1
        if not self.can_replay:
            return
        cost_bytes = len(line) + LINE_OVERHEAD_BYTES
        if self._size_bytes + cost_bytes > self._limit_bytes or not self._budget.reserve(cost_bytes):
            self.discard()
            return
        self._size_bytes += cost_bytes
        self._lines.append(line)

    def acknowledge(self, position: int) -> None:
        """The other end has all up to a position; an older one says nothing new. PositionError: ahead."""
        if position > self.end_position:
            raise PositionError("ahead")
        if not self.can_replay:
            self.acknowledged_position = max(self.acknowledged_position, position)
            return
        released_bytes = 0
        while self.acknowledged_position < position:
            self.acknowledged_position += 1
            released_bytes += len(self._lines.popleft()) + LINE_OVERHEAD_BYTES
        if released_bytes:
            self._size_bytes -= released_bytes
            self._budget.release(released_bytes)

    def lines_after(self, position: int) -> Iterable[bytes]:
        """The lines after a position, oldest first. PositionError where they are not all there."""
        if position > self.end_position:
            raise PositionError("ahead")
        if position < self.acknowledged_position or not self.can_replay:
            raise PositionError("behind")
        lines = iter(self._lines)
        for _ in range(position - self.acknowledged_position):
            next(lines)
        return lines

    def discard(self) -> None:
        """Keep nothing more and give the bytes back; counting goes on."""
        self.can_replay = False
        self._lines.clear()
        self._budget.release(self._size_bytes)
        self._size_bytes = 0
