"""Passes the delay and load reports of a connection to the policy."""

from __future__ import annotations

from tansyladder.net.delay_reports import DelayReporter
from tansyladder.node.context import NodeContext
from tansyladder.policy.events import ConnectionReport, ReportKind


def build_delay_reporter(
    context: NodeContext, request_id: int, attempt: int, endpoint_number: int
) -> DelayReporter:
    """Build the object that measures an established connection's delays and reports them to the policy."""
    configuration = context.configuration

    def report(kind: ReportKind, value: float) -> None:
        context.policy.handle_events(ConnectionReport(request_id, kind, attempt, endpoint_number, value))

    return DelayReporter(
        endpoint_number,
        lambda: configuration.delay_meter,
        report,
        lambda: configuration.config.reports_load,
    )
