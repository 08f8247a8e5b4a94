"""When discovery is polled: once soon after the start, and again after each failed poll.

The first poll happens at a random time within a spread, as all nodes may start together and would otherwise
overload the discovery service. The spread is 1 / `FIRST_POLL_SPEEDUP` of the interval in which all nodes may
call once each, or 3/4 of the poll interval if that call interval is not configured. The spread is short
because, until its first poll, a restarted node treats endpoints that started while it was down as warm.

Polls after failures follow a truncated binary exponential backoff with two slots in each interval. Two
intervals and one call fit into the maximum age of the list. The intervals neither start shorter nor grow: if
calls fail because too many nodes call at once, shorter intervals would keep them failing. After a successful
poll, the caller delivers changes as they arrive; this module cannot see whether the caller still receives
any.
"""

from __future__ import annotations

from random import Random

from tansyladder.policy.action_sink import ActionSink
from tansyladder.policy.actions import PollDiscovery
from tansyladder.policy.active_settings import ActiveSettings
from tansyladder.policy.backoff import Backoff
from tansyladder.policy.clock import Clock
from tansyladder.policy.timers import TimerScheduler

# Maximum age of the list: a node is expected to know a change after this time, even if its calls failed.
MAX_LIST_AGE_US = 6_000_000
SLOTS_PER_LIST_AGE = 6  # two intervals of two slots take two thirds of the age; the rest is for a call
MAX_POLL_FAILURE_COUNT = 1  # the interval stops growing at this number of failures
FIRST_POLL_SPEEDUP = 6  # divides the call interval for the first poll; polls after failures are not sped up
FIRST_POLL_SHARE_NUMERATOR = 3  # of the poll interval: the first poll is due within 3/4 of it
FIRST_POLL_SHARE_DENOMINATOR = 4


class DiscoveryPoller:
    """Decides when discovery is polled."""

    def __init__(
        self,
        clock: Clock,
        active_settings: ActiveSettings,
        rng: Random,
        actions: ActionSink,
        timers: TimerScheduler,
    ) -> None:
        self._clock = clock
        self._active_settings = active_settings
        self._rng = rng
        self._actions = actions
        self._timers = timers
        self._is_scheduled = False  # whether a poll after a failed one is scheduled
        self.backoff = Backoff()  # counts failed polls

    def start(self) -> None:
        """Schedule the first poll if the settings enable polling."""
        settings = self._active_settings.settings
        if settings.polls_discovery:
            spread_us = settings.discovery_call_interval_us // FIRST_POLL_SPEEDUP
            poll_share_us = (
                settings.poll_interval_us * FIRST_POLL_SHARE_NUMERATOR // FIRST_POLL_SHARE_DENOMINATOR
            )
            delay_us = self._rng.randint(0, spread_us or poll_share_us)
            self._timers.schedule(self._clock.now + delay_us, self._poll)

    def poll_later(self) -> None:
        """Schedule another poll after a failed one, unless one is scheduled already."""
        if not self._is_scheduled:
            self._is_scheduled = True
            slot_us = (
                min(MAX_LIST_AGE_US, self._active_settings.settings.poll_interval_us) // SLOTS_PER_LIST_AGE
            )
            self.backoff.record_failure(self._clock.now, slot_us, MAX_POLL_FAILURE_COUNT, self._rng)
            self._timers.schedule(self.backoff.retry_at, self._poll)

    def _poll(self) -> None:
        """Poll discovery now."""
        self._is_scheduled = False
        self._actions.emit(PollDiscovery(is_enabled=True))
