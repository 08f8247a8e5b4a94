"""Clock, random numbers, actions, timers and counts of the decision module; nothing is decided here."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random

from tansyladder.policy.actions import Action, SetTimer
from tansyladder.policy.events import TimerExpired

TIMER_ID_MASK = 0xFFFFFFFF  # timer ids have 32 bits on the wire


class Runtime:
    """The moment of the events in hand, and where their actions and timers go.

    Owned by one `Balancer`, which sets `now` and `actions` for each batch of events.
    """

    __slots__ = (
        "_last_timer_id",
        "_timers",
        "actions",
        "connections_by_tenant",
        "now",
        "rng",
        "setup_failure_rate",
    )

    def __init__(self, seed: int, now: int) -> None:
        self.now = now  # in microseconds
        self.rng = Random(seed)
        self.actions: list[Action] = []
        self.setup_failure_rate = 0.0  # of the last set-ups of connections, 0 to 1
        self.connections_by_tenant: Counter[int] = Counter()  # the established ones
        self._timers: dict[int, tuple[Callable[..., None], tuple[object, ...]]] = {}
        self._last_timer_id = 0

    def schedule(self, due_at: int, callback: Callable[..., None], *arguments: object) -> None:
        """Call back with the arguments at a moment, which is not before `now`."""
        self._last_timer_id = (self._last_timer_id + 1) & TIMER_ID_MASK
        self._timers[self._last_timer_id] = (callback, arguments)
        self.actions.append(SetTimer(due_at, self._last_timer_id))

    def handle_timer(self, event: TimerExpired) -> None:
        """Call back what was scheduled under a timer; a timer that is not known is ignored."""
        timer = self._timers.pop(event.timer_id, None)
        if timer:
            callback, arguments = timer
            callback(*arguments)
