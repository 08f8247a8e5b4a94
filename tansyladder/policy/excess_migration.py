"""Migration of the excess load of an endpoint whose messages are late.

The load to migrate is the excess share (`endpoint_load`) x the endpoint's load. Connections with the lowest
priority are migrated first (`migration_priority`). A connection with more load than what is left of the
excess is migrated with probability remaining excess / its load; the first one that is not ends the migration.
Loads are compared rather than numbers of connections, because a few heavy connections may make up most of the
load. Nothing is migrated while set-ups fail everywhere, as the clients would get no new connection. Where
clients reconnect to is not known.
"""

from __future__ import annotations

from random import Random

from tansyladder.policy.action_sink import ActionSink
from tansyladder.policy.actions import Migrate
from tansyladder.policy.endpoint_load import EndpointLoad
from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.migration_priority import MigrationPriority
from tansyladder.policy.request_states import RequestState
from tansyladder.policy.setup_failures import SetupFailureRate


class ExcessMigration:
    """Migrates the excess load of endpoints whose messages are late."""

    def __init__(
        self,
        rng: Random,
        actions: ActionSink,
        load: EndpointLoad,
        setup_failures: SetupFailureRate,
        priorities: MigrationPriority,
    ) -> None:
        self._rng = rng
        self._actions = actions
        self._load = load
        self._setup_failures = setup_failures
        self._priorities = priorities

    def may_migrate(self) -> bool:
        """Return whether migrated clients can expect to get a new connection."""
        return not self._setup_failures.has_shared_cause

    def migrate(self, endpoint: Endpoint) -> None:
        """Migrate the excess load of an endpoint, connections with the lowest priority first."""
        priority = self._priorities.priority
        excess = self._load.excess_share(endpoint) * endpoint.load
        established_state = RequestState.ESTABLISHED
        established = [c for c in endpoint.connections.values() if c.state is established_state]
        for connection in sorted(established, key=lambda c: (priority(c), c.id)):
            if excess < connection.load * self._rng.random():
                break
            excess -= connection.load
            connection.close()
            self._actions.emit(Migrate(connection.id))
