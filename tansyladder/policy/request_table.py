"""The table of requests and of the backoffs of keys. It makes no decisions.

A key identifies a client across its requests. Its backoff outlives a request, so that a client that sends a
new request right after a failure waits as long as one that leaves the retry to the node.
"""

from __future__ import annotations

from tansyladder.policy.backoff import Backoff
from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.events import ConnectionAdopted, RequestReceived
from tansyladder.policy.requests import Request

MAX_BACKOFFS = 4096  # number of keys; bounds the memory, and is far above what is in flight at once


class RequestTable:
    """The requests that this node handles, and the backoffs of their keys."""

    __slots__ = ("backoffs", "by_id")

    def __init__(self) -> None:
        self.by_id: dict[int, Request] = {}
        self.backoffs: dict[int, Backoff] = {}  # by key, for keys with recent failures

    def add(self, event: RequestReceived) -> Request:
        """Add a request; it continues the backoff of its key, if there is one."""
        request = self.by_id[event.request_id] = Request(event, event.deadline_us)
        if event.key:
            request.backoff = self.backoffs.get(event.key)
        return request

    def adopt(self, event: ConnectionAdopted, endpoint: Endpoint | None) -> None:
        """Add a connection that was established before this node started."""
        request = self.by_id[event.request_id] = Request(event, 0)
        request.adopt(endpoint)

    def remove(self, request: Request) -> None:
        """Remove a request that has ended."""
        del self.by_id[request.id]

    def begin_backoff(self, request: Request) -> Backoff:
        """Create a backoff for a request, shared by its key if it has one.

        If more than `MAX_BACKOFFS` keys have a backoff, the oldest one is dropped.
        """
        backoff = request.backoff = Backoff()
        if request.key:
            self.backoffs[request.key] = backoff
            if len(self.backoffs) > MAX_BACKOFFS:
                del self.backoffs[next(iter(self.backoffs))]
        return backoff

    def forget_backoff(self, key: int) -> None:
        """Remove the backoff of a key; its next failure counts as the first."""
        self.backoffs.pop(key, None)
