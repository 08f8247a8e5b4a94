"""The order in which connections are migrated off an endpoint: lowest priority for its load first.

    priority = priority weight of the class / load, x over_quota_weight if its tenant is over its quota

If the priority weights are configured per unit of load, the priority is not divided by the load. A migrated
client may find no capacity when it reconnects, so the connection with the lowest priority should take that
risk. Whether other endpoints have capacity left is not known here.
"""

from __future__ import annotations

from tansyladder.policy.active_settings import ActiveSettings
from tansyladder.policy.endpoints import Connection
from tansyladder.policy.tenant_quotas import TenantQuotas

MIN_COUNTED_LOAD = 1.0  # a lower load counts as this; else a nearly idle connection would outrank all others


class MigrationPriority:
    """Ranks the connections of an endpoint."""

    def __init__(self, active_settings: ActiveSettings, quotas: TenantQuotas) -> None:
        self._active_settings = active_settings
        self._quotas = quotas

    def priority(self, connection: Connection) -> float:
        """Return the priority of a connection; the lowest is migrated first."""
        settings = self._active_settings.settings
        load_factor = (
            1.0 if settings.weight_scales_with_load else 1.0 / max(connection.load, MIN_COUNTED_LOAD)
        )
        priority = settings.classes[connection.class_index].priority_weight * load_factor
        is_over_quota = self._quotas.is_over_quota(connection.tenant)
        return priority * settings.over_quota_weight if is_over_quota else priority
