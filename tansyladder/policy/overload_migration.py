"""When connections are migrated off an endpoint whose messages are late.

Migrations are scheduled by a truncated binary exponential backoff of the endpoint, with slots of a quarter of
the reaction time, so that the nodes do not all migrate at once. The next migration waits until the effect of
the last one is visible, as the lag of reports would otherwise empty the endpoint. When messages are no longer
late, the backoff restarts. `excess_migration` decides how much is migrated, by the load known at that time.
"""

from __future__ import annotations

from random import Random

from tansyladder.policy.active_settings import ActiveSettings
from tansyladder.policy.clock import Clock
from tansyladder.policy.endpoint_load import EndpointLoad
from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.excess_migration import ExcessMigration
from tansyladder.policy.timers import TimerScheduler

SLOTS_PER_REACTION_TIME = 4  # the first migration is within two slots, which is half a reaction time
MAX_MIGRATION_COUNT = 3  # migrations at which the interval stops growing, at two reaction times


class OverloadMigration:
    """Schedules migrations off endpoints whose messages are late."""

    def __init__(
        self,
        *,
        clock: Clock,
        active_settings: ActiveSettings,
        rng: Random,
        timers: TimerScheduler,
        load: EndpointLoad,
        excess_migration: ExcessMigration,
    ) -> None:
        self._clock = clock
        self._active_settings = active_settings
        self._rng = rng
        self._timers = timers
        self._load = load
        self._excess_migration = excess_migration

    def schedule(self, endpoint: Endpoint) -> bool:
        """Schedule a migration of some connections of an endpoint, unless one is scheduled already.

        Returns:
            Whether a migration was scheduled, so that a fresh report of the utilization is useful.
        """
        if endpoint.is_migration_scheduled or not endpoint.connections:
            return False
        endpoint.is_migration_scheduled = True
        backoff = endpoint.migration_backoff
        slot_us = self._active_settings.limits.reaction_time_us // SLOTS_PER_REACTION_TIME
        backoff.record_failure(self._clock.now, slot_us, MAX_MIGRATION_COUNT, self._rng)
        self._timers.schedule(backoff.retry_at, self._migrate, endpoint)
        return True

    def _migrate(self, endpoint: Endpoint) -> None:
        """Migrate the excess load if the endpoint's messages are still late; else restart the backoff.

        Does neither while most set-ups fail.
        """
        endpoint.is_migration_scheduled = False
        if not self._excess_migration.may_migrate():
            return
        backoff = endpoint.migration_backoff
        if not self._load.is_delayed(endpoint):
            backoff.failure_count = 0
            return
        effect_visible_at = self._clock.now + self._active_settings.limits.reaction_time_us
        backoff.interval_end = max(backoff.interval_end, effect_visible_at)
        self._excess_migration.migrate(endpoint)
