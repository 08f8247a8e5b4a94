"""A check that a test has ended the threads that it has started: a thread left over logs into later tests.

A package of tests uses it by an import into its `conftest.py`.
"""

from __future__ import annotations

import threading
from collections.abc import Iterator

import pytest

JOIN_TIMEOUT_S = 5.0  # for threads that have been asked to end


@pytest.fixture(autouse=True)
def no_thread_remains() -> Iterator[None]:
    """Fail a test whose threads run longer than a moment after its end."""
    earlier = set(threading.enumerate())
    yield
    remaining = [thread for thread in threading.enumerate() if thread not in earlier]
    for thread in remaining:
        thread.join(JOIN_TIMEOUT_S)
    assert [thread.name for thread in remaining if thread.is_alive()] == []
