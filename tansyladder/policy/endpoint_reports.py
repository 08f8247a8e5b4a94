"""What follows from reports about endpoints: of a connection's load or delay, and of a health check.

Reports that make no sense (not a number, negative, or absurdly large) are ignored, as are those of requests
and endpoints that are not known.
"""

from __future__ import annotations

from tansyladder.policy.attempts import AttemptStarter
from tansyladder.policy.endpoint_table import EndpointTable
from tansyladder.policy.events import ConnectionReport, HealthCheckResult, ReportKind
from tansyladder.policy.outlier_detection import OutlierDetector
from tansyladder.policy.request_table import RequestTable

MAX_REPORTED_VALUE = 1e12  # a larger load or delay makes no sense
MICROSECONDS_PER_MILLISECOND = 1000
LOAD_REPORT_KIND = ReportKind.LOAD
DELAY_REPORT_KINDS = (ReportKind.REPORTED_DELAY, ReportKind.MEASURED_DELAY)


class EndpointReportHandler:
    """Records reports about endpoints, and has them judged."""

    def __init__(
        self,
        requests: RequestTable,
        endpoints: EndpointTable,
        attempts: AttemptStarter,
        outliers: OutlierDetector,
    ) -> None:
        self._requests = requests
        self._endpoints = endpoints
        self._attempts = attempts
        self._outliers = outliers

    def handle_connection_report(self, event: ConnectionReport) -> None:
        """Record the load of a connection (us a second) or the delay of its messages (ms)."""
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
        """Judge the endpoint, and continue the requests that waited for this check alone."""
        endpoint = self._endpoints.by_id.get(event.endpoint_id)
        if endpoint is None:
            return
        waiting_ids = endpoint.finish_check()
        self._outliers.judge_health_check(endpoint, event)
        for request_id in waiting_ids:
            self._attempts.finish_check(request_id)
