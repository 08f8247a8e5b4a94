"""In which order connections are migrated off an endpoint: the lowest priority for its load first.

    priority = priority weight of the class / load,  x over_quota_weight where its tenant is over its quota

Where the priority weights are for a unit of load, the priority is not divided by the load. A connection
that is migrated may find no capacity anywhere when its client reconnects; then the one with the lowest
priority should be the one that is rejected. Whether capacity is left elsewhere is not known here.
"""

from __future__ import annotations

from tansyladder.policy.endpoints import Connection
from tansyladder.policy.settings_in_force import SettingsInForce
from tansyladder.policy.tenant_quotas import TenantQuotas

MIN_COUNTED_LOAD = 1.0  # a connection with less must not count as more worthy than any with some load


class MigrationPriority:
    """Ranks the connections of an endpoint."""

    def __init__(self, in_force: SettingsInForce, quotas: TenantQuotas) -> None:
        self._in_force = in_force
        self._quotas = quotas

    def priority(self, connection: Connection) -> float:
        """Return the priority of a connection; the lowest is migrated first."""
        settings = self._in_force.settings
        by_load = 1.0 if settings.weight_scales_with_load else 1.0 / max(connection.load, MIN_COUNTED_LOAD)
        priority = settings.classes[connection.class_index].priority_weight * by_load
        is_over_quota = self._quotas.is_over_quota(connection.tenant)
        return priority * settings.over_quota_weight if is_over_quota else priority
