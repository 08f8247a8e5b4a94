"""Applies discovery's endpoint list, and changes to it, to the table of endpoints.

A snapshot or a cached list contains all endpoints: an endpoint that is missing from it is gone. A delta
contains only changes. If the `ready_at` of an endpoint is later than the known one, the endpoint runs in a
new process, and the observations of the earlier process are discarded. A cached list is the first list after
the node's start; it also starts periodic health checks and the polling of discovery. Versions are not
compared: the caller must pass lists in order.
"""

from __future__ import annotations

from tansyladder.policy.active_settings import ActiveSettings
from tansyladder.policy.clock import Clock
from tansyladder.policy.discovery_polling import DiscoveryPoller
from tansyladder.policy.drain_migration import DrainMigration
from tansyladder.policy.endpoint_table import EndpointTable
from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.events import EndpointListUpdate, EndpointState, EndpointUpdate, ListUpdateKind
from tansyladder.policy.health_checks import HealthCheckScheduler

MAX_WEIGHT = 1e6  # exclusive; a larger weight is invalid: it would attract all traffic or break a division
DEFAULT_WEIGHT = 1.0  # used if weights are not configured, and instead of an invalid weight


class EndpointListUpdater:
    """Keeps the table of endpoints in line with discovery's list."""

    def __init__(
        self,
        *,
        clock: Clock,
        active_settings: ActiveSettings,
        endpoints: EndpointTable,
        health_checks: HealthCheckScheduler,
        drain_migration: DrainMigration,
        poller: DiscoveryPoller,
    ) -> None:
        self._clock = clock
        self._active_settings = active_settings
        self._endpoints = endpoints
        self._health_checks = health_checks
        self._drain_migration = drain_migration
        self._poller = poller

    def handle_list_update(self, event: EndpointListUpdate) -> None:
        """Apply a list, or changes to it; after a failed call, schedule another poll."""
        if event.kind is ListUpdateKind.FAILED:
            self._poller.poll_later()
            return
        if event.kind is not ListUpdateKind.DELTA:
            self._remove_unlisted(event)
        for update in event.endpoints:
            self._apply_update(update)
        self._endpoints.refill_pools(self._active_settings.settings.zone)
        if event.kind is ListUpdateKind.CACHED:
            self._health_checks.start_periodic_checks()
            self._poller.start()

    def _remove_unlisted(self, event: EndpointListUpdate) -> None:
        """Mark the endpoints that are missing from a complete list as gone."""
        listed_ids = {update.endpoint_id for update in event.endpoints}
        for endpoint in self._endpoints.by_id.values():
            if endpoint.id not in listed_ids:
                self._change_state(endpoint, EndpointState.GONE)

    def _apply_update(self, update: EndpointUpdate) -> None:
        """Add an endpoint, or apply a change to a known one."""
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
        """Return the weight if weights are configured and it is in range, else the default weight."""
        is_valid = self._active_settings.settings.has_weights and 0 < weight < MAX_WEIGHT
        return weight if is_valid else DEFAULT_WEIGHT

    def _change_state(self, endpoint: Endpoint, state: EndpointState) -> None:
        """Change the state of an endpoint; unless the new state is ready, its connections are migrated."""
        if endpoint.state is not state:
            endpoint.state = state
            endpoint.state_changed_at = self._clock.now
            self._drain_migration.drain(endpoint)
