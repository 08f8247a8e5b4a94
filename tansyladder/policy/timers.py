"""Timers of the policy: what is called back when the caller reports that a timer has expired.

A timer is set by the action `SetTimer` and can't be cancelled. A callback therefore looks again at what it
is about: by then a client may have left or an endpoint may have gone. Timers hold no moments; that one
expires in time is up to the caller.
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
        # By timer id: the callback and its arguments; a plain pair, as there is one for each retry.
        self._callbacks: dict[int, tuple[Callable[..., None], tuple[object, ...]]] = {}
        self._last_timer_id = 0

    def schedule(self, due_at: int, callback: Callable[[*Arguments], None], *arguments: *Arguments) -> None:
        """Call back with the arguments at a moment (us) that is not in the past."""
        timer_id = self._last_timer_id = (self._last_timer_id + 1) & TIMER_ID_MASK
        self._callbacks[timer_id] = (callback, arguments)
        self._actions.emit(SetTimer(due_at, timer_id))

    def handle_timer_expired(self, event: TimerExpired) -> None:
        """Call back what was scheduled under a timer; a timer that is not known is ignored."""
        scheduled = self._callbacks.pop(event.timer_id, None)
        if scheduled:
            callback, arguments = scheduled
            callback(*arguments)
