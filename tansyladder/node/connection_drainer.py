"""Drains a node: migrates established connections, and has the policy end the requests that still wait."""

from __future__ import annotations

import math
import threading
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from tansyladder.log import LogEvent, log
from tansyladder.net.clock import now
from tansyladder.node.context import NodeContext
from tansyladder.policy.actions import Migrate

LATE_ARRIVAL_WINDOW = timedelta(milliseconds=450)  # after SIGTERM new connections arrive for up to 0.4 s
LONGEST_REQUEST_WAIT = timedelta(seconds=3)  # a shutdown waits no longer, whatever the deadlines are
KILL_MARGIN = timedelta(milliseconds=700)  # SIGKILL is sent no earlier than the longest deadline plus this
EXIT_MARGIN = timedelta(milliseconds=400)  # the part of KILL_MARGIN in which the process exits
# Every client has to have left within 4 s after `standby`; the difference is a margin.
STANDBY_DRAIN_DURATION = timedelta(seconds=3.4)
LAST_MIGRATION_MARGIN = timedelta(milliseconds=500)  # from the last client's MOVE to the end of the drain
DRAIN_STEP_INTERVAL = timedelta(milliseconds=10)


class RemainingRequests(NamedTuple):
    """The numbers of requests that a drain has not ended."""

    established: int
    waiting: int


class ConnectionDrainer:
    """Migrates connections and ends requests. Thread-safe: it has no mutable state."""

    def __init__(self, context: NodeContext, active_count: Callable[[], int]) -> None:
        """`active_count`: returns how many connections are served."""
        self._configuration = context.configuration
        self._lifecycle = context.lifecycle
        self._policy = context.policy
        self._active_count = active_count

    def shutdown_deadline(self) -> timedelta:
        """Return the end of the time over which the current shutdown may spread its migrations."""
        longest_wait = min(self._configuration.config.longest_deadline, LONGEST_REQUEST_WAIT)
        return self._lifecycle.state_since + longest_wait + KILL_MARGIN - EXIT_MARGIN

    def run_standby_drains(self) -> None:
        """Drain the node each time it enters standby, until it shuts down; runs on a thread of its own."""
        while (since := self._lifecycle.wait_for_standby()) is not None:
            notified = self.migrate_gradually(since, since + STANDBY_DRAIN_DURATION)
            if not self._lifecycle.wait_for_change(since, now()):
                self.evict_remaining(notified, now())
                remaining = self.remaining()
                log(LogEvent.STANDBY_ENTERED, established=remaining.established, pending=remaining.waiting)
            self._lifecycle.wait_for_change(since)

    def migrate_gradually(
        self, since: timedelta, deadline: timedelta, is_finished: Callable[[], bool] = lambda: False
    ) -> set[int]:
        """Migrate established connections, spread until `deadline`; return the ids of their requests.

        If all clients reconnected to the other nodes at once, their requests would fail together. The
        migration ends early if the lifecycle state that began at `since` changes, or if `is_finished` returns
        True.
        """
        notified = set[int]()
        while True:
            step_end = max(since + LATE_ARRIVAL_WINDOW, now() + DRAIN_STEP_INTERVAL)
            if self._lifecycle.wait_for_change(since, step_end) or now() >= deadline:
                return notified
            established = _exclude_notified(notified, self._policy.established_request_ids())
            if is_finished():
                return notified
            steps_left = max(1, (deadline - LAST_MIGRATION_MARGIN - now()) // DRAIN_STEP_INTERVAL)
            step_size = math.ceil(len(established) / steps_left)
            migrated = established[:step_size]
            notified.update(migrated)
            self._policy.dispatch([Migrate(request_id) for request_id in migrated])

    def evict_remaining(self, notified: set[int], deadline: timedelta) -> None:
        """End waiting and migrate established requests, until all have ended or the deadline has passed.

        The policy decides how a waiting request is answered: if an endpoint may have executed it, its client
        must not get a rejection, which asks for a repetition. A request that has just been admitted may not
        be registered yet, and one whose attempt is cancelled may still be established, so the requests are
        checked repeatedly.
        """
        while True:
            self._policy.evict_waiting_requests()
            established = _exclude_notified(notified, self._policy.established_request_ids())
            notified.update(established)
            self._policy.dispatch([Migrate(request_id) for request_id in established])
            if not self._active_count() or now() >= deadline:
                return
            threading.Event().wait(DRAIN_STEP_INTERVAL.total_seconds())

    def remaining(self) -> RemainingRequests:
        """Count the established and the waiting requests of this node."""
        established_count = len(self._policy.established_request_ids())
        waiting_count = len(self._policy.waiting_request_ids())
        return RemainingRequests(established_count, waiting_count)


def _exclude_notified(notified: set[int], request_ids: list[int]) -> list[int]:
    """Return the requests that have not been notified."""
    return [request_id for request_id in request_ids if request_id not in notified]
