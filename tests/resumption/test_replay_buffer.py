"""The limits of a replay buffer."""

from __future__ import annotations

import pytest

from tansyladder.resumption.errors import PositionError
from tansyladder.resumption.replay_buffer import LINE_OVERHEAD_BYTES, MemoryBudget, ReplayBuffer


def test_an_overflowing_buffer_releases_its_memory_and_keeps_counting() -> None:
    budget = MemoryBudget(1000)
    buffer = ReplayBuffer(budget, 3 * (LINE_OVERHEAD_BYTES + 10))
    for _ in range(3):
        buffer.append(b"x" * 10)
    assert buffer.can_replay
    assert budget.used_bytes == 3 * (LINE_OVERHEAD_BYTES + 10)
    buffer.append(b"x")
    assert (buffer.can_replay, budget.used_bytes, buffer.end_position) == (False, 0, 4)
    buffer.acknowledge(4)
    with pytest.raises(PositionError, match="behind"):
        buffer.lines_after(4)
