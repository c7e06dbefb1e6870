"""Hash ring for consistent hashing. A server has the same points on the ring of every balancer."""

from __future__ import annotations

from bisect import bisect
from collections.abc import Iterable, Iterator

from aspensaddle.core.server_state import RING_POINTS_PER_SERVER, Server


class HashRing:
    """A ring of server points, sorted by hash. It is built in O(n log n) for n servers."""

    def __init__(self, servers: Iterable[Server] = ()) -> None:
        """Put the points of `servers` on the ring."""
        self._points = sorted(point for server in servers for point in server.ring_points)

    def __len__(self) -> int:
        """Return the number of points on the ring."""
        return len(self._points)

    def walk(self, key: int, max_points: int | None = None) -> Iterator[Server]:
        """Yield the server of each point that follows the hash of `key`, for the whole ring or at most `max_points`.

        A server with several points is yielded once for each of them.
        """
        points = self._points
        count = len(points) if max_points is None else min(len(points), max_points)
        start = bisect(points, (hash((key, RING_POINTS_PER_SERVER)), 0))
        for index in range(start, start + count):
            yield points[index % len(points)][2]
