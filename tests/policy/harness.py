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

MILLISECOND, SECOND = 1000, 1_000_000
START_TIME = 1000 * SECOND
LATENCY_OBJECTIVE, DEADLINE = 400 * MILLISECOND, 2000 * MILLISECOND


def make_settings(**over: Any) -> Settings:
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
        "latency_objective_us": LATENCY_OBJECTIVE,
        "deadline_us": DEADLINE,
        "deduplication_window_us": 5 * SECOND,
        "message_latency_objective_us": 150 * MILLISECOND,
    }
    one = ClassSettings(**{**one_class, **cls})
    base: dict[str, Any] = {
        "classes": (one,),
        "slow_start_duration_us": 20 * SECOND,
        "slow_start_initial_capacity": 0.15,
        "overload_factor": 3.0,
        "max_attempts": 5,
        "drain_grace_us": 1000 * MILLISECOND,
        "can_send_retry_after": True,
        "max_retry_after_us": 10 * SECOND,
    }
    return Settings(**{**base, **over})


def endpoint(
    server: int, zone: int = 0, state: EndpointState = EndpointState.READY, ready_at: int = 0, **over: Any
) -> EndpointUpdate:
    return EndpointUpdate(server, zone, over.get("cell", zone), 0, over.get("weight", 1.0), state, ready_at)


class BalancerDriver:
    """A Balancer with a clock that plays due timers in order."""

    def __init__(self, lines: list[EndpointUpdate], seed: int = 1, **over: Any) -> None:
        self.settings = make_settings(**over)
        self.now = START_TIME
        self.balancer = Balancer(self.settings, seed, self.now)
        self.pending_timers: list[tuple[int, int]] = []
        self.action_log: list[tuple[int, Action]] = []
        self.next_id = 1
        self.deliver(EndpointListUpdate(ListUpdateKind.CACHED, tuple(lines)))

    def deliver(self, *events: Event) -> list[Action]:
        actions = self.balancer.handle(self.now, list(events))
        for a in actions:
            if isinstance(a, SetTimer):
                self.pending_timers.append((a.due_at_us, a.timer_id))
            else:
                self.action_log.append((self.now, a))
        return [a for a in actions if not isinstance(a, SetTimer)]

    def run_until(self, until: int) -> list[Action]:
        """Play timers up to a time; all actions of that stretch."""
        mark = len(self.action_log)
        while self.pending_timers and min(self.pending_timers)[0] <= until:
            due = min(self.pending_timers)
            self.pending_timers.remove(due)
            self.now = max(self.now, due[0])
            self.deliver(TimerExpired(due[1]))
        self.now = max(self.now, until)
        return [a for _, a in self.action_log[mark:]]

    def run_to_next_action(self, limit: int = 10 * SECOND) -> list[Action]:
        """Play timers until one of them does something."""
        end = self.now + limit
        while self.pending_timers and min(self.pending_timers)[0] <= end:
            acts = self.run_until(min(self.pending_timers)[0])
            if acts:
                return acts
        return []

    def send_request(self, key: int = 7, left: int = DEADLINE, **over: Any) -> tuple[int, list[Action]]:
        rid, self.next_id = self.next_id, self.next_id + 1
        return rid, self.deliver(RequestReceived(rid, 0, over.pop("tenant", 0), self.now + left, key, **over))

    def fail_attempt(
        self,
        send: StartAttempt,
        attempt: int,
        status: AttemptStatus = AttemptStatus.CONNECT_FAILED,
        wait: int = MILLISECOND,
    ) -> list[Action]:
        self.now += wait
        return self.deliver(AttemptEnded(send.request_id, attempt, send.endpoint_id, status, wait, False))


def only_attempt(actions: list[Action]) -> StartAttempt:
    sends = [a for a in actions if isinstance(a, StartAttempt)]
    assert len(sends) == 1, actions
    return sends[0]
