"""Bounded queues of work that the policy requests from other threads of the node."""

from __future__ import annotations

import contextlib
import queue
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TypeVar

from tansyladder.invariants import Invariant, violate_invariant
from tansyladder.net.endpoint_address import EndpointAddress

ItemT = TypeVar("ItemT")
# Health checks or polls that may wait for their threads; a node has fewer endpoints than this.
QUEUE_CAPACITY = 256


def _new_queue() -> queue.Queue[ItemT]:
    return queue.Queue(QUEUE_CAPACITY)


@dataclass(frozen=True, slots=True)
class WorkQueues:
    """Work for the threads of health checks and of discovery. Thread-safe."""

    # None tells one health check thread to end.
    health_checks: queue.Queue[EndpointAddress | None] = field(default_factory=_new_queue)
    discovery_polls: queue.Queue[bool] = field(default_factory=_new_queue)  # False: stop polling

    def request_health_check(self, endpoint: EndpointAddress) -> None:
        """Have an endpoint checked by the next free thread."""
        _enqueue(self.health_checks, endpoint)

    def request_discovery_poll(self, *, is_polling: bool = True) -> None:
        """Have discovery polled, or if `is_polling` is False, stop polling until the next request."""
        _enqueue(self.discovery_polls, is_polling)

    def wait_for_poll_request(self, timeout: timedelta) -> None:
        """Wait until a request is in `discovery_polls`, and remove it; give up after a timeout."""
        with contextlib.suppress(queue.Empty):
            self.discovery_polls.get(timeout=timeout.total_seconds())


def _enqueue(target: queue.Queue[ItemT], item: ItemT) -> None:
    """Append an item; if the queue is full, report a violated invariant and drop the item."""
    try:
        target.put_nowait(item)
    except queue.Full:
        violate_invariant(Invariant.QUEUE_FULL)
