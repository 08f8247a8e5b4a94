"""When discovery is polled: once soon after the start, and again after each poll that failed.

The first poll is due at a random moment of a spread, as all nodes may start together and would overload the
one service. The spread is `FIRST_POLL_SPEEDUP` times shorter than the interval in which all nodes may call
once each, or 3/4 of the poll interval where that is not configured. It is short because a restarted node
takes endpoints that started in the meantime for warm until its first poll.

Polls after failures follow a truncated binary exponential backoff with two slots in each interval. Two
intervals and a call are within the list's age limit. Intervals neither start shorter nor grow: where the
calls of all nodes fail for their number, shorter ones would keep them failing. After a poll that succeeded
the caller hands over changes as they come; whether it still gets any is not known here.
"""

from __future__ import annotations

from random import Random

from tansyladder.policy.action_sink import ActionSink
from tansyladder.policy.actions import PollDiscovery
from tansyladder.policy.backoff import Backoff
from tansyladder.policy.clock import Clock
from tansyladder.policy.settings_in_force import SettingsInForce
from tansyladder.policy.timers import TimerScheduler

MAX_LIST_AGE_US = 6_000_000  # after which a node counts as notified of a change, whatever its calls came to
SLOTS_PER_LIST_AGE = 6  # two intervals of two slots are two thirds of the age; a call has the rest
MAX_POLL_ATTEMPT = 1  # failures from which intervals grow no more
FIRST_POLL_SPEEDUP = 6  # times sooner than at the pace of calls; polls after failures keep to the pace
FIRST_POLL_SHARE_NUMERATOR = 3  # of the poll interval, within which the first poll is due
FIRST_POLL_SHARE_DENOMINATOR = 4


class DiscoveryPoller:
    """Decides when discovery is polled."""

    def __init__(
        self,
        clock: Clock,
        in_force: SettingsInForce,
        rng: Random,
        actions: ActionSink,
        timers: TimerScheduler,
    ) -> None:
        self._clock = clock
        self._in_force = in_force
        self._rng = rng
        self._actions = actions
        self._timers = timers
        self._is_scheduled = False  # whether a poll after a failure is scheduled
        self.backoff = Backoff()  # of polls that failed

    def start(self) -> None:
        """Schedule the first poll, where discovery is polled at all."""
        settings = self._in_force.settings
        if settings.polls_discovery:
            spread_us = settings.discovery_call_interval_us // FIRST_POLL_SPEEDUP
            poll_share_us = (
                settings.poll_interval_us * FIRST_POLL_SHARE_NUMERATOR // FIRST_POLL_SHARE_DENOMINATOR
            )
            delay_us = self._rng.randint(0, spread_us or poll_share_us)
            self._timers.schedule(self._clock.now + delay_us, self._poll)

    def poll_later(self) -> None:
        """Schedule a poll after one that failed, unless one is scheduled."""
        if not self._is_scheduled:
            self._is_scheduled = True
            slot_us = min(MAX_LIST_AGE_US, self._in_force.settings.poll_interval_us) // SLOTS_PER_LIST_AGE
            self.backoff.record_failure(self._clock.now, slot_us, MAX_POLL_ATTEMPT, self._rng)
            self._timers.schedule(self.backoff.retry_at, self._poll)

    def _poll(self) -> None:
        """Poll discovery now."""
        self._is_scheduled = False
        self._actions.emit(PollDiscovery(is_enabled=True))
