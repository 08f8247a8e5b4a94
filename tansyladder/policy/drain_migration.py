"""Migration of connections away from endpoints that are draining or gone.

Each connection is migrated at a random time within the grace period, before the endpoint closes it. The times
are drawn uniformly, so that the clients do not all reconnect at once. If the endpoint becomes ready again in
the meantime, it keeps the connections that were not migrated yet.
"""

from __future__ import annotations

from random import Random

from tansyladder.policy.action_sink import ActionSink
from tansyladder.policy.actions import Migrate
from tansyladder.policy.active_settings import ActiveSettings
from tansyladder.policy.clock import Clock
from tansyladder.policy.endpoints import Connection, Endpoint
from tansyladder.policy.events import EndpointState
from tansyladder.policy.request_states import RequestState
from tansyladder.policy.timers import TimerScheduler


class DrainMigration:
    """Migrates the connections of endpoints that are draining or gone."""

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

    def drain(self, endpoint: Endpoint) -> None:
        """Schedule the migration of all connections of an endpoint, unless the endpoint is ready."""
        if endpoint.state is EndpointState.READY:
            return
        grace_us = self._active_settings.settings.drain_grace_us
        for connection in endpoint.connections.values():
            due_at = self._clock.now + self._rng.randint(0, grace_us)
            self._timers.schedule(due_at, self._migrate, connection)

    def _migrate(self, connection: Connection) -> None:
        """Migrate a connection if it is still established and its endpoint is still not ready."""
        endpoint = connection.endpoint
        is_leaving = endpoint is not None and endpoint.state is not EndpointState.READY
        if is_leaving and connection.state is RequestState.ESTABLISHED:
            connection.close()
            self._actions.emit(Migrate(connection.id))
