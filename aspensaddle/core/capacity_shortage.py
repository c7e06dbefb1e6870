"""Capacity shortage of the fleet by the endpoint list and by lost connections, and the heaviest load allowed in it.

Loads are seconds of a standard core per second. A few heavy connections may ask for much of the work, so that they
are the first to leave. What the list tells is the same for all balancers; lost connections and the number of
connections are this balancer's own.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

SPARE_CAPACITY_FRACTION = 0.25  # of the listed cores, without which the fleet still copes
MIN_LOAD_FRACTION_OF_SERVER = 0.03  # of a mean server's cores: a load that is always allowed
LOST_CONNECTIONS_WEIGHT = 0.3  # servers lose connections for other reasons too
MIN_LOAD_FRACTION_OF_MEAN = 0.5  # of the mean load: a load that is always allowed
FAIR_SHARE_FRACTION = 0.25  # of a connection's even part of all listed cores
NEGLIGIBLE_SHORTAGE = 1e-9


@dataclass(slots=True)
class ServerCapacity:
    """Cores that a server is listed with, and those that are ready and warm now."""

    listed: float
    available: float


class CapacityShortage:
    """`missing_fraction` is the fraction of the spare capacity that is missing by the list, 0 to 1.

    `max_connection_load` is the heaviest load of a connection that may stay; infinity without a shortage.
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
        """Compute both figures anew, in O(n).

        `servers` include those that drain or warm up. `fleet_connections` is an estimate for the whole fleet,
        `weight` 0 where the shortage does not apply and towards 1 for many balancers, `lost_connections` a decaying
        count, `mean_load` that of connections, 0 where too few were reported.
        """
        listed = sum(server.listed for server in servers)
        lacking = 1 - sum(server.available for server in servers) / listed if listed else 0.0
        self.missing_fraction = weight * min(1.0, lacking / SPARE_CAPACITY_FRACTION)
        by_losses = weight * LOST_CONNECTIONS_WEIGHT * lost_connections / (1 + lost_connections)
        shortage = max(self.missing_fraction, by_losses)
        allowed = max(
            FAIR_SHARE_FRACTION * listed / max(1, fleet_connections),
            MIN_LOAD_FRACTION_OF_SERVER * listed / max(1, len(servers)),
            MIN_LOAD_FRACTION_OF_MEAN * mean_load,
        )
        self.max_connection_load = allowed / shortage if shortage > NEGLIGIBLE_SHORTAGE else float("inf")
