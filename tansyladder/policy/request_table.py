"""The table of requests and of the backoffs of keys. Nothing is decided here.

A key identifies a client over its requests. Its backoff outlives a request, so that a client that sends a
new request right after a failure waits as long as one that leaves the retry to the node.
"""

from __future__ import annotations

from tansyladder.policy.backoff import Backoff
from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.events import ConnectionAdopted, RequestReceived
from tansyladder.policy.requests import Request

MAX_BACKOFFS = 4096  # keys whose backoff a node remembers: bounds memory, far over what is in flight at once


class RequestTable:
    """The requests that this node handles, and the backoffs of keys."""

    __slots__ = ("backoffs", "by_id")

    def __init__(self) -> None:
        self.by_id: dict[int, Request] = {}
        self.backoffs: dict[int, Backoff] = {}  # by key, of keys whose connections failed lately

    def add(self, event: RequestReceived) -> Request:
        """Add a request, which continues the backoff of its key."""
        request = self.by_id[event.request_id] = Request(event, event.deadline_us)
        if event.key:
            request.backoff = self.backoffs.get(event.key)
        return request

    def adopt(self, event: ConnectionAdopted, endpoint: Endpoint | None) -> None:
        """Add a connection that was established before this node's start."""
        request = self.by_id[event.request_id] = Request(event, 0)
        request.adopt(endpoint)

    def remove(self, request: Request) -> None:
        """Forget a request that has ended."""
        del self.by_id[request.id]

    def begin_backoff(self, request: Request) -> Backoff:
        """Begin the backoff of a request, or of its key where it has one; the oldest key's is dropped."""
        backoff = request.backoff = Backoff()
        if request.key:
            self.backoffs[request.key] = backoff
            if len(self.backoffs) > MAX_BACKOFFS:
                del self.backoffs[next(iter(self.backoffs))]
        return backoff

    def forget_backoff(self, key: int) -> None:
        """Forget the backoff of a key, whose next failure counts as the first."""
        self.backoffs.pop(key, None)
