"""What a node did in each second, for its log: a fleet's lines add up to what all its nodes do at once.

No I/O and no clock. One line a second at most, and none for a second in which nothing was done; it names only
members that hold or were sent something, so its length is bounded by the list.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence

from tansyladder.node.metrics import Ending, Metrics
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

SECOND = 1_000_000  # microseconds
ENDINGS = {Ending.OK: "up", Ending.SHED: "refused", Ending.ERRORS: "failed"}  # as a line names them


class EventCounters:
    """Told of each event and each action that goes through; final answers come out of the node's metrics."""

    def __init__(
        self, classes: Sequence[ClassSettings], name_of: Callable[[int], str], metrics: Metrics
    ) -> None:
        self.classes, self._name_of, self._metrics = classes, name_of, metrics
        self._told = metrics.sums()  # what earlier lines have told of them
        self._second = 0
        self._counts: Counter[str] = Counter()
        self._standing: Counter[int] = Counter()  # connections, by member
        self._sent: Counter[int] = Counter()  # attempts of this second, by member
        self._failed: Counter[int] = Counter()  # those that ended without standing
        self._wanted: dict[int, int] = {}  # by when each request in hand should stand
        self._stands: dict[int, int] = {}  # the member of each connection that stands

    def turn(self, now: int) -> dict[str, object]:
        """The fields of the line on a second that is over; empty where there is none to write."""
        second, self._second = self._second, now // SECOND
        if second == self._second:
            return {}
        sums = self._metrics.sums()
        for ending, name in ENDINGS.items():
            self._counts[name] += sums[ending.value] - self._told[ending.value]
        self._told = sums
        if not any(self._counts.values()):
            return {}
        fields: dict[str, object] = {"at": second, **{k: v for k, v in sorted(self._counts.items()) if v}}
        members = sorted(n for n in {*+self._standing, *self._sent, *self._failed})
        fields["members"] = ",".join(
            f"{self._name_of(n)}:{self._standing[n]}/{self._sent[n]}/{self._failed[n]}" for n in members
        )
        for counted in (self._counts, self._sent, self._failed):
            counted.clear()
        return fields

    def event(self, event: Event, now: int) -> None:
        """The module is told this."""
        match event:
            case RequestReceived(id, cls, _, deadline):
                self._counts["back" if event.is_reconnect else "new"] += 1
                self._wanted[id] = (
                    deadline - self.classes[cls].deadline_us + self.classes[cls].latency_objective_us
                )
            case ConnectionAdopted(id, _, _, server):
                self._counts["taken_up"] += 1
                self._stand(id, server)
            case AttemptEstablished(id, attempt, server):
                self._counts["retries"] += attempt > 0
                self._counts["late"] += now > self._wanted.pop(id, now)
                self._stand(id, server)
            case AttemptEnded(id, attempt, server, status):
                if self._stands.pop(id, None) is not None:
                    self._standing[server] -= 1
                    self._counts["ended_" + status.name.lower()] += 1
                else:
                    self._failed[server] += 1
                    self._counts[status.name.lower()] += 1
                    self._counts["retries"] += attempt > 0
            case ClientDisconnected(id):
                self._wanted.pop(id, None)
            case ConnectionReport(_, ReportKind.REPORTED_DELAY):
                self._counts["notes"] += 1
            case HealthCheckResult(_, status) if status is not AttemptStatus.OK:
                self._counts["probe_" + status.name.lower()] += 1
            case _:
                pass

    def action(self, action: Action) -> None:
        """The module says this."""
        match action:
            case StartAttempt(_, server):
                self._counts["sends"] += 1
                self._sent[server] += 1
            case Reject(id) | Fail(id):
                self._wanted.pop(id, None)
            case CheckHealth():
                self._counts["probes"] += 1
            case Migrate():
                self._counts["moves"] += 1
            case _:
                pass

    def call(self, failed: bool) -> None:
        """A call to discovery is over."""
        self._counts["calls_failed" if failed else "calls"] += 1

    def _stand(self, id: int, server: int) -> None:
        self._stands[id] = server
        self._standing[server] += 1
