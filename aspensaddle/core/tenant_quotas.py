"""Connection quotas of tenants.

A quota limits the connections of a tenant at all balancers together, but a balancer cannot see the connections of
the others. Each balancer therefore enforces a share of the quota: its fraction of all connections, or an equal share
where the number of all connections is not known.
"""

from __future__ import annotations

from collections import Counter


class TenantQuotas:
    """Counts the connections and attempts of each tenant at this balancer and compares them with the quotas."""

    def __init__(self) -> None:
        """Start with no connections and no quotas."""
        # Connections allowed at all balancers together, indexed by tenant; a tenant beyond the end has no limit.
        self.quotas: tuple[float, ...] = ()
        self._connections = Counter[int]()

    def add_connections(self, tenant: int, delta: int) -> None:
        """Add `delta` connections of a tenant; a negative `delta` removes connections."""
        self._connections[tenant] += delta
        if not self._connections[tenant]:
            del self._connections[tenant]  # limits memory use to the tenants that have connections

    def is_reached(self, tenant: int, own_connections: int, all_connections: float, balancer_count: int) -> bool:
        """Return whether a tenant has used up this balancer's share of its quota.

        `own_connections` is the number of connections of all tenants at this balancer, `all_connections` that number
        for all balancers together, or 0 if unknown.
        """
        if not 0 <= tenant < len(self.quotas):
            return False
        quota_share = min(1.0, own_connections / all_connections) if all_connections else 1 / balancer_count
        return self._connections[tenant] >= self.quotas[tenant] * quota_share
