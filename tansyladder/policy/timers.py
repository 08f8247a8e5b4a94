"""Timers of the policy: callbacks that run when the caller reports that a timer has expired.

A timer is set by the action `SetTimer` and cannot be cancelled. When it expires, the client may have left or
the endpoint may be gone, so a callback must check the current state first. Due times are not stored here: the
caller is responsible for expiring timers in time.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVarTuple

from tansyladder.policy.action_sink import ActionSink
from tansyladder.policy.actions import SetTimer
from tansyladder.policy.events import TimerExpired

Arguments = TypeVarTuple("Arguments")
TIMER_ID_MASK = 0xFFFFFFFF  # timer ids have 32 bits on the wire


class TimerScheduler:
    """The pending timers of one `Balancer`, with their callbacks."""

    __slots__ = ("_actions", "_callbacks", "_last_timer_id")

    def __init__(self, actions: ActionSink) -> None:
        self._actions = actions
        # By timer id: the callback and its arguments, in a plain tuple, as there is one for each retry.
        self._callbacks: dict[int, tuple[Callable[..., None], tuple[object, ...]]] = {}
        self._last_timer_id = 0

    def schedule(self, due_at: int, callback: Callable[[*Arguments], None], *arguments: *Arguments) -> None:
        """Schedule a callback with its arguments for a time (us) that is not in the past."""
        timer_id = self._last_timer_id = (self._last_timer_id + 1) & TIMER_ID_MASK
        self._callbacks[timer_id] = (callback, arguments)
        self._actions.emit(SetTimer(due_at, timer_id))

    def handle_timer_expired(self, event: TimerExpired) -> None:
        """Run the callback of a timer; ignore an unknown timer."""
        scheduled = self._callbacks.pop(event.timer_id, None)
        if scheduled:
            callback, arguments = scheduled
            callback(*arguments)
