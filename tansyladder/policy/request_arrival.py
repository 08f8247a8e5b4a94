"""What happens to a request when it arrives.

- A midstream request goes to the endpoint that most likely has its connection (`previous_endpoint`).
- If the request's key has a retry due later, the request waits for it, as if the node had kept the earlier
  request of the key: a client that reconnects at once must not bypass the backoff.
- Any other request gets an attempt at once.
"""

from __future__ import annotations

from tansyladder.policy.attempt_sending import AttemptSender
from tansyladder.policy.attempts import AttemptStarter
from tansyladder.policy.clock import Clock
from tansyladder.policy.events import RequestReceived
from tansyladder.policy.previous_endpoint import PreviousEndpointFinder
from tansyladder.policy.request_table import RequestTable
from tansyladder.policy.retries import RetryScheduler


class RequestArrivalHandler:
    """Handles arriving requests."""

    def __init__(
        self,
        *,
        clock: Clock,
        requests: RequestTable,
        previous_endpoints: PreviousEndpointFinder,
        sender: AttemptSender,
        attempt_starter: AttemptStarter,
        retries: RetryScheduler,
    ) -> None:
        self._clock = clock
        self._requests = requests
        self._previous_endpoints = previous_endpoints
        self._sender = sender
        self._attempt_starter = attempt_starter
        self._retries = retries

    def handle_request(self, event: RequestReceived) -> None:
        """Start an attempt, or schedule a retry if the client reconnects during the backoff of its key."""
        request = self._requests.add(event)
        previous = self._previous_endpoints.find(event) if event.is_midstream else None
        if previous:
            self._sender.send(request, previous)
        elif request.backoff and request.backoff.retry_at > self._clock.now:
            self._retries.retry_or_reject(request, request.backoff)
        else:
            self._attempt_starter.start(request.id)
