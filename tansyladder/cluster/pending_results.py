"""The results of this node's proposals that threads are waiting for."""

from __future__ import annotations

import itertools
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

from tansyladder.raft.messages import ProposalResult

MAX_WAITING_PROPOSALS = 1024  # per node; further proposals fail at once


class PendingResult:
    """The result of a proposal that a thread is waiting for. Thread-safe."""

    __slots__ = ("_is_set", "_result")

    def __init__(self) -> None:
        """Create a pending result that is not resolved yet."""
        self._is_set = threading.Event()
        self._result: ProposalResult | None = None

    def wait(self, timeout: timedelta) -> ProposalResult | None:
        """Wait for the result and return it; return None after the timeout or `wake_up`."""
        self._is_set.wait(timeout.total_seconds())
        return self._result

    def resolve(self, result: ProposalResult) -> None:
        """Set the result and wake up the waiting thread."""
        self._result = result
        self._is_set.set()

    def wake_up(self) -> None:
        """Wake up the waiting thread without a result."""
        self._is_set.set()


class PendingResults:
    """The results that threads wait for, by request id. Thread-safe: each change is one dict operation."""

    def __init__(self, incarnation: str) -> None:
        """Create an empty collection; `incarnation` makes the request ids unique in the cluster."""
        self._incarnation = incarnation
        self._numbers = itertools.count(1)
        self._pending: dict[str, PendingResult] = {}

    @property
    def is_full(self) -> bool:
        """Whether `MAX_WAITING_PROPOSALS` proposals are waiting for their results."""
        return len(self._pending) >= MAX_WAITING_PROPOSALS

    def new_request_id(self) -> str:
        """Return an id that is unique among all proposals in the cluster."""
        return f"{self._incarnation}/{next(self._numbers)}"

    @contextmanager
    def expect(self, request_id: str) -> Iterator[PendingResult]:
        """Register a proposal for the duration of the context, so that its result is delivered."""
        pending = PendingResult()
        self._pending[request_id] = pending
        try:
            yield pending
        finally:
            self._pending.pop(request_id, None)

    def resolve(self, result: ProposalResult) -> None:
        """Deliver a result to the thread that waits for it; drop it if there is none."""
        pending = self._pending.pop(result.request_id, None)
        if pending is not None:
            pending.resolve(result)

    def wake_up_all(self) -> None:
        """Wake up all waiting threads without results."""
        for pending in list(self._pending.values()):
            pending.wake_up()
