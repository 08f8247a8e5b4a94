"""What follows from the end of an attempt, from an established connection, and from a client that leaves.

- An established connection lowers the set-up failure rate, counts for its tenant, ends the count of its
  endpoint's ejections, and clears the backoff of its key if it lasts.
- An attempt that ended without a connection is retried, while its client still waits. Ends in a timeout or
  an error raise the set-up failure rate: a cause that endpoints share shows in these.
- A connection that ends is over: its client reconnects by a new request.

A node learns of a client by events alone: a request whose client left without one is retried until its
deadline.
"""

from __future__ import annotations

from tansyladder.policy.endpoint_table import EndpointTable
from tansyladder.policy.events import (
    AttemptEnded,
    AttemptEstablished,
    AttemptStatus,
    ClientDisconnected,
    ConnectionAdopted,
)
from tansyladder.policy.outlier_detection import OutlierDetector
from tansyladder.policy.request_table import RequestTable
from tansyladder.policy.requests import Request
from tansyladder.policy.retries import RetryScheduler
from tansyladder.policy.setup_failures import SetupFailureRate
from tansyladder.policy.tenant_quotas import TenantQuotas

SETUP_FAILURES = (AttemptStatus.TIMEOUT, AttemptStatus.ERROR)  # the ends in which a shared cause shows


class RequestLifecycle:
    """Takes requests from their first attempt to the final answer or to the end of their connection."""

    def __init__(
        self,
        *,
        requests: RequestTable,
        endpoints: EndpointTable,
        retries: RetryScheduler,
        outliers: OutlierDetector,
        setup_failures: SetupFailureRate,
        quotas: TenantQuotas,
    ) -> None:
        self._requests = requests
        self._endpoints = endpoints
        self._retries = retries
        self._outliers = outliers
        self._setup_failures = setup_failures
        self._quotas = quotas

    def handle_connection_adopted(self, event: ConnectionAdopted) -> None:
        """Count a connection that was established before this node's start."""
        self._requests.adopt(event, self._endpoints.by_id.get(event.endpoint_id))
        self._quotas.add_connection(event.tenant)

    def handle_client_disconnected(self, event: ClientDisconnected) -> None:
        """Forget a request whose client left; one that has an endpoint ends there first."""
        request = self._requests.by_id.get(event.request_id)
        if request:
            request.close()
            if request.endpoint is None:
                self._requests.remove(request)

    def handle_attempt_established(self, event: AttemptEstablished) -> None:
        """Count the connection; if it lasts, clear the backoff of its key."""
        request = self._requests.by_id.get(event.request_id)
        if request is None or request.endpoint is None:
            return
        if not request.is_established:
            request.establish()
            self._setup_failures.record_success()
            self._quotas.add_connection(request.tenant)
        self._outliers.judge_established(request.endpoint)
        self._retries.handle_connection_established(request)

    def handle_attempt_ended(self, event: AttemptEnded) -> None:
        """Judge the endpoint; retry the request, if no connection came of it and its client still waits."""
        endpoint = self._endpoints.by_id.get(event.endpoint_id)
        if endpoint:
            self._outliers.judge_attempt_end(endpoint, event.status, event.load_report)
        request = self._requests.by_id.get(event.request_id)
        if request is None:
            return
        is_finished = event.is_closed or request.is_closed
        self._detach(request)
        if is_finished:
            self._requests.remove(request)
            return
        if event.status in SETUP_FAILURES:
            self._setup_failures.record_failure()
        self._retries.handle_failed_attempt(request, endpoint, event)

    def _detach(self, request: Request) -> None:
        """Remove the attempt or the connection of a request from its endpoint."""
        if request.is_established:
            self._quotas.remove_connection(request.tenant)
        request.detach()
