"""Waiting for a condition that other parts of a run fulfil, and the range of random delays."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from tansyladder.lab.report import clock

POLL_INTERVAL = 0.02  # seconds between two checks of a condition


class DelayRange(NamedTuple):
    """The shortest and the longest random delay, in seconds."""

    shortest: float
    longest: float


async def wait_until(condition: Callable[[], bool], timeout: float, interval: float = POLL_INTERVAL) -> bool:
    """Wait until a condition holds, but at most `timeout` seconds; return whether it holds."""
    deadline = clock() + timedelta(seconds=timeout)
    while not condition():
        if clock() >= deadline:
            return condition()
        await asyncio.sleep(interval)
    return True
