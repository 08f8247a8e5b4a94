"""The proposals of this node for whose results threads are waiting."""

from __future__ import annotations

import itertools
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

from tansyladder.raft.messages import ProposalResult

MAX_WAITING_PROPOSALS = 1024  # of this node; further ones fail at once


class PendingResult:
    """The future result of one proposal. Thread-safe."""

    __slots__ = ("_is_set", "_result")

    def __init__(self) -> None:
        """Begin without a result."""
        self._is_set = threading.Event()
        self._result: ProposalResult | None = None

    def wait(self, timeout: timedelta) -> ProposalResult | None:
        """Wait for the result and return it; None at the timeout or after `wake_up`."""
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
        """Begin without proposals; `incarnation` makes request ids unique in the cluster."""
        self._incarnation = incarnation
        self._numbers = itertools.count(1)
        self._pending: dict[str, PendingResult] = {}

    @property
    def is_full(self) -> bool:
        """Whether `MAX_WAITING_PROPOSALS` are waiting."""
        return len(self._pending) >= MAX_WAITING_PROPOSALS

    def new_request_id(self) -> str:
        """Return an id that no other proposal has."""
        return f"{self._incarnation}/{next(self._numbers)}"

    @contextmanager
    def expect(self, request_id: str) -> Iterator[PendingResult]:
        """Register a proposal within the context, so that its result is delivered."""
        pending = PendingResult()
        self._pending[request_id] = pending
        try:
            yield pending
        finally:
            self._pending.pop(request_id, None)

    def resolve(self, result: ProposalResult) -> None:
        """Deliver a result to the thread that waits for it, if there is one."""
        pending = self._pending.pop(result.request_id, None)
        if pending is not None:
            pending.resolve(result)

    def wake_up_all(self) -> None:
        """Wake up all waiting threads without results."""
        for pending in list(self._pending.values()):
            pending.wake_up()
