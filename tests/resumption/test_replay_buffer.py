"""Bounds of a replay buffer."""

from __future__ import annotations

import pytest

from tansyladder.resumption.errors import PositionError
from tansyladder.resumption.replay_buffer import (
    LINE_OVERHEAD_BYTES,
    MemoryBudget,
    ReplayBuffer,
)


def test_a_window_that_overflows_gives_its_bytes_back_and_counts_on() -> None:
    budget = MemoryBudget(1000)
    window = ReplayBuffer(budget, 3 * (LINE_OVERHEAD_BYTES + 10))
    for _ in range(3):
        window.append(b"x" * 10)
    assert window.can_replay
    assert budget.used_bytes == 3 * (LINE_OVERHEAD_BYTES + 10)
    window.append(b"x")
    assert (window.can_replay, budget.used_bytes, window.end_position) == (False, 0, 4)
    window.acknowledge(4)
    with pytest.raises(PositionError, match="behind"):
        window.lines_after(4)
