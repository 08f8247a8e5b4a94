"""Whether a tenant has more connections than its quota.

A node knows its own connections alone. It takes them for the mean of all nodes: a tenant is over its quota
when connections here x number of nodes > quota. Counts are kept as connections come and go, as counting
anew for each decision costs too much. Tenants without a quota are never over it.
"""

from __future__ import annotations

import math
from collections import Counter

from tansyladder.policy.settings_in_force import SettingsInForce


class TenantQuotas:
    """The established connections of each tenant at this node, and the quotas of all nodes together."""

    def __init__(self, in_force: SettingsInForce) -> None:
        self._in_force = in_force
        self.connections_by_tenant: Counter[int] = Counter()

    def add_connection(self, tenant: int) -> None:
        """Count a connection that was established."""
        self.connections_by_tenant[tenant] += 1

    def remove_connection(self, tenant: int) -> None:
        """Discount an established connection that ended."""
        self.connections_by_tenant[tenant] -= 1

    def is_over_quota(self, tenant: int) -> bool:
        """Whether a tenant has more connections at all nodes, as estimated, than its quota."""
        settings = self._in_force.settings
        quotas = settings.tenant_quotas
        quota = quotas[tenant] if tenant < len(quotas) else math.inf
        return self.connections_by_tenant[tenant] * settings.node_count > quota
