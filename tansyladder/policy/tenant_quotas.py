"""Whether a tenant has more connections than its quota allows.

A node knows only its own connections and takes their number as the mean of all nodes: a tenant is over its
quota if connections at this node x number of nodes > quota. The counts are updated as connections start and
end, as counting them for each decision would cost too much. A tenant without a quota is never over it.
"""

from __future__ import annotations

import math
from collections import Counter

from tansyladder.policy.active_settings import ActiveSettings


class TenantQuotas:
    """Counts the established connections of each tenant at this node, and compares them to the quotas.

    A quota is for all nodes together.
    """

    def __init__(self, active_settings: ActiveSettings) -> None:
        self._active_settings = active_settings
        self.connections_by_tenant: Counter[int] = Counter()

    def add_connection(self, tenant: int) -> None:
        """Count an established connection."""
        self.connections_by_tenant[tenant] += 1

    def remove_connection(self, tenant: int) -> None:
        """Subtract an established connection that ended."""
        self.connections_by_tenant[tenant] -= 1

    def is_over_quota(self, tenant: int) -> bool:
        """Return whether the estimated connections of a tenant at all nodes are more than its quota."""
        settings = self._active_settings.settings
        quotas = settings.tenant_quotas
        quota = quotas[tenant] if tenant < len(quotas) else math.inf
        return self.connections_by_tenant[tenant] * settings.node_count > quota
