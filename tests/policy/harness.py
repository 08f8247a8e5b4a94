"""A small harness: settings, lists and a node driven event by event."""

from __future__ import annotations

from typing import Any

from tansyladder.policy.actions import Action, SetTimer, StartAttempt
from tansyladder.policy.balancer import Balancer
from tansyladder.policy.events import (
    AttemptEnded,
    AttemptStatus,
    EndpointListUpdate,
    EndpointState,
    EndpointUpdate,
    Event,
    ListUpdateKind,
    RequestReceived,
    TimerExpired,
)
from tansyladder.policy.settings import ClassSettings, Settings

MS, S = 1000, 1_000_000
START = 1000 * S
AIM, DEADLINE = 400 * MS, 2000 * MS


def settings(**over: Any) -> Settings:
    names = (
        "idempotency",
        "deduplication_scope",
        "deduplication_window_us",
        "priority_weight",
        "latency_objective_us",
        "deadline_us",
    )
    cls: dict[str, Any] = {k: over.pop(k) for k in names if k in over}
    one_class: dict[str, Any] = {
        "latency_objective_us": AIM,
        "deadline_us": DEADLINE,
        "deduplication_window_us": 5 * S,
        "message_latency_objective_us": 150 * MS,
    }
    one = ClassSettings(**{**one_class, **cls})
    base: dict[str, Any] = {
        "classes": (one,),
        "slow_start_duration_us": 20 * S,
        "slow_start_initial_capacity": 0.15,
        "overload_factor": 3.0,
        "max_attempts": 5,
        "drain_grace_us": 1000 * MS,
        "can_send_retry_after": True,
        "max_retry_after_us": 10 * S,
    }
    return Settings(**{**base, **over})


def line(
    server: int, zone: int = 0, state: EndpointState = EndpointState.READY, ready_at: int = 0, **over: Any
) -> EndpointUpdate:
    return EndpointUpdate(server, zone, over.get("cell", zone), 0, over.get("weight", 1.0), state, ready_at)


class Node:
    """A Balancer with a clock that plays due timers in order."""

    def __init__(self, lines: list[EndpointUpdate], seed: int = 1, **over: Any) -> None:
        self.settings = settings(**over)
        self.now = START
        self.node = Balancer(self.settings, seed, self.now)
        self.timers: list[tuple[int, int]] = []
        self.log: list[tuple[int, Action]] = []
        self.next_id = 1
        self.give(EndpointListUpdate(ListUpdateKind.CACHED, tuple(lines)))

    def give(self, *events: Event) -> list[Action]:
        actions = self.node.handle(self.now, list(events))
        for a in actions:
            if isinstance(a, SetTimer):
                self.timers.append((a.due_at_us, a.timer_id))
            else:
                self.log.append((self.now, a))
        return [a for a in actions if not isinstance(a, SetTimer)]

    def run(self, until: int) -> list[Action]:
        """Play timers up to a time; all actions of that stretch."""
        mark = len(self.log)
        while self.timers and min(self.timers)[0] <= until:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            self.give(TimerExpired(due[1]))
        self.now = max(self.now, until)
        return [a for _, a in self.log[mark:]]

    def step(self, limit: int = 10 * S) -> list[Action]:
        """Play timers until one of them does something."""
        end = self.now + limit
        while self.timers and min(self.timers)[0] <= end:
            acts = self.run(min(self.timers)[0])
            if acts:
                return acts
        return []

    def ask(self, key: int = 7, left: int = DEADLINE, **over: Any) -> tuple[int, list[Action]]:
        rid, self.next_id = self.next_id, self.next_id + 1
        return rid, self.give(RequestReceived(rid, 0, over.pop("tenant", 0), self.now + left, key, **over))

    def fail(
        self,
        send: StartAttempt,
        attempt: int,
        status: AttemptStatus = AttemptStatus.CONNECT_FAILED,
        wait: int = MS,
    ) -> list[Action]:
        self.now += wait
        return self.give(AttemptEnded(send.request_id, attempt, send.endpoint_id, status, wait, False))


def only_send(actions: list[Action]) -> StartAttempt:
    sends = [a for a in actions if isinstance(a, StartAttempt)]
    assert len(sends) == 1, actions
    return sends[0]
