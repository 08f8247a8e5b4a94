"""How discovery's list of endpoints, and changes to it, change the table of endpoints.

A snapshot or a cached list holds all endpoints: those that it does not name are gone. A delta holds
changes. An endpoint whose `ready_at` is later than the one known runs in a new process: what was observed
of the earlier one is forgotten. A cached list is the first one after the node's start, and begins periodic
health checks and the polls of discovery. Versions are not compared: the caller hands lists over in order.
"""

from __future__ import annotations

from tansyladder.policy.clock import Clock
from tansyladder.policy.discovery_polling import DiscoveryPoller
from tansyladder.policy.drain_migration import DrainMigration
from tansyladder.policy.endpoint_table import EndpointTable
from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.events import EndpointListUpdate, EndpointState, EndpointUpdate, ListUpdateKind
from tansyladder.policy.health_checks import HealthCheckScheduler
from tansyladder.policy.settings_in_force import SettingsInForce

MAX_WEIGHT = 1e6  # an absurd weight must not draw all traffic, nor fail a division
DEFAULT_WEIGHT = 1.0  # where weights are not configured, and for absurd ones


class EndpointListUpdater:
    """Keeps the table of endpoints as discovery lists them."""

    def __init__(
        self,
        *,
        clock: Clock,
        in_force: SettingsInForce,
        endpoints: EndpointTable,
        health_checks: HealthCheckScheduler,
        drain_migration: DrainMigration,
        poller: DiscoveryPoller,
    ) -> None:
        self._clock = clock
        self._in_force = in_force
        self._endpoints = endpoints
        self._health_checks = health_checks
        self._drain_migration = drain_migration
        self._poller = poller

    def handle_list_update(self, event: EndpointListUpdate) -> None:
        """Apply a list or changes of it; after a failed call, poll again later."""
        if event.kind is ListUpdateKind.FAILED:
            self._poller.poll_later()
            return
        if event.kind is not ListUpdateKind.DELTA:
            self._remove_unlisted(event)
        for update in event.endpoints:
            self._apply_update(update)
        self._endpoints.refill_pools(self._in_force.settings.zone)
        if event.kind is ListUpdateKind.CACHED:
            self._health_checks.start_periodic_checks()
            self._poller.start()

    def _remove_unlisted(self, event: EndpointListUpdate) -> None:
        """Take the endpoints that a complete list does not name for gone."""
        listed_ids = {update.endpoint_id for update in event.endpoints}
        for endpoint in self._endpoints.by_id.values():
            if endpoint.id not in listed_ids:
                self._change_state(endpoint, EndpointState.GONE)

    def _apply_update(self, update: EndpointUpdate) -> None:
        """Add or change one endpoint."""
        weight = self._valid_weight(update.weight)
        endpoint = self._endpoints.by_id.get(update.endpoint_id)
        if endpoint is None:
            endpoint = Endpoint(update, weight, self._clock.now)
            self._endpoints.by_id[update.endpoint_id] = endpoint
        elif update.ready_at_us > endpoint.ready_at:
            endpoint.restart(update.ready_at_us, weight)
        self._change_state(endpoint, update.state)
        endpoint.update(update, weight)

    def _valid_weight(self, weight: float) -> float:
        """Return a weight that makes sense, and the default one for any other."""
        is_valid = self._in_force.settings.has_weights and 0 < weight < MAX_WEIGHT
        return weight if is_valid else DEFAULT_WEIGHT

    def _change_state(self, endpoint: Endpoint, state: EndpointState) -> None:
        """Change the state of an endpoint; its connections are migrated when it leaves."""
        if endpoint.state is not state:
            endpoint.state = state
            endpoint.state_changed_at = self._clock.now
            self._drain_migration.drain(endpoint)
