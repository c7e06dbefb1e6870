"""A pool of servers: the rotation over the local zone, or over the whole fleet."""

from __future__ import annotations

from aspensaddle.core.hash_ring import HashRing
from aspensaddle.core.rotation_heap import RotationHeap
from aspensaddle.core.server_state import Server


class ServerPool:
    """The rotation heap over the ready servers of a pool, and sums over those that are available.

    It holds data for the rules and makes no decisions.
    """

    def __init__(self) -> None:
        """Start without servers."""
        self.rotation_heap = RotationHeap()
        self.ring = HashRing()  # the pool's servers, added on first use
        self.slow_fraction = 0.0  # the fraction of slow servers among those that hold connections of this balancer
        self.available_count = 0
        self.share = 0.0
        self.load = 0.0

    def reset(self) -> None:
        """Clear the rotation heap and the sums, before the rotation is rebuilt."""
        self.rotation_heap = RotationHeap()
        self.available_count = 0
        self.share = 0.0
        self.load = 0.0

    def add(self, server: Server) -> None:
        """Add an available server to the sums."""
        self.available_count += 1
        self.share += server.share
        self.load += server.load

    def remove(self, server: Server) -> None:
        """Remove an available server from the sums; those of an empty pool are exactly 0."""
        self.available_count -= 1
        self.share = self.share - server.share if self.available_count else 0.0
        self.load = self.load - server.load if self.available_count else 0.0

    def load_per_share(self) -> float:
        """Return the mean load per share, increased by the load that slow servers will shed to the others.

        Return infinity if no server is available or all are slow.
        """
        if not self.available_count or self.slow_fraction >= 1:
            return float("inf")
        return self.load / self.share / (1 - self.slow_fraction)
