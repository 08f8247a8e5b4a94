"""The record of a request, and of the connection that it became. It makes no decisions.

Times and durations are integer microseconds.
"""

from __future__ import annotations

from tansyladder.policy.backoff import Backoff
from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.events import ConnectionAdopted, RequestReceived
from tansyladder.policy.request_states import (
    CLOSED_STATES,
    ESTABLISHED_STATES,
    STATE_WHEN_CLOSED,
    STATE_WHEN_ESTABLISHED,
    STATE_WHEN_EVICTED,
    RequestState,
)

PENDING: RequestState = RequestState.PENDING  # avoids a lookup for each new request
DEFAULT_LOAD = 1.0  # load of a connection without a load hint


class Request:
    """A request that this node handles, or the connection that it became."""

    __slots__ = (
        "attempt_count",
        "backoff",
        "candidates",
        "class_index",
        "deadline",
        "endpoint",
        "group_key",
        "id",
        "key",
        "last_failed_endpoint",
        "load",
        "may_have_executed_at",
        "may_have_executed_on",
        "pending_check_count",
        "retry_at",
        "state",
        "tenant",
    )

    def __init__(self, event: RequestReceived | ConnectionAdopted, deadline: int) -> None:
        self.id = event.request_id
        self.class_index = event.class_index
        self.tenant = event.tenant
        self.deadline = deadline
        self.key = event.key
        self.group_key = event.group_key
        self.load = float(event.load_hint) if event.load_hint else DEFAULT_LOAD
        self.state = PENDING
        self.attempt_count = 0
        self.endpoint: Endpoint | None = None  # the endpoint of its attempt in flight or of its connection
        self.backoff: Backoff | None = None
        self.retry_at = 0  # when its last scheduled retry is or was due; 0 before the first one
        self.last_failed_endpoint: Endpoint | None = None
        # The endpoint and the start time of the first attempt that may have been executed.
        self.may_have_executed_on: Endpoint | None = None
        self.may_have_executed_at = 0
        self.candidates: list[Endpoint] = []  # endpoints sampled for it, whose load is checked first
        self.pending_check_count = 0  # number of health checks that it waits for

    @property
    def is_established(self) -> bool:
        """Whether its connection is established."""
        return self.state in ESTABLISHED_STATES

    @property
    def is_closed(self) -> bool:
        """Whether it is removed when its attempt or its connection ends, instead of retried."""
        return self.state in CLOSED_STATES

    @property
    def first_sent_at(self) -> int | None:
        """When the first attempt that may have been executed was started; None if there is none."""
        return None if self.may_have_executed_on is None else self.may_have_executed_at

    @property
    def is_evicted(self) -> bool:
        """Whether it gets its final answer when its cancelled attempt ends, instead of being retried."""
        return self.state is RequestState.EVICTED

    def start_attempt(self, endpoint: Endpoint) -> None:
        """Record that an attempt is in flight at an endpoint."""
        self.endpoint = endpoint
        self.attempt_count += 1
        endpoint.add_connection(self)
        endpoint.pending_attempt_count += 1

    def establish(self) -> None:
        """Record that the connection of its attempt is established."""
        self.state = STATE_WHEN_ESTABLISHED[self.state]
        if self.endpoint:
            self.endpoint.pending_attempt_count -= 1

    def adopt(self, endpoint: Endpoint | None) -> None:
        """Record that its first attempt established its connection before this node started."""
        self.state = RequestState.ESTABLISHED
        self.attempt_count = 1
        self.endpoint = endpoint
        if endpoint:
            endpoint.add_connection(self)

    def close(self) -> None:
        """Record that its client left or was asked to reconnect."""
        self.state = STATE_WHEN_CLOSED[self.state]

    def evict(self) -> None:
        """Record that its attempt in flight was cancelled, as the node can't wait for it any longer."""
        self.state = STATE_WHEN_EVICTED[self.state]

    def record_possible_execution(self, endpoint: Endpoint | None, started_at: int) -> None:
        """Record that an attempt may have been executed; only the first such attempt counts."""
        if self.may_have_executed_on is None:
            self.may_have_executed_on = endpoint
            self.may_have_executed_at = started_at

    def detach(self) -> None:
        """Remove the attempt or the connection from its endpoint; the request becomes pending again."""
        endpoint = self.endpoint
        is_established = self.is_established
        self.endpoint = None
        self.state = PENDING
        if endpoint is None or not endpoint.remove_connection(self):
            return
        if not is_established:
            endpoint.pending_attempt_count -= 1
        endpoint.release_load(self.load)
