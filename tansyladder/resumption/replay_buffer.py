"""Replay buffers, which hold the unacknowledged lines of one direction of a session, bounded in bytes."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Iterable

from tansyladder.invariants import Invariant, check_invariant
from tansyladder.resumption.errors import PositionError, PositionMismatch

LINE_OVERHEAD_BYTES = 64  # of each buffered line: the header of the bytes object and the entry in the deque


class MemoryBudget:
    """The memory, in bytes, that all replay buffers of a node share. Thread-safe."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self._used_bytes = 0
        self._lock = threading.Lock()

    @property
    def used_bytes(self) -> int:
        """The number of reserved bytes."""
        return self._used_bytes

    def reserve(self, size_bytes: int) -> bool:
        """Reserve bytes and return True; if that exceeds the limit, reserve nothing and return False."""
        with self._lock:
            if self._used_bytes + size_bytes > self.limit_bytes:
                return False
            self._used_bytes += size_bytes
            return True

    def release(self, size_bytes: int) -> None:
        """Release reserved bytes."""
        with self._lock:
            self._used_bytes -= size_bytes
            check_invariant(Invariant.REPLAY_BUDGET_NEGATIVE, holds=self._used_bytes >= 0)


class ReplayBuffer:
    """The lines after `acknowledged_position` up to `end_position`; the first line has position 1.

    Once a limit is exceeded, the buffer discards its lines and stores no further ones, but still counts them.
    Owned by the session's thread.
    """

    __slots__ = (
        "_budget",
        "_limit_bytes",
        "_lines",
        "_size_bytes",
        "acknowledged_position",
        "can_replay",
        "end_position",
    )

    def __init__(self, budget: MemoryBudget, limit_bytes: int) -> None:
        """Create a buffer of at most `limit_bytes`, within the `budget` of all buffers of the node."""
        self._budget = budget
        self._limit_bytes = limit_bytes
        self._lines: deque[bytes] = deque()
        self._size_bytes = 0
        self.acknowledged_position = 0
        self.end_position = 0
        self.can_replay = True  # whether all lines after `acknowledged_position` are buffered

    @property
    def size_bytes(self) -> int:
        """The size of the buffered lines, including LINE_OVERHEAD_BYTES for each."""
        return self._size_bytes

    def append(self, line: bytes) -> None:
        """Count a complete line and buffer it; if it exceeds a limit, all buffered lines are discarded."""
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
        """Drop the lines up to a position; a position that is already acknowledged changes nothing.

        Raises:
            PositionError: The position is ahead of the newest line.
        """
        if position > self.end_position:
            raise PositionError(PositionMismatch.AHEAD)
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
        """Return the lines after a position, oldest first.

        Raises:
            PositionError: The position is ahead of the newest line, or not all lines after it are buffered.
        """
        if position > self.end_position:
            raise PositionError(PositionMismatch.AHEAD)
        if position < self.acknowledged_position or not self.can_replay:
            raise PositionError(PositionMismatch.BEHIND)
        lines = iter(self._lines)
        for _ in range(position - self.acknowledged_position):
            next(lines)
        return lines

    def restart_at(self, position: int) -> None:
        """Set the position of an empty buffer to the one that the receiver of its lines has reported."""
        self.acknowledged_position = position
        self.end_position = position

    def discard(self) -> None:
        """Discard the buffered lines and buffer no further ones; lines are still counted."""
        self.can_replay = False
        self._lines.clear()
        self._budget.release(self._size_bytes)
        self._size_bytes = 0
