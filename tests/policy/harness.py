"""Builders of settings, endpoints and events, and a driver that runs a `Balancer` on a simulated clock."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple, TypeVar

from tansyladder.policy.actions import Action, SetTimer, StartAttempt
from tansyladder.policy.backoff import Backoff
from tansyladder.policy.balancer import Balancer
from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.events import (
    AttemptEnded,
    AttemptEstablished,
    AttemptStatus,
    ConnectionAdopted,
    ConnectionReport,
    EndpointListUpdate,
    EndpointState,
    EndpointUpdate,
    Event,
    HealthCheckResult,
    ListUpdateKind,
    ReportKind,
    RequestReceived,
    TimerExpired,
)
from tansyladder.policy.settings import ClassSettings, Settings

MILLISECOND = 1000  # in microseconds, as are all times and durations here
SECOND = 1_000_000
START_TIME = 1000 * SECOND
LATENCY_OBJECTIVE = 400 * MILLISECOND
DEADLINE = 2000 * MILLISECOND

CLASS_DEFAULTS: dict[str, Any] = {
    "latency_objective_us": LATENCY_OBJECTIVE,
    "deadline_us": DEADLINE,
    "deduplication_window_us": 5 * SECOND,
    "message_latency_objective_us": 150 * MILLISECOND,
}
CLASS_FIELDS = (  # changes that `make_settings` makes to its one class; it makes all others to `Settings`
    "idempotency",
    "deduplication_scope",
    "deduplication_window_us",
    "priority_weight",
    "latency_objective_us",
    "deadline_us",
)
SETTINGS_DEFAULTS: dict[str, Any] = {
    "slow_start_duration_us": 20 * SECOND,
    "slow_start_initial_capacity": 0.15,
    "overload_factor": 3.0,
    "max_attempts": 5,
    "drain_grace_us": 1000 * MILLISECOND,
    "can_send_retry_after": True,
    "max_retry_after_us": 10 * SECOND,
}
LOAD_REPORT_SETTINGS: dict[str, Any] = {"can_check_health": True, "report_columns": ("active", "x0")}

ActionType = TypeVar("ActionType", bound=Action)


def make_settings(**changes: Any) -> Settings:
    """Return settings with one class; changes that are named in `CLASS_FIELDS` are made to the class."""
    class_changes = {name: changes.pop(name) for name in CLASS_FIELDS if name in changes}
    only_class = ClassSettings(**{**CLASS_DEFAULTS, **class_changes})
    return Settings(**{"classes": (only_class,), **SETTINGS_DEFAULTS, **changes})


def make_endpoint(
    endpoint_id: int,
    zone: int = 0,
    state: EndpointState = EndpointState.READY,
    ready_at: int = 0,
    **changes: Any,
) -> EndpointUpdate:
    """Return an endpoint as discovery lists it; by default its cell is the zone's number, its weight 1."""
    cell = changes.get("cell", zone)
    weight = changes.get("weight", 1.0)
    return EndpointUpdate(
        endpoint_id=endpoint_id,
        zone=zone,
        cell=cell,
        kind=0,
        weight=weight,
        state=state,
        ready_at_us=ready_at,
    )


def make_endpoints(first: int, last: int, **changes: Any) -> list[EndpointUpdate]:
    """Return endpoints numbered from the first to the last, both included."""
    return [make_endpoint(number, **changes) for number in range(first, last + 1)]


def make_adopted_event(
    request_id: int, endpoint_id: int, load_hint: int | None = None, tenant: int = 0, group_key: int = 0
) -> ConnectionAdopted:
    """Return the event of a connection that was established before the balancer's start."""
    return ConnectionAdopted(
        request_id=request_id,
        class_index=0,
        tenant=tenant,
        endpoint_id=endpoint_id,
        key=0,
        load_hint=load_hint,
        group_key=group_key,
    )


def delay_report(request_id: int, endpoint_id: int, delay_ms: float) -> ConnectionReport:
    """Return an endpoint's own report of the delay of a connection's messages."""
    return ConnectionReport(
        request_id=request_id,
        kind=ReportKind.REPORTED_DELAY,
        attempt=0,
        endpoint_id=endpoint_id,
        value=delay_ms,
    )


def list_update(kind: ListUpdateKind, *updates: EndpointUpdate) -> EndpointListUpdate:
    """Return discovery's list of endpoints, or changes to it."""
    return EndpointListUpdate(kind=kind, endpoints=updates)


def make_established_event(
    start: StartAttempt, attempt: int = 0, latency_us: int = MILLISECOND
) -> AttemptEstablished:
    """Return the event of an established connection, by default of a request's first attempt."""
    return AttemptEstablished(
        request_id=start.request_id, attempt=attempt, endpoint_id=start.endpoint_id, latency_us=latency_us
    )


def utilization_report(endpoint_id: int, utilization: float, connections: float = 1.0) -> HealthCheckResult:
    """Return the result of a health check with the load report columns of `LOAD_REPORT_SETTINGS`."""
    return HealthCheckResult(
        endpoint_id=endpoint_id,
        status=AttemptStatus.OK,
        latency_us=MILLISECOND,
        load_report=(connections, utilization),
    )


class SentRequest(NamedTuple):
    """A request that was sent, and the actions that the balancer returned for it."""

    request_id: int
    actions: list[Action]


class LoggedAction(NamedTuple):
    """An action and the simulated time at which the balancer returned it."""

    at: int
    action: Action


class PendingTimer(NamedTuple):
    """A timer that the balancer has set."""

    due_at: int
    timer_id: int


class BalancerDriver:
    """A `Balancer` with a simulated clock, which delivers due timers in order."""

    def __init__(self, endpoints: list[EndpointUpdate], seed: int = 1, **changes: Any) -> None:
        self.settings = make_settings(**changes)
        self.now = START_TIME
        self.balancer = Balancer(settings=self.settings, seed=seed, now=self.now)
        self.pending_timers: list[PendingTimer] = []
        self.action_log: list[LoggedAction] = []
        self.next_request_id = 1
        self.deliver(EndpointListUpdate(kind=ListUpdateKind.CACHED, endpoints=tuple(endpoints)))

    def endpoint(self, endpoint_id: int) -> Endpoint:
        """Return the balancer's record of an endpoint."""
        return self.balancer.components.endpoints.by_id[endpoint_id]

    def backoff(self, key: int) -> Backoff:
        """Return the backoff of a key.

        Raises:
            KeyError: The key has no backoff.
        """
        return self.balancer.components.requests.backoffs[key]

    def deliver(self, *events: Event) -> list[Action]:
        """Deliver events at the current time, and return the actions that follow except timers."""
        actions: list[Action] = []
        for action in self.balancer.handle(self.now, list(events)):
            if isinstance(action, SetTimer):
                self.pending_timers.append(PendingTimer(due_at=action.due_at_us, timer_id=action.timer_id))
            else:
                self.action_log.append(LoggedAction(at=self.now, action=action))
                actions.append(action)
        return actions

    def run_until(self, until: int) -> list[Action]:
        """Deliver the timers due up to a time, and return the actions that follow."""
        logged_before = len(self.action_log)
        while self.pending_timers and min(self.pending_timers).due_at <= until:
            timer = min(self.pending_timers)
            self.pending_timers.remove(timer)
            self.now = max(self.now, timer.due_at)
            self.deliver(TimerExpired(timer_id=timer.timer_id))
        self.now = max(self.now, until)
        return [logged.action for logged in self.action_log[logged_before:]]

    def run_to_next_action(self, limit: int = 10 * SECOND) -> list[Action]:
        """Deliver timers until actions follow or a time limit is reached, and return the actions."""
        end = self.now + limit
        while self.pending_timers and min(self.pending_timers).due_at <= end:
            actions = self.run_until(min(self.pending_timers).due_at)
            if actions:
                return actions
        return []

    def send_request(self, key: int = 7, time_left: int = DEADLINE, **changes: Any) -> SentRequest:
        """Send a request whose deadline is `time_left` from now."""
        request_id = self.next_request_id
        self.next_request_id += 1
        tenant = changes.pop("tenant", 0)
        request = RequestReceived(
            request_id=request_id,
            class_index=0,
            tenant=tenant,
            deadline_us=self.now + time_left,
            key=key,
            **changes,
        )
        return SentRequest(request_id=request_id, actions=self.deliver(request))

    def fail_attempt(
        self,
        start: StartAttempt,
        attempt: int,
        status: AttemptStatus = AttemptStatus.CONNECT_FAILED,
        after: int = MILLISECOND,
    ) -> list[Action]:
        """Advance the clock and let an attempt fail then."""
        self.now += after
        return self.deliver(
            AttemptEnded(
                request_id=start.request_id,
                attempt=attempt,
                endpoint_id=start.endpoint_id,
                status=status,
                latency_us=after,
                is_request_over=False,
            )
        )


def of_type(actions: Iterable[Action], action_type: type[ActionType]) -> list[ActionType]:
    """Return the actions of a type, in order."""
    return [action for action in actions if isinstance(action, action_type)]


def only_attempt(actions: list[Action]) -> StartAttempt:
    """Return the attempt among actions, and check that there is exactly one."""
    starts = of_type(actions, StartAttempt)
    assert len(starts) == 1, actions
    return starts[0]
