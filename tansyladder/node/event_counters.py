"""What a node did in each second, for its log: the lines of a cluster add up to what all its nodes did.

No I/O and no clock. One line a second at most, and none for a second in which nothing was done; it names only
endpoints that have connections or had attempts, so its length is bounded by the list.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence

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
OUTCOME_FIELDS = {
    RequestOutcome.OK: "up",
    RequestOutcome.REJECTED: "refused",
    RequestOutcome.FAILED: "failed",
}  # as a line names them


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
        """`class_settings`: by class number; `endpoint_name`: the id of an endpoint's number."""
        self.class_settings = class_settings
        self._endpoint_name = endpoint_name
        self._metrics = metrics
        self._reported_totals = metrics.total_counts()  # of the metrics, in the lines so far
        self._second = 0
        self._counts: Counter[str] = Counter()
        self._connections: Counter[int] = Counter()  # established ones, by endpoint
        self._attempts: Counter[int] = Counter()  # of this second, by endpoint
        self._failures: Counter[int] = Counter()  # attempts of this second that were not established
        self._objective_deadlines: dict[int, int] = {}  # in microseconds, by request
        self._endpoint_of_request: dict[int, int] = {}  # of each established connection

    def finish_second(self, now_us: int) -> dict[str, object]:
        """The fields of the log line on a second that is over; empty where there is none to write."""
        second = self._second
        self._second = now_us // MICROSECONDS_PER_SECOND
        if second == self._second:
            return {}
        totals = self._metrics.total_counts()
        for outcome, name in OUTCOME_FIELDS.items():
            self._counts[name] += totals[outcome.value] - self._reported_totals[outcome.value]
        self._reported_totals = totals
        if not any(self._counts.values()):
            return {}
        counts = {name: count for name, count in sorted(self._counts.items()) if count}
        fields: dict[str, object] = {"at": second, **counts}
        endpoint_ids = sorted({*+self._connections, *self._attempts, *self._failures})
        fields["members"] = ",".join(
            f"{self._endpoint_name(endpoint_id)}:"
            f"{self._connections[endpoint_id]}/{self._attempts[endpoint_id]}/{self._failures[endpoint_id]}"
            for endpoint_id in endpoint_ids
        )
        for counted in (self._counts, self._attempts, self._failures):
            counted.clear()
        return fields

    def count_event(self, event: Event, now_us: int) -> None:
        """Count an event that the policy is told."""
        match event:
            case RequestReceived(request_id, class_number, _, deadline):
                self._counts["back" if event.is_reconnect else "new"] += 1
                self._objective_deadlines[request_id] = (
                    deadline
                    - self.class_settings[class_number].deadline_us
                    + self.class_settings[class_number].latency_objective_us
                )
            case ConnectionAdopted(request_id, _, _, endpoint_id):
                self._counts["taken_up"] += 1
                self._add_connection(request_id, endpoint_id)
            case AttemptEstablished(request_id, attempt, endpoint_id):
                self._counts["retries"] += attempt > 0
                self._counts["late"] += now_us > self._objective_deadlines.pop(request_id, now_us)
                self._add_connection(request_id, endpoint_id)
            case AttemptEnded(request_id, attempt, endpoint_id, status):
                if self._endpoint_of_request.pop(request_id, None) is not None:
                    self._connections[endpoint_id] -= 1
                    self._counts["ended_" + status.name.lower()] += 1
                else:
                    self._failures[endpoint_id] += 1
                    self._counts[status.name.lower()] += 1
                    self._counts["retries"] += attempt > 0
            case ClientDisconnected(request_id):
                self._objective_deadlines.pop(request_id, None)
            case ConnectionReport(_, ReportKind.REPORTED_DELAY):
                self._counts["notes"] += 1
            case HealthCheckResult(_, status) if status is not AttemptStatus.OK:
                self._counts["probe_" + status.name.lower()] += 1
            case _:
                pass

    def count_action(self, action: Action) -> None:
        """Count an action of the policy."""
        match action:
            case StartAttempt(_, endpoint_id):
                self._counts["sends"] += 1
                self._attempts[endpoint_id] += 1
            case Reject(request_id) | Fail(request_id):
                self._objective_deadlines.pop(request_id, None)
            case CheckHealth():
                self._counts["probes"] += 1
            case Migrate():
                self._counts["moves"] += 1
            case _:
                pass

    def count_discovery_call(self, failed: bool) -> None:
        """Count a call to discovery that is over."""
        self._counts["calls_failed" if failed else "calls"] += 1

    def _add_connection(self, request_id: int, endpoint_id: int) -> None:
        self._endpoint_of_request[request_id] = endpoint_id
        self._connections[endpoint_id] += 1
