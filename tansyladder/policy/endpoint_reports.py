"""Handles reports about endpoints: the load or message delay of a connection, and health check results.

Invalid values (NaN, negative, or implausibly large) are ignored, as are reports about unknown requests and
endpoints.
"""

from __future__ import annotations

from tansyladder.policy.attempts import AttemptStarter
from tansyladder.policy.endpoint_table import EndpointTable
from tansyladder.policy.events import ConnectionReport, HealthCheckResult, ReportKind
from tansyladder.policy.outlier_detection import OutlierDetector
from tansyladder.policy.request_table import RequestTable

MAX_REPORTED_VALUE = 1e12  # exclusive; a larger load or delay is invalid
MICROSECONDS_PER_MILLISECOND = 1000
LOAD_REPORT_KIND = ReportKind.LOAD
DELAY_REPORT_KINDS = (ReportKind.REPORTED_DELAY, ReportKind.MEASURED_DELAY)


class EndpointReportHandler:
    """Records reports about endpoints and passes them to outlier detection."""

    def __init__(
        self,
        requests: RequestTable,
        endpoints: EndpointTable,
        attempt_starter: AttemptStarter,
        outliers: OutlierDetector,
    ) -> None:
        self._requests = requests
        self._endpoints = endpoints
        self._attempt_starter = attempt_starter
        self._outliers = outliers

    def handle_connection_report(self, event: ConnectionReport) -> None:
        """Record the load of a connection (us of work per second) or the delay of its messages (ms)."""
        request = self._requests.by_id.get(event.request_id)
        endpoint = self._endpoints.by_id.get(event.endpoint_id)
        if request is None or endpoint is None or not 0.0 <= event.value < MAX_REPORTED_VALUE:
            return
        if event.kind == LOAD_REPORT_KIND and request.endpoint is endpoint:
            endpoint.replace_load(request.load, event.value)
            request.load = event.value
        elif event.kind in DELAY_REPORT_KINDS:
            endpoint.reports_delay |= event.kind == ReportKind.REPORTED_DELAY
            self._outliers.record_message_delay(endpoint, event.value * MICROSECONDS_PER_MILLISECOND)

    def handle_health_check_result(self, event: HealthCheckResult) -> None:
        """Evaluate the endpoint, and continue each request for which this was the last pending check."""
        endpoint = self._endpoints.by_id.get(event.endpoint_id)
        if endpoint is None:
            return
        waiting_ids = endpoint.finish_check()
        self._outliers.evaluate_health_check(endpoint, event)
        for request_id in waiting_ids:
            self._attempt_starter.finish_check(request_id)
