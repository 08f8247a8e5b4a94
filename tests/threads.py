"""Stops what a test has started, waits for its threads, and fails a test that leaves some of them running.

A thread that outlives its test writes its log lines while pytest captures nothing, or into the output of
another test, and takes processor time from it.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Collection, Iterator
from contextlib import ExitStack

import pytest

MAX_WAIT_SECONDS = 5.0  # until a thread counts as left running

_stops: list[Callable[[], None]] = []  # end what the running test has started


def stop_at_end_of_test(stop: Callable[[], None]) -> None:
    """Have a function called at the end of the running test; the functions are called in reverse order."""
    _stops.append(stop)


def wait_until_ended(threads: Collection[threading.Thread]) -> list[str]:
    """Wait until threads have ended; the names of those that still run after MAX_WAIT_SECONDS."""
    deadline = time.monotonic() + MAX_WAIT_SECONDS
    for thread in threads:
        thread.join(max(0.0, deadline - time.monotonic()))
    return sorted(thread.name for thread in threads if thread.is_alive())


@pytest.fixture(autouse=True)
def stop_and_check_threads() -> Iterator[None]:
    """Stop what the test has started, and fail it where a thread runs that was not there before it."""
    threads_before = set(threading.enumerate())
    with ExitStack() as stops:
        yield
        for stop in _stops:
            stops.callback(stop)
        _stops.clear()
    leftover = wait_until_ended(set(threading.enumerate()) - threads_before)
    if leftover:
        pytest.fail(f"the test has left these threads running: {', '.join(leftover)}", pytrace=False)
