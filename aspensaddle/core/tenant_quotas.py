"""Connection quotas of tenants: whether this balancer holds its part of a quota.

Quotas hold for all balancers together and no balancer sees the others. Each has the part of a quota that it has of
all connections, or an even part where that is not known.
"""

from __future__ import annotations

from collections import Counter


class TenantQuotas:
    """The connections that this balancer holds for each tenant."""

    def __init__(self) -> None:
        """Start without connections and quotas."""
        self.quotas: tuple[float, ...] = ()  # connections at all balancers, by tenant; no bound beyond the tuple
        self._held = Counter[int]()

    def add_connections(self, tenant: int, change: int) -> None:
        """Add `change` connections of a tenant."""
        self._held[tenant] += change
        if not self._held[tenant]:
            del self._held[tenant]  # bounds memory by the tenants that hold connections

    def is_reached(self, tenant: int, own_connections: int, all_connections: float, balancer_count: int) -> bool:
        """Return whether a tenant has reached this balancer's part of its quota.

        `all_connections` are those of all balancers, 0 where that is not known.
        """
        if not 0 <= tenant < len(self.quotas):
            return False
        part = min(1.0, own_connections / all_connections) if all_connections else 1 / balancer_count
        return self._held[tenant] >= self.quotas[tenant] * part
