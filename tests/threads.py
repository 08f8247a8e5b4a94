"""Calls the stop functions that a test has registered, and fails the test if threads of it still run then.

A thread that outlives its test writes log lines that are not captured or appear in another test's output, and
takes CPU time from other tests.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Collection, Iterator
from contextlib import ExitStack

import pytest

MAX_WAIT_SECONDS = 5.0  # for threads to end after a test

_stops: list[Callable[[], None]] = []  # the stop functions that the running test has registered


def stop_at_end_of_test(stop: Callable[[], None]) -> None:
    """Register a function to call at the end of the running test; the last registered one is called first."""
    _stops.append(stop)


def wait_until_ended(threads: Collection[threading.Thread]) -> list[str]:
    """Wait for threads to end; return the names of those that still run after MAX_WAIT_SECONDS."""
    deadline = time.monotonic() + MAX_WAIT_SECONDS
    for thread in threads:
        thread.join(max(0.0, deadline - time.monotonic()))
    return sorted(thread.name for thread in threads if thread.is_alive())


@pytest.fixture(autouse=True)
def stop_and_check_threads() -> Iterator[None]:
    """Call the registered stop functions, and fail the test if a thread that it started still runs."""
    threads_before = set(threading.enumerate())
    with ExitStack() as stops:
        yield
        for stop in _stops:
            stops.callback(stop)
        _stops.clear()
    leftover = wait_until_ended(set(threading.enumerate()) - threads_before)
    if leftover:
        pytest.fail(f"the test has left these threads running: {', '.join(leftover)}", pytrace=False)
