"""Counts what a node did in each second, for the log event `counts`; the counts of all nodes can be added up.

This module does no I/O and reads no clock. There is at most one line per second, and none for a second in
which nothing was counted. A line names only endpoints that have connections or had attempts, so the endpoint
list bounds its length.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple

from tansyladder.node.metrics import Metrics, RequestOutcome
from tansyladder.policy.actions import Action, CheckHealth, Fail, Migrate, Reject, StartAttempt
from tansyladder.policy.events import (
    AttemptEnded,
    AttemptEstablished,
    AttemptStatus,
    ClientDisconnected,
    ConnectionAdopted,
    ConnectionReport,
    Event,
    HealthCheckResult,
    ReportKind,
    RequestReceived,
)
from tansyladder.policy.settings import ClassSettings

MICROSECONDS_PER_SECOND = 1_000_000
ENDED_PREFIX = "ended_"  # before the status with which an established connection ended
HEALTH_CHECK_PREFIX = "health_check_"  # before the status of a health check that found a fault


class CountName(StrEnum):
    """The names of the counts in a log line; ended attempts are counted by the names of `AttemptStatus`."""

    ADOPTED = "adopted"  # connections that were established before this process started
    ATTEMPTS = "attempts"
    CONNECTION_REPORTS = "connection_reports"  # of delays, by endpoints
    DISCOVERY_CALLS = "discovery_calls"
    DISCOVERY_CALLS_FAILED = "discovery_calls_failed"
    ESTABLISHED = "established"
    FAILED = "failed"  # requests
    HEALTH_CHECKS = "health_checks"
    MIGRATIONS = "migrations"
    OBJECTIVE_MISSED = "objective_missed"  # connections that were established after the latency objective
    RECONNECTS = "reconnects"  # requests of clients that had a connection
    REJECTED = "rejected"  # requests
    REQUESTS = "requests"  # of other clients
    RETRIES = "retries"  # attempts after the first one that have an outcome


COUNT_OF_OUTCOME = {
    RequestOutcome.OK: CountName.ESTABLISHED,
    RequestOutcome.REJECTED: CountName.REJECTED,
    RequestOutcome.FAILED: CountName.FAILED,
}


class SecondCounts(NamedTuple):
    """The counts of one second, as they are logged."""

    timestamp: int  # Unix time in seconds
    counts: Mapping[str, int]
    endpoints: str  # NAME:connections/attempts/failed attempts, separated by commas


class EventCounters:
    """Counts the policy's events and actions; final answers come from the node's metrics.

    Not thread-safe: the policy runner calls it under its own lock.
    """

    def __init__(
        self,
        class_settings: Sequence[ClassSettings],
        endpoint_name: Callable[[int], str],
        metrics: Metrics,
    ) -> None:
        """`class_settings`: by class number; `endpoint_name`: returns an endpoint's id, by its number."""
        self._class_settings = class_settings
        self._endpoint_name = endpoint_name
        self._metrics = metrics
        self._reported_totals = metrics.total_counts()  # of the metrics, at the last log line
        self._current_second = 0
        self._counts: Counter[str] = Counter()
        self._connections: Counter[int] = Counter()  # established ones, by endpoint
        self._attempts: Counter[int] = Counter()  # of this second, by endpoint
        self._failures: Counter[int] = Counter()  # attempts of this second that were not established
        self._objective_deadlines: dict[int, int] = {}  # in microseconds of Unix time, by request
        self._endpoint_of_request: dict[int, int] = {}  # for each established connection

    def use_classes(self, class_settings: Sequence[ClassSettings]) -> None:
        """Use new class settings, by class number; the settings of earlier numbers do not change."""
        self._class_settings = class_settings

    def finish_second(self, now_us: int) -> SecondCounts | None:
        """Return the counts of the second in progress, if it is over and anything was counted in it."""
        second = self._current_second
        self._current_second = now_us // MICROSECONDS_PER_SECOND
        return None if second == self._current_second else self._take_counts(second)

    def finish(self) -> SecondCounts | None:
        """Return the counts of the second in progress although it is not over, if anything was counted."""
        return self._take_counts(self._current_second)

    def _take_counts(self, second: int) -> SecondCounts | None:
        """Return the counts since the last line, as those of a second, and reset them."""
        self._count_outcomes()
        if not any(self._counts.values()):
            return None
        counts = {str(name): count for name, count in sorted(self._counts.items()) if count}
        finished = SecondCounts(second, counts, self._format_endpoints())
        for counted in (self._counts, self._attempts, self._failures):
            counted.clear()
        return finished

    def count_event(self, event: Event, now_us: int) -> None:
        """Count an event that is passed to the policy."""
        match event:
            case RequestReceived(request_id, class_number, _, deadline_us):
                self._counts[CountName.RECONNECTS if event.is_reconnect else CountName.REQUESTS] += 1
                self._objective_deadlines[request_id] = (
                    deadline_us
                    - self._class_settings[class_number].deadline_us
                    + self._class_settings[class_number].latency_objective_us
                )
            case ConnectionAdopted(request_id, _, _, endpoint_id):
                self._counts[CountName.ADOPTED] += 1
                self._add_connection(request_id, endpoint_id)
            case AttemptEstablished(request_id, attempt, endpoint_id):
                self._counts[CountName.RETRIES] += attempt > 0
                objective_deadline = self._objective_deadlines.pop(request_id, now_us)
                self._counts[CountName.OBJECTIVE_MISSED] += now_us > objective_deadline
                self._add_connection(request_id, endpoint_id)
            case AttemptEnded():
                self._count_end(event)
            case ClientDisconnected(request_id):
                self._objective_deadlines.pop(request_id, None)
            case ConnectionReport(_, ReportKind.REPORTED_DELAY):
                self._counts[CountName.CONNECTION_REPORTS] += 1
            case HealthCheckResult(_, status) if status is not AttemptStatus.OK:
                self._counts[HEALTH_CHECK_PREFIX + status.name.lower()] += 1
            case _:
                pass

    def count_action(self, action: Action) -> None:
        """Count an action of the policy."""
        match action:
            case StartAttempt(_, endpoint_id):
                self._counts[CountName.ATTEMPTS] += 1
                self._attempts[endpoint_id] += 1
            case Reject(request_id) | Fail(request_id):
                self._objective_deadlines.pop(request_id, None)
            case CheckHealth():
                self._counts[CountName.HEALTH_CHECKS] += 1
            case Migrate():
                self._counts[CountName.MIGRATIONS] += 1
            case _:
                pass

    def count_discovery_call(self, *, has_failed: bool) -> None:
        """Count a call to discovery that has ended."""
        self._counts[CountName.DISCOVERY_CALLS_FAILED if has_failed else CountName.DISCOVERY_CALLS] += 1

    def _count_outcomes(self) -> None:
        """Add the outcomes of requests since the last line."""
        totals = self._metrics.total_counts()
        for outcome, count in COUNT_OF_OUTCOME.items():
            self._counts[count] += totals[outcome.value] - self._reported_totals[outcome.value]
        self._reported_totals = totals

    def _count_end(self, event: AttemptEnded) -> None:
        """Count the end of an established connection, or of an attempt that was never established."""
        status = event.status.name.lower()
        if self._endpoint_of_request.pop(event.request_id, None) is not None:
            self._connections[event.endpoint_id] -= 1
            self._counts[ENDED_PREFIX + status] += 1
        else:
            self._failures[event.endpoint_id] += 1
            self._counts[status] += 1
            self._counts[CountName.RETRIES] += event.attempt > 0

    def _format_endpoints(self) -> str:
        endpoint_ids = sorted({*+self._connections, *self._attempts, *self._failures})
        return ",".join(
            f"{self._endpoint_name(endpoint_id)}:"
            f"{self._connections[endpoint_id]}/{self._attempts[endpoint_id]}/{self._failures[endpoint_id]}"
            for endpoint_id in endpoint_ids
        )

    def _add_connection(self, request_id: int, endpoint_id: int) -> None:
        self._endpoint_of_request[request_id] = endpoint_id
        self._connections[endpoint_id] += 1
