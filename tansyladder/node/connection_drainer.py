"""Drains a node: established connections are migrated, waiting requests are rejected, each told once."""

from __future__ import annotations

import threading
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from tansyladder.log import LogEvent, log
from tansyladder.net.clock import now
from tansyladder.node.context import NodeContext
from tansyladder.policy.actions import Migrate, Reject

LATE_ARRIVAL_WINDOW = timedelta(milliseconds=450)  # after SIGTERM new connections come for up to 0.4 s
LONGEST_REQUEST_WAIT = timedelta(seconds=3)  # that a shutdown grants, however long the deadlines are
KILL_MARGIN = timedelta(milliseconds=700)  # SIGKILL comes no earlier than the longest deadline and this
EXIT_MARGIN = timedelta(milliseconds=400)  # of that margin, for the end of the process
# After `standby` every client has left in 4 s, less a margin.
STANDBY_DRAIN_DURATION = timedelta(seconds=3.4)
LAST_MIGRATION_MARGIN = timedelta(milliseconds=500)  # from the last client's MOVE to the end of the drain
DRAIN_STEP_INTERVAL = timedelta(milliseconds=10)


class RemainingRequests(NamedTuple):
    """Counts of the requests that a drain has not ended."""

    established: int
    waiting: int


class ConnectionDrainer:
    """Tells connections to leave; thread-safe, as it has no state of its own that changes."""

    def __init__(self, context: NodeContext, active_count: Callable[[], int]) -> None:
        """`active_count`: how many connections are served at the moment."""
        self._configuration = context.configuration
        self._lifecycle = context.lifecycle
        self._policy = context.policy
        self._active_count = active_count

    def shutdown_deadline(self) -> timedelta:
        """Until when a shutdown may spread its migrations, from the moment it began."""
        longest_wait = min(self._configuration.config.longest_deadline, LONGEST_REQUEST_WAIT)
        return self._lifecycle.state_since + longest_wait + KILL_MARGIN - EXIT_MARGIN

    def run_standby_drains(self) -> None:
        """Drain whenever the node goes to standby, until it shuts down; for a thread of its own."""
        while (since := self._lifecycle.wait_for_standby()) is not None:
            notified = self.migrate_gradually(since, since + STANDBY_DRAIN_DURATION)
            if not self._lifecycle.wait_for_change(since, now()):
                self.evict_remaining(notified, now())
                left = self.remaining()
                log(LogEvent.STANDBY_ENTERED, standing=left.established, in_hand=left.waiting)
            self._lifecycle.wait_for_change(since)

    def migrate_gradually(
        self, since: timedelta, end: timedelta, is_finished: Callable[[], bool] = lambda: False
    ) -> set[int]:
        """Migrate established connections, spread until `end`; returns the ids of those that were told.

        All clients coming at once to the other nodes would fail together. It ends early once the lifecycle's
        state, which began at `since`, changes, or `is_finished` says so.
        """
        notified = set[int]()
        while True:
            step_end = max(since + LATE_ARRIVAL_WINDOW, now() + DRAIN_STEP_INTERVAL)
            if self._lifecycle.wait_for_change(since, step_end) or now() >= end:
                return notified
            established = [
                number for number in self._policy.established_request_ids() if number not in notified
            ]
            if is_finished():
                return notified
            steps_left = max(1, (end - LAST_MIGRATION_MARGIN - now()) // DRAIN_STEP_INTERVAL)
            share = established[: -(-len(established) // steps_left)]
            notified.update(share)
            self._policy.dispatch([Migrate(number) for number in share])

    def evict_remaining(self, notified: set[int], until: timedelta) -> None:
        """Reject waiting requests and migrate established ones until all have left or a moment has come.

        Each is told once: a rejection that finds its connection established by then becomes a migration. A
        request that was admitted a moment ago may not be registered yet, so this looks again and again.
        """
        while True:
            waiting = [number for number in self._policy.waiting_request_ids() if number not in notified]
            notified.update(waiting)
            established = [
                number for number in self._policy.established_request_ids() if number not in notified
            ]
            notified.update(established)
            rejections = [Reject(number) for number in waiting]
            migrations = [Migrate(number) for number in established]
            self._policy.dispatch([*rejections, *migrations])
            if not self._active_count() or now() >= until:
                return
            threading.Event().wait(DRAIN_STEP_INTERVAL.total_seconds())

    def remaining(self) -> RemainingRequests:
        """How many requests this node still has."""
        established_count = len(self._policy.established_request_ids())
        return RemainingRequests(established_count, len(self._policy.waiting_request_ids()))
