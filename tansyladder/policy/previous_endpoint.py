"""Finds the endpoint that most likely has the connection of a midstream request.

In pass-through mode, a client's packets may reach another node in the middle of a connection. That node has
no record of the connection, but any node would have drawn its endpoint by the same hash of the key (weighted
rendezvous hashing). The endpoint with the best score is taken among the warm endpoints of the home zone:
ready ones, and draining ones in the first half of their grace period, as their connections are not all
migrated by then. Whether the connection is really there is not known: load or ejections at the time of the
draw may have sent it elsewhere.
"""

from __future__ import annotations

from tansyladder.policy.active_settings import ActiveSettings
from tansyladder.policy.clock import Clock
from tansyladder.policy.endpoint_table import EndpointTable
from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.events import EndpointState, RequestReceived
from tansyladder.policy.slow_start import SlowStart
from tansyladder.policy.weighted_draw import rendezvous_score

# In the first half of the grace period a draining endpoint still has most connections: each is migrated at a
# random time within the period.
DRAIN_GRACE_DIVISOR = 2


class PreviousEndpointFinder:
    """Finds the endpoint that any node would have drawn for a midstream request."""

    def __init__(
        self, clock: Clock, active_settings: ActiveSettings, endpoints: EndpointTable, slow_start: SlowStart
    ) -> None:
        self._clock = clock
        self._active_settings = active_settings
        self._endpoints = endpoints
        self._slow_start = slow_start

    def find(self, event: RequestReceived) -> Endpoint | None:
        """Find the endpoint of a midstream request.

        Returns:
            The endpoint; None if pass-through mode is off, if the request is not midstream or is past its
            deadline, or if no endpoint qualifies.
        """
        needs_lookup = event.is_midstream and self._active_settings.settings.pass_through
        if not needs_lookup or event.deadline_us <= self._clock.now:
            return None
        possible_endpoints = [
            endpoint for endpoint in self._endpoints.by_id.values() if self._may_have_connection(endpoint)
        ]
        return min(
            possible_endpoints, key=lambda endpoint: rendezvous_score(endpoint, event.key), default=None
        )

    def _may_have_connection(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may have connections from nodes of the home zone."""
        if endpoint.state is EndpointState.DRAINING:
            draining_us = self._clock.now - endpoint.state_changed_at
            if draining_us >= self._active_settings.settings.drain_grace_us // DRAIN_GRACE_DIVISOR:
                return False
        elif endpoint.state is not EndpointState.READY:
            return False
        is_home = endpoint.zone == self._active_settings.settings.zone
        return is_home and not self._slow_start.is_warming_up(endpoint)
