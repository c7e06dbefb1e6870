"""Capacity shortage of the fleet, and the heaviest load that a connection may have during a shortage.

A shortage is inferred from the endpoint list and from lost connections. A few heavy connections may cause much of the
load, so they are migrated first. The endpoint list is the same for all balancers; lost connections and the number of
connections are what this balancer sees. Loads are in seconds of a standard core per second.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

SPARE_CAPACITY_FRACTION = 0.25  # fraction of the listed cores that the fleet can do without
MIN_LOAD_FRACTION_OF_SERVER = 0.03  # fraction of a mean server's cores; a load up to this is always allowed
LOST_CONNECTIONS_WEIGHT = 0.3  # below 1, because connections are lost for other reasons too
MIN_LOAD_FRACTION_OF_MEAN = 0.5  # fraction of the mean load of a connection; a load up to this is always allowed
FAIR_SHARE_FRACTION = 0.25  # fraction of the listed cores per connection; a load up to this is always allowed
NEGLIGIBLE_SHORTAGE = 1e-9


@dataclass(slots=True)
class ServerCapacity:
    """The cores that the endpoint list gives a server, and how many of them are ready and warm now."""

    listed_cores: float
    available_cores: float


class CapacityShortage:
    """The current shortage and the load limit of connections that follows from it.

    `missing_fraction` is the fraction of the spare capacity (0 to 1) that is missing according to the endpoint list.
    `max_connection_load` is the heaviest load of a connection that is not migrated, infinity without a shortage.
    """

    def __init__(self) -> None:
        """Start without a shortage."""
        self.missing_fraction = 0.0
        self.max_connection_load = float("inf")

    def update(
        self,
        servers: Sequence[ServerCapacity],
        fleet_connections: int,
        weight: float,
        lost_connections: float,
        mean_load: float = 0.0,
    ) -> None:
        """Recompute the missing fraction and the maximum load of a connection, in O(n).

        `servers` includes draining servers and servers that are warming up. `fleet_connections` is the estimated
        number of connections of the whole fleet. `weight` scales the shortage: 0 where it does not apply, close to 1
        for many balancers. `lost_connections` is a decaying count. `mean_load` is the mean load of a connection, or 0
        where too few loads were reported.
        """
        listed_cores = sum(server.listed_cores for server in servers)
        unavailable_fraction = (
            1 - sum(server.available_cores for server in servers) / listed_cores if listed_cores else 0.0
        )
        self.missing_fraction = weight * min(1.0, unavailable_fraction / SPARE_CAPACITY_FRACTION)
        loss_shortage = weight * LOST_CONNECTIONS_WEIGHT * lost_connections / (1 + lost_connections)
        shortage = max(self.missing_fraction, loss_shortage)
        allowed_load = max(
            FAIR_SHARE_FRACTION * listed_cores / max(1, fleet_connections),
            MIN_LOAD_FRACTION_OF_SERVER * listed_cores / max(1, len(servers)),
            MIN_LOAD_FRACTION_OF_MEAN * mean_load,
        )
        self.max_connection_load = allowed_load / shortage if shortage > NEGLIGIBLE_SHORTAGE else float("inf")
