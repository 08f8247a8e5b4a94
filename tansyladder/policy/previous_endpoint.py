"""Where the connection of a midstream request most likely is (weighted rendezvous hashing).

Where nodes pass packets through, a client's packets may reach another node in the middle of a connection.
That node has no record of it, but any node would have drawn the endpoint by the same hash of the key. The
best endpoint by that hash is taken, among those of the home zone that were warm: ready ones, and draining
ones in the first part of their grace period, as their connections are not all migrated by then. Whether the
connection is there is not known: load and ejections when it was drawn may have sent it elsewhere.
"""

from __future__ import annotations

from tansyladder.policy.clock import Clock
from tansyladder.policy.endpoint_table import EndpointTable
from tansyladder.policy.endpoints import Endpoint
from tansyladder.policy.events import EndpointState, RequestReceived
from tansyladder.policy.settings_in_force import SettingsInForce
from tansyladder.policy.slow_start import SlowStart
from tansyladder.policy.weighted_draw import rendezvous_score

# The part of the grace period in which a draining endpoint still has most connections: each is migrated at a
# random moment of it.
GRACE_DIVISOR = 2


class PreviousEndpointFinder:
    """Finds the endpoint that any node would have drawn for a midstream request."""

    def __init__(
        self, clock: Clock, in_force: SettingsInForce, endpoints: EndpointTable, slow_start: SlowStart
    ) -> None:
        self._clock = clock
        self._in_force = in_force
        self._endpoints = endpoints
        self._slow_start = slow_start

    def find(self, event: RequestReceived) -> Endpoint | None:
        """Find the endpoint; None: the request is not midstream, is late already, or no endpoint serves."""
        is_handed_over = event.is_midstream and self._in_force.settings.pass_through
        if not is_handed_over or event.deadline_us <= self._clock.now:
            return None
        serving = [endpoint for endpoint in self._endpoints.by_id.values() if self._may_serve(endpoint)]
        return min(serving, key=lambda endpoint: rendezvous_score(endpoint, event.key), default=None)

    def _may_serve(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint may have connections of the home zone's nodes."""
        if endpoint.state is EndpointState.DRAINING:
            draining_us = self._clock.now - endpoint.state_changed_at
            if draining_us >= self._in_force.settings.drain_grace_us // GRACE_DIVISOR:
                return False
        elif endpoint.state is not EndpointState.READY:
            return False
        is_home = endpoint.zone == self._in_force.settings.zone
        return is_home and not self._slow_start.is_warming_up(endpoint)
