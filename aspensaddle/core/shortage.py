"""How short of cores the fleet is, as the list and the breaks seen tell it, and how heavy a connection may be then.

Knows figures, not decisions. Loads are work a second and uneven: a twentieth of the connections may ask for a third
of the work, while each is worth the same to its client. What is missing follows from the list, so all balancers
reckon alike without a word between them, and on a day on which nothing starts or drains nothing is missing.
"""

from __future__ import annotations

from collections.abc import Sequence

SPARE = 0.25  # of the listed cores: what the fleet is held to be able to do without
HEAVY = 0.03  # of a mean server's cores: what a connection may ask for in any case when all of that is missing
SEEN = 0.3  # what breaks say of that besides: servers break for other reasons too
TOLD = 0.5  # of the mean load that was told: the same
FAIR = 0.25  # of its even part of all listed cores: the same


class Shortage:
    """`missing`: the part of `SPARE` that is missing by the list, 0 to 1. `light`: the heaviest load, in cores, of a
    connection that can stay; infinity where nothing is short."""

    def __init__(self) -> None:
        self.missing, self.light = 0.0, float("inf")

    def reckon(
        self, servers: Sequence[tuple[float, float]], connections: int, blind: float, breaks: float, mean: float = 0.0
    ) -> None:
        """`servers`: listed cores and those of them that are ready and warm, of each, draining and cold ones too.
        `connections`: of the whole fleet, by those here. `blind`: 0 to 1, how little this balancer sees of servers.
        `breaks`: seen of late. `mean`: of loads, cores, 0 where few were told. Cost: O(n)."""
        listed = sum(cores for cores, _ in servers)
        lacks = 1 - sum(now for _, now in servers) / listed if listed else 0.0
        self.missing = blind * min(1.0, lacks / SPARE)
        short = max(self.missing, blind * SEEN * breaks / (1 + breaks))
        even = max(FAIR * listed / max(1, connections), HEAVY * listed / max(1, len(servers)), TOLD * mean)
        self.light = even / short if short > 1e-9 else float("inf")
