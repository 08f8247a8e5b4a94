"""Waiting: for a condition that depends on other parties of a run, and for random delays."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from tansyladder.lab.report import clock

POLL_INTERVAL = 0.02  # seconds between two checks of a condition


class DelayRange(NamedTuple):
    """The shortest and the longest time that may be drawn at random, in seconds."""

    shortest: float
    longest: float


async def wait_until(condition: Callable[[], bool], timeout: float, interval: float = POLL_INTERVAL) -> bool:
    """Wait until a condition holds, but no longer than `timeout` seconds; return whether it does."""
    deadline = clock() + timedelta(seconds=timeout)
    while not condition():
        if clock() >= deadline:
            return condition()
        await asyncio.sleep(interval)
    return True
