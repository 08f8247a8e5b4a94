"""How much is migrated off an endpoint whose messages are late, and which connections.

The excess of its load is migrated: the excess share (`endpoint_load`) x its load. The connections of the
lowest priority go first (`migration_priority`); the one that straddles the end of the excess goes with the
probability that the rest of the excess is of its load. A few heavy connections may be most of the load, so
loads count, not connections. Nothing is migrated while set-ups fail everywhere: the clients would get no
new connection. Where the clients are going to end up is not known.
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
    """Migrates the excess of endpoints whose messages are late."""

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
        """Whether clients that are migrated would get a new connection."""
        return not self._setup_failures.is_cause_shared

    def migrate(self, endpoint: Endpoint) -> None:
        """Migrate the excess of an endpoint's load, the connections of the lowest priority first."""
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
