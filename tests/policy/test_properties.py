"""Property test: the policy's rules hold for random valid sequences of events."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from tansyladder.policy.actions import Action, CheckHealth, Fail, Migrate, Reject, StartAttempt
from tansyladder.policy.events import (
    AttemptEnded,
    AttemptEstablished,
    AttemptStatus,
    ClientDisconnected,
    ConnectionReport,
    EndpointState,
    HealthCheckResult,
    ListUpdateKind,
    RequestReceived,
)
from tansyladder.policy.settings import DeduplicationScope, Idempotency
from tests.policy.harness import DEADLINE, MILLISECOND, SECOND, BalancerDriver, list_update, make_endpoint

IDEMPOTENCIES = [
    (Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
    (Idempotency.WITH_KEY, DeduplicationScope.ALL),
    (Idempotency.WITH_KEY, DeduplicationScope.ZONE),
    (Idempotency.WITH_KEY, DeduplicationScope.CELL),
    (Idempotency.NONE, DeduplicationScope.ALL),
]
FAILURES = (
    AttemptStatus.ERROR,
    AttemptStatus.FULL,
    AttemptStatus.TIMEOUT,
    AttemptStatus.CONNECT_FAILED,
    AttemptStatus.RESET,
    AttemptStatus.CANCELLED,
)


class PendingAttempt(NamedTuple):
    """An attempt in flight, or the connection that it established."""

    attempt: int
    endpoint_id: int
    started_at: int


class PossibleExecution(NamedTuple):
    """Where and when a request may have run for the first time."""

    endpoint_id: int
    at: int


class RuleChecker:
    """A model of endpoints and clients, against which each action of the balancer is checked."""

    def __init__(
        self,
        seed: int,
        idempotency: Idempotency,
        scope: DeduplicationScope,
        *,
        pass_through: bool,
        can_check_health: bool,
    ) -> None:
        self.rng = Random(seed)
        self.idempotency = idempotency
        self.scope = scope
        self.zone_and_cell = {number: (number % 3, number % 6) for number in range(1, 13)}
        self.state = dict.fromkeys(self.zone_and_cell, EndpointState.READY)
        self.node = BalancerDriver(
            [make_endpoint(number, zone, cell=cell) for number, (zone, cell) in self.zone_and_cell.items()],
            seed,
            idempotency=idempotency,
            deduplication_scope=scope,
            pass_through=pass_through,
            can_check_health=can_check_health,
            report_columns=("active", "x0") if can_check_health else (),
        )
        self.deadlines: dict[int, int] = {}  # by request, until its final answer
        self.pending: dict[int, PendingAttempt] = {}  # by request
        self.attempt_numbers: dict[int, int] = {}  # of the last attempt of each request
        self.executions: dict[int, PossibleExecution] = {}  # by request
        self.established: set[int] = set()
        self.health_checks: list[int] = []  # endpoints with a check in flight
        self.midstream: set[int] = set()
        self.state_changed_at: dict[int, int] = {}  # by endpoint

    def check(self, actions: list[Action]) -> None:
        """Check that actions follow the rules, and apply them to the model."""
        for action in actions:
            if isinstance(action, StartAttempt):
                self._check_start(action)
            elif isinstance(action, Reject | Fail):
                self._check_answer(action)
            elif isinstance(action, CheckHealth):
                self.health_checks.append(action.endpoint_id)
            elif isinstance(action, Migrate):
                assert action.request_id in self.established

    def _check_start(self, start: StartAttempt) -> None:
        now = self.node.now
        request_id = start.request_id
        assert request_id in self.deadlines, "attempt started after the final answer"
        assert request_id not in self.pending, "attempt started while another one is pending"
        state = self.state[start.endpoint_id]
        if state is not EndpointState.READY:
            assert state is EndpointState.DRAINING, "attempt started at an endpoint that is gone"
            assert request_id in self.midstream, "attempt started at a draining endpoint"
            changed_at = self.state_changed_at[start.endpoint_id]
            assert now - changed_at <= self.node.settings.drain_grace_us
        assert now < self.deadlines[request_id]
        self.attempt_numbers[request_id] = self.attempt_numbers.get(request_id, -1) + 1
        assert self.attempt_numbers[request_id] < self.node.settings.max_attempts
        if request_id in self.executions and self.idempotency is not Idempotency.IDEMPOTENT:
            self._check_repetition(start)
        self.pending[request_id] = PendingAttempt(
            attempt=self.attempt_numbers[request_id], endpoint_id=start.endpoint_id, started_at=now
        )

    def _check_repetition(self, start: StartAttempt) -> None:
        assert self.idempotency is Idempotency.WITH_KEY, (
            "request without idempotency attempted again after it may have run"
        )
        first = self.executions[start.request_id]
        zone_and_cell = self.zone_and_cell[start.endpoint_id]
        first_zone_and_cell = self.zone_and_cell[first.endpoint_id]
        scope_index = self.scope is DeduplicationScope.CELL
        assert (
            self.scope is DeduplicationScope.ALL
            or zone_and_cell[scope_index] == first_zone_and_cell[scope_index]
        )
        window = self.node.settings.classes[0].deduplication_window_us
        assert self.node.now - first.at < window

    def _check_answer(self, answer: Reject | Fail) -> None:
        request_id = answer.request_id
        assert request_id in self.deadlines, "final answer to a request that needs none"
        assert self.node.now <= self.deadlines[request_id] + self.node.settings.answer_grace_us
        if isinstance(answer, Reject) and request_id in self.executions:
            is_deduplicated = self.scope is DeduplicationScope.ALL
            assert self.idempotency is Idempotency.IDEMPOTENT or (
                self.idempotency is Idempotency.WITH_KEY and is_deduplicated
            ), "request rejected that may have run and is not deduplicated everywhere"
        del self.deadlines[request_id]

    def end_attempt(self, request_id: int, status: AttemptStatus, latency: int) -> None:
        """End a pending attempt or an established connection."""
        pending = self.pending.pop(request_id)
        is_answered = request_id not in self.deadlines or request_id in self.established
        is_request_over = is_answered or status is AttemptStatus.OK
        if is_request_over:
            self.deadlines.pop(request_id, None)
        elif not status.proves_not_executed:
            self.executions.setdefault(
                request_id, PossibleExecution(endpoint_id=pending.endpoint_id, at=pending.started_at)
            )
        self.established.discard(request_id)
        ended = AttemptEnded(
            request_id=request_id,
            attempt=pending.attempt,
            endpoint_id=pending.endpoint_id,
            status=status,
            latency_us=latency,
            is_request_over=is_request_over,
        )
        self.check(self.node.deliver(ended))

    def advance(self, until: int) -> None:
        """Deliver the timers due up to a time, and check the actions at the time of each timer."""
        node = self.node
        while node.pending_timers and min(node.pending_timers).due_at <= until:
            self.check(node.run_until(min(node.pending_timers).due_at))
            self.expire()
        self.check(node.run_until(until))
        self.expire()

    def expire(self) -> None:
        """Time out the attempts of requests that have reached their deadlines."""
        node = self.node
        expired = [
            request
            for request in sorted(self.pending)
            if request in self.deadlines and self.deadlines[request] <= node.now
        ]
        for request_id in expired:
            deadline = self.deadlines[request_id]
            node.now = deadline if node.now - deadline < SECOND else node.now
            latency = node.now - self.pending[request_id].started_at
            self.end_attempt(request_id, AttemptStatus.TIMEOUT, latency)


class RandomTraffic(RuleChecker):
    """Random events of endpoints and clients."""

    def step(self, request_id: int) -> None:
        """Let a random time pass, then deliver a random event; a new request gets this number."""
        pause = self.rng.choice([0, MILLISECOND, 20 * MILLISECOND, 300 * MILLISECOND])
        self.advance(self.node.now + pause)
        match self.rng.randrange(9):
            case 0 | 1 | 2:
                self.send_request(request_id)
            case 3 | 4 if self.pending:
                self.end_random_attempt()
            case 5 if set(self.pending) - self.established:
                self.establish_random_attempt()
            case 6:
                self.update_random_endpoint()
            case 7 if self.deadlines:
                request_id = self.rng.choice(sorted(self.deadlines))
                del self.deadlines[request_id]
                self.check(self.node.deliver(ClientDisconnected(request_id=request_id)))
            case 8:
                self.answer_health_checks()
                self.report_connections()

    def send_request(self, request_id: int) -> None:
        """Send a request, perhaps midstream, perhaps after its deadline."""
        time_left_us = self.rng.choice([-MILLISECOND, 5 * MILLISECOND, 200 * MILLISECOND, DEADLINE])
        self.deadlines[request_id] = self.node.now + max(0, time_left_us)
        if self.rng.random() < 0.2:
            self.midstream.add(request_id)
        is_midstream = request_id in self.midstream
        deadline = self.node.now + time_left_us
        key = self.rng.randrange(5)
        self.check(
            self.node.deliver(
                RequestReceived(
                    request_id=request_id,
                    class_index=0,
                    tenant=0,
                    deadline_us=deadline,
                    key=key,
                    is_midstream=is_midstream,
                )
            )
        )

    def end_random_attempt(self) -> None:
        """End a random pending attempt with a random status, or reset an established connection."""
        request_id = self.rng.choice(sorted(self.pending))
        is_established = request_id in self.established
        status = AttemptStatus.RESET if is_established else self.rng.choice((*FAILURES, AttemptStatus.OK))
        self.end_attempt(request_id, status, self.node.now - self.pending[request_id].started_at)

    def establish_random_attempt(self) -> None:
        """Establish the connection of a random pending attempt, if its client still waits."""
        request_id = self.rng.choice(sorted(set(self.pending) - self.established))
        if request_id in self.deadlines:
            self.established.add(request_id)
            del self.deadlines[request_id]
            pending = self.pending[request_id]
            latency = self.node.now - pending.started_at
            event = AttemptEstablished(
                request_id=request_id,
                attempt=pending.attempt,
                endpoint_id=pending.endpoint_id,
                latency_us=latency,
            )
            self.check(self.node.deliver(event))

    def update_random_endpoint(self) -> None:
        """Change the state of a random endpoint, or restart it."""
        endpoint_id = self.rng.choice(sorted(self.zone_and_cell))
        state = self.rng.choice(
            [EndpointState.READY, EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE]
        )
        if state is not self.state[endpoint_id]:
            self.state[endpoint_id] = state
            self.state_changed_at[endpoint_id] = self.node.now
        zone, cell = self.zone_and_cell[endpoint_id]
        ready_at = self.node.now if self.rng.random() < 0.3 else 0
        update = make_endpoint(endpoint_id, zone, state, ready_at, cell=cell)
        self.check(self.node.deliver(list_update(ListUpdateKind.DELTA, update)))

    def answer_health_checks(self) -> None:
        """Answer all health checks in flight, some with invalid values."""
        for endpoint_id in self.health_checks:
            utilization = self.rng.choice([0.2, 0.9, 3.0, -1.0, float("nan"), float("inf")])
            status = self.rng.choice([AttemptStatus.OK, AttemptStatus.OK, AttemptStatus.TIMEOUT])
            result = HealthCheckResult(
                endpoint_id=endpoint_id, status=status, latency_us=MILLISECOND, load_report=(3.0, utilization)
            )
            self.check(self.node.deliver(result))
        self.health_checks = []

    def report_connections(self) -> None:
        """Report the load or the delay of all established connections, some with invalid values."""
        for request_id in sorted(self.established):
            pending = self.pending[request_id]
            value = self.rng.choice([20.0, 400.0, float("nan"), -3.0])
            kind = self.rng.choice([1, 2])
            report = ConnectionReport(
                request_id=request_id,
                kind=kind,
                attempt=pending.attempt,
                endpoint_id=pending.endpoint_id,
                value=value,
            )
            self.check(self.node.deliver(report))


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 2**32),
    idempotency=st.sampled_from(IDEMPOTENCIES),
    pass_through=st.booleans(),
    can_check_health=st.booleans(),
)
def test_the_rules_hold_for_random_events(
    *,
    seed: int,
    idempotency: tuple[Idempotency, DeduplicationScope],
    pass_through: bool,
    can_check_health: bool,
) -> None:
    checker = RandomTraffic(seed, *idempotency, pass_through=pass_through, can_check_health=can_check_health)
    for request_id in range(1, 150):
        checker.step(request_id)
    for _ in range(200):
        checker.advance(checker.node.now + 20 * MILLISECOND)
    assert not checker.deadlines, f"requests without a final answer: {sorted(checker.deadlines)}"
