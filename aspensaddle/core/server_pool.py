"""A pool of servers: the rotation over the local zone, or over the whole fleet."""

from __future__ import annotations

from typing import TypeAlias

from aspensaddle.core.hash_ring import HashRing
from aspensaddle.core.server_state import Server

TurnHeap: TypeAlias = list[tuple[float, int, Server]]


class ServerPool:
    """Turns of the ready servers of a pool, and sums over those that are available. Records and sums only."""

    def __init__(self) -> None:
        """Start without servers."""
        self.turns: TurnHeap = []  # (next turn, server id, server); entries of older turns stay in it
        self.ring = HashRing()  # of its servers, built when needed
        self.slow_fraction = 0.0  # of the servers that this balancer holds connections on
        self.available_count = 0
        self.share = 0.0
        self.load = 0.0

    def reset(self) -> None:
        """Forget turns and sums, before all servers are laid out anew."""
        self.turns = []
        self.available_count = 0
        self.share = 0.0
        self.load = 0.0

    def add(self, server: Server) -> None:
        """Count an available server in the sums."""
        self.available_count += 1
        self.share += server.share
        self.load += server.load

    def remove(self, server: Server) -> None:
        """Take an available server out of the sums; an empty pool has exact zeros."""
        self.available_count -= 1
        self.share = self.share - server.share if self.available_count else 0.0
        self.load = self.load - server.load if self.available_count else 0.0

    def load_per_share(self) -> float:
        """Return the mean load per share, raised by what slow servers will pass on; infinity without any server."""
        if not self.available_count or self.slow_fraction >= 1:
            return float("inf")
        return self.load / self.share / (1 - self.slow_fraction)
