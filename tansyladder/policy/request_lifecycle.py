"""What follows from the end of an attempt, an established connection, and a client that leaves.

- An established connection lowers the set-up failure rate, counts towards its tenant's quota, may reset the
  ejection backoff of its endpoint, and clears the backoff of its key if it lasts.
- An attempt that ended without a connection is retried if its client still waits. A timeout or an error
  raises the set-up failure rate, as a cause that endpoints share leads to these.
- A connection that ends is not retried: its client reconnects with a new request.
- A request that was evicted (`request_eviction`) gets its final answer when its attempt has ended.

A node learns about a client only through events: if a client leaves without one, its request is retried
until the deadline.
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

# How attempts end if endpoints fail for a shared cause.
SETUP_FAILURE_STATUSES = (AttemptStatus.TIMEOUT, AttemptStatus.ERROR)


class RequestLifecycle:
    """Handles the events of a request from its first attempt to its final answer or connection end."""

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
        """Add a connection that was established before this node started."""
        self._requests.adopt(event, self._endpoints.by_id.get(event.endpoint_id))
        self._quotas.add_connection(event.tenant)

    def handle_client_disconnected(self, event: ClientDisconnected) -> None:
        """Close a request whose client left; remove it unless an attempt or a connection has to end first."""
        request = self._requests.by_id.get(event.request_id)
        if request:
            request.close()
            if request.endpoint is None:
                self._requests.remove(request)

    def handle_attempt_established(self, event: AttemptEstablished) -> None:
        """Count the connection, evaluate its endpoint, and clear the backoff of its key if it lasts."""
        request = self._requests.by_id.get(event.request_id)
        if request is None or request.endpoint is None:
            return
        if not request.is_established:
            request.establish()
            self._setup_failures.record_success()
            self._quotas.add_connection(request.tenant)
        self._outliers.evaluate_established(request.endpoint)
        self._retries.handle_connection_established(request)

    def handle_attempt_ended(self, event: AttemptEnded) -> None:
        """Evaluate the endpoint; retry a request that had no connection, or give its final answer.

        Neither is done if the request is over or its client left.
        """
        endpoint = self._endpoints.by_id.get(event.endpoint_id)
        if endpoint:
            self._outliers.evaluate_attempt_end(endpoint, event.status, event.load_report)
        request = self._requests.by_id.get(event.request_id)
        if request is None:
            return
        is_finished = event.is_request_over or request.is_closed
        is_evicted = request.is_evicted
        self._detach(request)
        if is_finished:
            self._requests.remove(request)
            return
        if event.status in SETUP_FAILURE_STATUSES:
            self._setup_failures.record_failure()
        self._retries.handle_failed_attempt(request, endpoint, event, is_evicted=is_evicted)

    def _detach(self, request: Request) -> None:
        """Remove the attempt or the connection of a request from its endpoint and its tenant's count."""
        if request.is_established:
            self._quotas.remove_connection(request.tenant)
        request.detach()
