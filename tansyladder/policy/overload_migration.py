"""When connections are migrated off an endpoint whose messages are late.

A migration is scheduled by a truncated binary exponential backoff of its endpoint, with slots of a quarter
of the reaction time, so that nodes do not migrate in one moment. The next one waits until this one can
show, or the lag of reports would empty the endpoint. When messages are no longer late, the backoff begins
anew. How much is migrated is decided in `excess_migration`, by what is known then.
"""

from __future__ import annotations

from random import Random

from tansyladder.policy.clock import Clock
from tansyladder.policy.endpoint_load import EndpointLoad
from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.excess_migration import ExcessMigration
from tansyladder.policy.settings_in_force import SettingsInForce
from tansyladder.policy.timers import TimerScheduler

SLOTS_PER_REACTION = 4  # in a reaction time: the first migration is within half of one
MAX_MIGRATION_ATTEMPT = 3  # migrations in a row from which intervals grow no more: two reaction times


class OverloadMigration:
    """Schedules migrations off endpoints whose messages are late."""

    def __init__(
        self,
        *,
        clock: Clock,
        in_force: SettingsInForce,
        rng: Random,
        timers: TimerScheduler,
        load: EndpointLoad,
        excess: ExcessMigration,
    ) -> None:
        self._clock = clock
        self._in_force = in_force
        self._rng = rng
        self._timers = timers
        self._load = load
        self._excess = excess

    def schedule(self, endpoint: Endpoint) -> bool:
        """Schedule a migration of some connections of an endpoint, unless one is scheduled.

        Returns:
            Whether one was scheduled now, for which the endpoint's utilization is of use.
        """
        if endpoint.is_migration_scheduled or not endpoint.connections:
            return False
        endpoint.is_migration_scheduled = True
        backoff = endpoint.migration_backoff
        slot_us = self._in_force.limits.reaction_time_us // SLOTS_PER_REACTION
        backoff.record_failure(self._clock.now, slot_us, MAX_MIGRATION_ATTEMPT, self._rng)
        self._timers.schedule(backoff.retry_at, self._migrate, endpoint)
        return True

    def _migrate(self, endpoint: Endpoint) -> None:
        """Migrate the excess of an endpoint whose messages are still late; else begin the backoff anew."""
        endpoint.is_migration_scheduled = False
        if not self._excess.may_migrate():
            return
        backoff = endpoint.migration_backoff
        if not self._load.is_delayed(endpoint):
            backoff.attempt = 0
            return
        shows_at = self._clock.now + self._in_force.limits.reaction_time_us
        backoff.interval_end = max(backoff.interval_end, shows_at)
        self._excess.migrate(endpoint)
