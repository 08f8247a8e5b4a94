"""Random legal event sequences: the rules hold on every one of them."""

from __future__ import annotations

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from tansyladder.interface import (
    Action,
    Effect,
    Fail,
    First,
    Gone,
    Group,
    ListKind,
    Members,
    Move,
    Note,
    Outcome,
    Probe,
    Probed,
    Refuse,
    Request,
    Send,
    State,
    Status,
)
from tests.helpers import DEADLINE, MS, Node, S, line

EFFECTS = [
    (Effect.SAFE, Group.ALL),
    (Effect.KEYED, Group.ALL),
    (Effect.KEYED, Group.ZONE),
    (Effect.KEYED, Group.CELL),
    (Effect.UNSAFE, Group.ALL),
]
FAILURES = (
    Status.ERROR,
    Status.FULL,
    Status.TIMEOUT,
    Status.CONNECT_FAILED,
    Status.RESET,
    Status.CANCELLED,
)


class Judge:
    """A world that answers at random and checks each action as it comes."""

    def __init__(self, seed: int, effect: Effect, group: Group, pass_mode: bool, probes: bool) -> None:
        self.rng = Random(seed)
        self.effect, self.group = effect, group
        self.place = {i: (i % 3, i % 6) for i in range(1, 13)}
        self.state = dict.fromkeys(self.place, State.READY)
        self.node = Node(
            [line(i, z, cell=c) for i, (z, c) in self.place.items()],
            seed,
            effect=effect,
            group=group,
            pass_through=pass_mode,
            probes=probes,
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
            if isinstance(a, Send):
                assert a.id in self.open, "sent after the end"
                assert a.id not in self.out, "two attempts out"
                if self.state[a.server] is not State.READY:
                    assert self.state[a.server] is State.DRAINING and a.id in self.midflow, "sent to a drain"
                    assert now - self.told[a.server] <= self.node.settings.drain_grace
                assert now < self.open[a.id]
                self.tries[a.id] = self.tries.get(a.id, -1) + 1
                assert self.tries[a.id] < self.node.settings.max_attempts
                if a.id in self.ran and self.effect is not Effect.SAFE:
                    assert self.effect is Effect.KEYED, "an unsafe effect twice"
                    server, at = self.ran[a.id]
                    mine, its = self.place[a.server], self.place[server]
                    part = self.group is Group.CELL
                    assert self.group is Group.ALL or mine[part] == its[part]
                    assert now - at < self.node.settings.classes[0].window
                self.out[a.id] = (self.tries[a.id], a.server, now)
            elif isinstance(a, Refuse | Fail):
                assert a.id in self.open, "answered twice"
                assert now <= self.open[a.id] + self.node.settings.answer_slack
                if isinstance(a, Refuse) and a.id in self.ran:
                    assert self.effect is Effect.SAFE or (
                        self.effect is Effect.KEYED and self.group is Group.ALL
                    ), "refused what may have run"
                del self.open[a.id]
            elif isinstance(a, Probe):
                self.pinged.append(a.server)
            elif isinstance(a, Move):
                assert a.id in self.up

    def end(self, rid: int, status: Status, latency: int) -> None:
        attempt, server, at = self.out.pop(rid)
        closed = rid not in self.open or rid in self.up or status is Status.OK
        if closed:
            self.open.pop(rid, None)
        elif not status.never_ran:
            self.ran.setdefault(rid, (server, at))
        self.up.discard(rid)
        self.check(self.node.give(Outcome(rid, attempt, server, status, latency, closed)))

    def step(self, rid: int) -> None:
        rng, node = self.rng, self.node
        self.advance(node.now + rng.choice([0, MS, 20 * MS, 300 * MS]))
        self.act(rid)

    def advance(self, until: int) -> None:
        node = self.node
        while node.timers and min(node.timers)[0] <= until:  # one time at a time, to check at its own clock
            self.check(node.run(min(node.timers)[0]))
            self.expire()
        self.check(node.run(until))
        self.expire()

    def act(self, rid: int) -> None:
        rng, node = self.rng, self.node
        match rng.randrange(9):
            case 0 | 1 | 2:
                left = rng.choice([-MS, 5 * MS, 200 * MS, DEADLINE])
                self.open[rid] = node.now + max(0, left)
                if rng.random() < 0.2:
                    self.midflow.add(rid)
                asked = Request(rid, 0, 0, node.now + left, rng.randrange(5), midflow=rid in self.midflow)
                self.check(node.give(asked))
            case 3 | 4 if self.out:
                pick = rng.choice(sorted(self.out))
                status = Status.RESET if pick in self.up else rng.choice((*FAILURES, Status.OK))
                self.end(pick, status, node.now - self.out[pick][2])
            case 5 if set(self.out) - self.up:
                pick = rng.choice(sorted(set(self.out) - self.up))
                if pick in self.open:
                    self.up.add(pick)
                    del self.open[pick]
                    attempt, server, at = self.out[pick]
                    self.check(node.give(First(pick, attempt, server, node.now - at)))
            case 6:
                server = rng.choice(sorted(self.place))
                state = rng.choice([State.READY, State.READY, State.DRAINING, State.GONE])
                if state is not self.state[server]:
                    self.state[server], self.told[server] = state, node.now
                z, c = self.place[server]
                started = node.now if rng.random() < 0.3 else 0
                entry = line(server, z, self.state[server], started, cell=c)
                self.check(node.give(Members(ListKind.DELTA, (entry,))))
            case 7 if self.open:
                pick = rng.choice(sorted(self.open))
                del self.open[pick]
                self.check(node.give(Gone(pick)))
            case 8:
                for server in self.pinged:
                    value = rng.choice([0.2, 0.9, 3.0, -1.0, float("nan"), float("inf")])
                    status = rng.choice([Status.OK, Status.OK, Status.TIMEOUT])
                    self.check(node.give(Probed(server, status, MS, (3.0, value))))
                self.pinged = []
                for pick in sorted(self.up):
                    attempt, server, _ = self.out[pick]
                    value = rng.choice([20.0, 400.0, float("nan"), -3.0])
                    self.check(node.give(Note(pick, rng.choice([1, 2]), attempt, server, value)))

    def expire(self) -> None:
        """A client's time is up: an attempt that is out ends in a time-out at the deadline."""
        for rid in [r for r in sorted(self.out) if r in self.open and self.open[r] <= self.node.now]:
            self.node.now = self.open[rid] if self.node.now - self.open[rid] < S else self.node.now
            self.end(rid, Status.TIMEOUT, self.node.now - self.out[rid][2])


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 2**32),
    effect=st.sampled_from(EFFECTS),
    pass_mode=st.booleans(),
    probes=st.booleans(),
)
def test_the_rules_hold(seed: int, effect: tuple[Effect, Group], pass_mode: bool, probes: bool) -> None:
    judge = Judge(seed, *effect, pass_mode, probes)
    for rid in range(1, 150):
        judge.step(rid)
    for _ in range(200):
        judge.advance(judge.node.now + 20 * MS)
    assert not judge.open, "no final answer"
