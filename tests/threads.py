"""Waits for the threads that a test has started, and fails a test that leaves some of them running.

A thread that outlives its test writes its log lines while pytest captures nothing, or into the output of
another test, and takes processor time from it.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Collection, Iterator

import pytest

MAX_WAIT_SECONDS = 10.0  # until a thread counts as left running


def wait_until_ended(threads: Collection[threading.Thread]) -> list[str]:
    """Wait until threads have ended; the names of those that still run after MAX_WAIT_SECONDS."""
    deadline = time.monotonic() + MAX_WAIT_SECONDS
    for thread in threads:
        thread.join(max(0.0, deadline - time.monotonic()))
    return sorted(thread.name for thread in threads if thread.is_alive())


@pytest.fixture(autouse=True)
def fail_on_leftover_threads() -> Iterator[None]:
    """Fail a test that leaves a thread running which was not there before it."""
    threads_before = set(threading.enumerate())
    yield
    leftover = wait_until_ended(set(threading.enumerate()) - threads_before)
    if leftover:
        pytest.fail(f"the test has left these threads running: {', '.join(leftover)}", pytrace=False)
