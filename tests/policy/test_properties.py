"""Random legal event sequences: the rules hold on every one of them."""

from __future__ import annotations

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from tansyladder.policy.actions import Action, CheckHealth, Fail, Migrate, Reject, StartAttempt
from tansyladder.policy.events import (
    AttemptEnded,
    AttemptEstablished,
    AttemptStatus,
    ClientDisconnected,
    ConnectionReport,
    EndpointListUpdate,
    EndpointState,
    HealthCheckResult,
    ListUpdateKind,
    RequestReceived,
)
from tansyladder.policy.settings import DeduplicationScope, Idempotency
from tests.policy.harness import DEADLINE, MILLISECOND, SECOND, BalancerDriver, endpoint

EFFECTS = [
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


class Judge:
    """A world that answers at random and checks each action as it comes."""

    def __init__(
        self, seed: int, effect: Idempotency, group: DeduplicationScope, pass_mode: bool, probes: bool
    ) -> None:
        self.rng = Random(seed)
        self.effect, self.group = effect, group
        self.place = {i: (i % 3, i % 6) for i in range(1, 13)}
        self.state = dict.fromkeys(self.place, EndpointState.READY)
        self.node = BalancerDriver(
            [endpoint(i, z, cell=c) for i, (z, c) in self.place.items()],
            seed,
            idempotency=effect,
            deduplication_scope=group,
            pass_through=pass_mode,
            can_check_health=probes,
            report_columns=("active", "x0") if probes else (),
        )
        self.open: dict[int, int] = {}  # request -> its deadline, while an answer is owed
        self.out: dict[int, tuple[int, int, int]] = {}  # request -> attempt, server, sent at
        self.tries: dict[int, int] = {}
        self.ran: dict[int, tuple[int, int]] = {}  # request -> server and time of what may have run
        self.up: set[int] = set()
        self.pinged: list[int] = []
        self.midflow: set[int] = set()
        self.told: dict[int, int] = {}  # when a server's present state was told

    def check(self, actions: list[Action]) -> None:
        now = self.node.now
        for a in actions:
            if isinstance(a, StartAttempt):
                assert a.request_id in self.open, "sent after the end"
                assert a.request_id not in self.out, "two attempts out"
                if self.state[a.endpoint_id] is not EndpointState.READY:
                    assert (
                        self.state[a.endpoint_id] is EndpointState.DRAINING and a.request_id in self.midflow
                    ), "sent to a drain"
                    assert now - self.told[a.endpoint_id] <= self.node.settings.drain_grace_us
                assert now < self.open[a.request_id]
                self.tries[a.request_id] = self.tries.get(a.request_id, -1) + 1
                assert self.tries[a.request_id] < self.node.settings.max_attempts
                if a.request_id in self.ran and self.effect is not Idempotency.IDEMPOTENT:
                    assert self.effect is Idempotency.WITH_KEY, "an unsafe effect twice"
                    server, at = self.ran[a.request_id]
                    mine, its = self.place[a.endpoint_id], self.place[server]
                    part = self.group is DeduplicationScope.CELL
                    assert self.group is DeduplicationScope.ALL or mine[part] == its[part]
                    assert now - at < self.node.settings.classes[0].deduplication_window_us
                self.out[a.request_id] = (self.tries[a.request_id], a.endpoint_id, now)
            elif isinstance(a, Reject | Fail):
                assert a.request_id in self.open, "answered twice"
                assert now <= self.open[a.request_id] + self.node.settings.answer_grace_us
                if isinstance(a, Reject) and a.request_id in self.ran:
                    assert self.effect is Idempotency.IDEMPOTENT or (
                        self.effect is Idempotency.WITH_KEY and self.group is DeduplicationScope.ALL
                    ), "refused what may have run"
                del self.open[a.request_id]
            elif isinstance(a, CheckHealth):
                self.pinged.append(a.endpoint_id)
            elif isinstance(a, Migrate):
                assert a.request_id in self.up

    def end(self, rid: int, status: AttemptStatus, latency: int) -> None:
        attempt, server, at = self.out.pop(rid)
        closed = rid not in self.open or rid in self.up or status is AttemptStatus.OK
        if closed:
            self.open.pop(rid, None)
        elif not status.definitely_not_executed:
            self.ran.setdefault(rid, (server, at))
        self.up.discard(rid)
        self.check(self.node.deliver(AttemptEnded(rid, attempt, server, status, latency, closed)))

    def step(self, rid: int) -> None:
        rng, node = self.rng, self.node
        self.advance(node.now + rng.choice([0, MILLISECOND, 20 * MILLISECOND, 300 * MILLISECOND]))
        self.act(rid)

    def advance(self, until: int) -> None:
        node = self.node
        while (
            node.pending_timers and min(node.pending_timers)[0] <= until
        ):  # one time at a time, to check at its own clock
            self.check(node.run_until(min(node.pending_timers)[0]))
            self.expire()
        self.check(node.run_until(until))
        self.expire()

    def act(self, rid: int) -> None:
        rng, node = self.rng, self.node
        match rng.randrange(9):
            case 0 | 1 | 2:
                left = rng.choice([-MILLISECOND, 5 * MILLISECOND, 200 * MILLISECOND, DEADLINE])
                self.open[rid] = node.now + max(0, left)
                if rng.random() < 0.2:
                    self.midflow.add(rid)
                asked = RequestReceived(
                    rid, 0, 0, node.now + left, rng.randrange(5), is_midstream=rid in self.midflow
                )
                self.check(node.deliver(asked))
            case 3 | 4 if self.out:
                pick = rng.choice(sorted(self.out))
                status = AttemptStatus.RESET if pick in self.up else rng.choice((*FAILURES, AttemptStatus.OK))
                self.end(pick, status, node.now - self.out[pick][2])
            case 5 if set(self.out) - self.up:
                pick = rng.choice(sorted(set(self.out) - self.up))
                if pick in self.open:
                    self.up.add(pick)
                    del self.open[pick]
                    attempt, server, at = self.out[pick]
                    self.check(node.deliver(AttemptEstablished(pick, attempt, server, node.now - at)))
            case 6:
                server = rng.choice(sorted(self.place))
                state = rng.choice(
                    [EndpointState.READY, EndpointState.READY, EndpointState.DRAINING, EndpointState.GONE]
                )
                if state is not self.state[server]:
                    self.state[server], self.told[server] = state, node.now
                z, c = self.place[server]
                started = node.now if rng.random() < 0.3 else 0
                entry = endpoint(server, z, self.state[server], started, cell=c)
                self.check(node.deliver(EndpointListUpdate(ListUpdateKind.DELTA, (entry,))))
            case 7 if self.open:
                pick = rng.choice(sorted(self.open))
                del self.open[pick]
                self.check(node.deliver(ClientDisconnected(pick)))
            case 8:
                for server in self.pinged:
                    value = rng.choice([0.2, 0.9, 3.0, -1.0, float("nan"), float("inf")])
                    status = rng.choice([AttemptStatus.OK, AttemptStatus.OK, AttemptStatus.TIMEOUT])
                    self.check(node.deliver(HealthCheckResult(server, status, MILLISECOND, (3.0, value))))
                self.pinged = []
                for pick in sorted(self.up):
                    attempt, server, _ = self.out[pick]
                    value = rng.choice([20.0, 400.0, float("nan"), -3.0])
                    self.check(
                        node.deliver(ConnectionReport(pick, rng.choice([1, 2]), attempt, server, value))
                    )

    def expire(self) -> None:
        """A client's time is up: an attempt that is out ends in a time-out at the deadline."""
        for rid in [r for r in sorted(self.out) if r in self.open and self.open[r] <= self.node.now]:
            self.node.now = self.open[rid] if self.node.now - self.open[rid] < SECOND else self.node.now
            self.end(rid, AttemptStatus.TIMEOUT, self.node.now - self.out[rid][2])


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 2**32),
    effect=st.sampled_from(EFFECTS),
    pass_mode=st.booleans(),
    probes=st.booleans(),
)
def test_the_rules_hold(
    seed: int, effect: tuple[Idempotency, DeduplicationScope], pass_mode: bool, probes: bool
) -> None:
    judge = Judge(seed, *effect, pass_mode, probes)
    for rid in range(1, 150):
        judge.step(rid)
    for _ in range(200):
        judge.advance(judge.node.now + 20 * MILLISECOND)
    assert not judge.open, "no final answer"
