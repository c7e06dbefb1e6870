"""A simulated front end with its `Balancer`."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from aspensaddle.core.balancer import Balancer

if TYPE_CHECKING:
    from benchmarks.rolling_restart_simulation.client import Client


def _empty_connections() -> defaultdict[int, dict[int, Client]]:
    return defaultdict(dict)


@dataclass(slots=True, eq=False)
class Frontend:
    """One front end. `connections` holds the open connections by server and client key."""

    index: int
    zone: int
    weight: float  # relative share of the zone's clients
    balancer: Balancer
    restarting: bool = False
    connections: defaultdict[int, dict[int, Client]] = field(default_factory=_empty_connections)
