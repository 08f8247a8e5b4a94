"""Starting an attempt: candidates are checked, an endpoint is selected, and the attempt is sent.

A request whose deadline has passed is rejected. A request for which no endpoint has capacity backs off as
after a failed set-up. While a request waits for health checks, its client may leave or a retry may start, so
each step looks the request up again.
"""

from __future__ import annotations

from tansyladder.policy.attempt_sending import AttemptSender
from tansyladder.policy.candidate_checks import CandidateChecker
from tansyladder.policy.clock import Clock
from tansyladder.policy.endpoint_selection import EndpointSelector
from tansyladder.policy.final_answers import NO_RETRY_AFTER_US, FinalAnswers
from tansyladder.policy.request_table import RequestTable
from tansyladder.policy.retries import RetryScheduler
from tansyladder.policy.timers import TimerScheduler


class EndpointAssigner:
    """Assigns endpoints to requests."""

    def __init__(
        self,
        *,
        clock: Clock,
        requests: RequestTable,
        selector: EndpointSelector,
        sender: AttemptSender,
        retries: RetryScheduler,
        answers: FinalAnswers,
    ) -> None:
        self._clock = clock
        self._requests = requests
        self._selector = selector
        self._sender = sender
        self._retries = retries
        self._answers = answers

    def assign(self, request_id: int) -> None:
        """Select an endpoint and send the attempt; if no endpoint has capacity, handle a failed set-up."""
        now = self._clock.now
        request = self._requests.by_id.get(request_id)
        if request is None or request.endpoint or request.retry_at > now:
            return  # the client left, or another attempt was started or scheduled during the health checks
        request.pending_check_count = 0
        if request.deadline <= now:
            self._answers.reject(request, NO_RETRY_AFTER_US)
        elif endpoint := self._selector.select_endpoint(request):
            self._sender.send(request, endpoint)
        else:
            self._retries.handle_setup_failure(request)


class AttemptStarter:
    """Starts the attempts of requests, after the health checks that they wait for."""

    def __init__(
        self,
        timers: TimerScheduler,
        requests: RequestTable,
        candidates: CandidateChecker,
        assigner: EndpointAssigner,
    ) -> None:
        self._timers = timers
        self._requests = requests
        self._candidates = candidates
        self._assigner = assigner

    def start(self, request_id: int) -> None:
        """Check the candidates whose load is not known, then assign an endpoint to the request."""
        request = self._requests.by_id.get(request_id)
        if request is None:
            return  # the client left
        self._candidates.check_candidates(request)
        if request.pending_check_count:
            wait_ends_at = self._candidates.wait_ends_at(request)
            self._timers.schedule(wait_ends_at, self._assigner.assign, request_id)
        else:
            self._assigner.assign(request_id)

    def finish_check(self, request_id: int) -> None:
        """Record that a health check for a request has ended; after the last one, assign an endpoint."""
        request = self._requests.by_id.get(request_id)
        if request and request.pending_check_count:
            request.pending_check_count -= 1
            if not request.pending_check_count:
                self._assigner.assign(request_id)
