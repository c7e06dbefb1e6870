"""Tenants' shares: how many of its connections a balancer holds for each, against its part of their quotas.

Quotas hold for all balancers together and no balancer sees the others, so each has a part of them: that of all
connections which stands at it, or an even one where that is not told.
"""

from __future__ import annotations

from collections import Counter


class Shares:
    def __init__(self) -> None:
        self.quotas: tuple[float, ...] = ()  # connections, all balancers; a tenant without one has no bound
        self._held = Counter[int]()

    def count(self, tenant: int, sign: int) -> None:
        self._held[tenant] += sign
        if not self._held[tenant]:
            del self._held[tenant]  # guards against growing with every tenant that ever came

    def over(self, tenant: int, mine: int, all: float, balancers: int) -> bool:
        """Whether what this balancer holds for a tenant reaches its part of the quota: that of its own connections
        (`mine`) in those of all balancers, where these are told (else 0)."""
        if not 0 <= tenant < len(self.quotas):
            return False
        part = min(1.0, mine / all) if all else 1 / balancers
        return self._held[tenant] >= self.quotas[tenant] * part
