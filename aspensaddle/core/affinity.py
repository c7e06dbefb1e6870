"""Affinity of session groups: the order in which a group prefers servers, the same at every balancer.

Consistent hashing: each ready server has some points on a ring, and a group walks the ring from a point of its own.
Among a group's preferred servers clients are spread by rendezvous hashing, weighted by listed size. Both follow from
the endpoint list alone, so balancers agree without sharing state. A server that joins or leaves moves only what it
gains or loses, and the first n servers of a walk are among its first n + 1.

Karger and others, "Consistent hashing and random trees", 1997; Thaler and Ravishankar, "Using name-based mappings to
increase hit rates", 1998.
"""

from __future__ import annotations

from bisect import bisect
from collections import deque
from collections.abc import Iterable, Iterator
from math import log

from aspensaddle.core.server_state import RING_POINTS, Server

REMEMBERED_REQUESTS = 100  # whose groups tell the groups' shares
PRIOR_REQUESTS = 16  # of other groups, until the shares are known


def _uniform(client: int, server: int) -> float:
    """Return a number between 0 and 1, both excluded, that depends on the pair alone."""
    mixed = hash((client, server)) * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF
    return ((mixed ^ mixed >> 32) * 0xD6E8FEB86659FD93 >> 11 & 0x1FFFFFFFFFFFFF | 1) / (1 << 53)


class SessionGroups:
    """The preferred servers of session groups, and the groups' shares of the requests.

    The first `preferred_servers` after `clear` costs O(n log n) for n servers, each other O(log n) and what is taken
    of it; the other methods O(`REMEMBERED_REQUESTS`).
    """

    def __init__(self) -> None:
        """Start without servers and requests."""
        self._ring: list[tuple[int, int, Server]] = []
        self._recent_groups = deque[int | None](maxlen=REMEMBERED_REQUESTS)

    def clear(self) -> None:
        """Forget the ring: the endpoint list has changed."""
        self._ring = []

    def preferred_servers(self, group: int, servers: Iterable[Server]) -> Iterator[Server]:
        """Yield the ready servers that have any weight, each once, the group's most preferred first."""
        if not self._ring:
            usable = (server for server in servers if server.is_ready and server.weight > 0)
            self._ring = sorted(point for server in usable for point in server.ring_points)
        ring = self._ring
        seen = set[int]()
        start = bisect(ring, (hash((group, RING_POINTS)), 0))
        for index in range(start, start + len(ring)):
            server = ring[index % len(ring)][2]
            if server.id not in seen:
                seen.add(server.id)
                yield server

    def record(self, group: int | None) -> None:
        """Note the group of a request, None without one."""
        self._recent_groups.append(group)

    def share(self, group: int | None, prior_requests: int) -> float:
        """Return the group's part of the recent requests and `prior_requests` others; 0 without a group."""
        if group is None:
            return 0.0
        return self._recent_groups.count(group) / max(1, len(self._recent_groups) + prior_requests)

    def preferred_server_count(self, group: int | None, server_count: int) -> int:
        """Return how many servers a group is kept on: its share of all servers, as far as it is known."""
        return 1 + int(server_count * self.share(group, PRIOR_REQUESTS))


def rendezvous_order(client: int, servers: list[Server]) -> list[Server]:
    """Return servers in the order in which a client prefers them, weighted by listed size, in O(n log n)."""
    return sorted(servers, key=lambda server: (-log(_uniform(client, server.id)) / server.weight, server.id))
