"""Hash ring for consistent hashing. The points of a server are the same at every balancer."""

from __future__ import annotations

from bisect import bisect
from collections.abc import Iterable, Iterator

from aspensaddle.core.server_state import RING_POINTS, Server


class HashRing:
    """The points of servers on a ring, built in O(n log n)."""

    def __init__(self, servers: Iterable[Server] = ()) -> None:
        """Put the points of `servers` on the ring."""
        self._points = sorted(point for server in servers for point in server.ring_points)

    def __len__(self) -> int:
        """Return the number of points."""
        return len(self._points)

    def walk(self, key: int, max_points: int | None = None) -> Iterator[Server]:
        """Yield the servers of the points that follow a key, once for each point and at most `max_points`."""
        points = self._points
        count = len(points) if max_points is None else min(len(points), max_points)
        start = bisect(points, (hash((key, RING_POINTS)), 0))
        for index in range(start, start + count):
            yield points[index % len(points)][2]
