"""Affinity of session groups: the order in which a group prefers servers, the same at every balancer.

Consistent hashing: each ready server has some points on a ring, and a group walks the ring from a point of its own.
While capacity is missing, clients are spread over their group's preferred servers by rendezvous hashing, weighted by
size. Both orders follow from the endpoint list, so balancers agree on them without sharing state; how many servers a
group prefers is estimated from this balancer's requests. A server that joins or leaves moves only what it
gains or loses, and the first n servers of a walk are among its first n + 1.

Karger and others, "Consistent hashing and random trees", 1997; Thaler and Ravishankar, "Using name-based mappings to
increase hit rates", 1998.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator
from math import log

from aspensaddle.core.hash_ring import HashRing
from aspensaddle.core.server_state import Server

REMEMBERED_REQUESTS = 100  # whose groups tell the groups' shares
PRIOR_REQUESTS = 16  # of other groups, which damps shares estimated from few requests

GOLDEN_RATIO_64 = 0x9E3779B97F4A7C15  # 2 ** 64 / golden ratio, as in SplitMix64
MIX_MULTIPLIER_64 = 0xD6E8FEB86659FD93  # as in rrmxmx
MASK_64 = (1 << 64) - 1
MASK_53 = (1 << 53) - 1  # bits of a float's mantissa


def _uniform(client: int, server: int) -> float:
    """Return a number between 0 and 1, both excluded, that depends on the pair alone.

    Hashes of tuples of integers are the same in all processes.
    """
    mixed = hash((client, server)) * GOLDEN_RATIO_64 & MASK_64
    return ((mixed ^ mixed >> 32) * MIX_MULTIPLIER_64 >> 11 & MASK_53 | 1) / (1 << 53)


class SessionGroups:
    """The preferred servers of session groups, and the groups' shares of the requests.

    The first `preferred_servers` after `clear` costs O(n log n) for n servers, each other O(log n) and what is taken
    of it; the other methods O(`REMEMBERED_REQUESTS`).
    """

    def __init__(self) -> None:
        """Start without servers and requests."""
        self._ring = HashRing()
        self._recent_groups = deque[int | None](maxlen=REMEMBERED_REQUESTS)

    def clear(self) -> None:
        """Forget the ring: the endpoint list has changed."""
        self._ring = HashRing()

    def preferred_servers(self, group: int, servers: Iterable[Server]) -> Iterator[Server]:
        """Yield the ready servers that have any weight, each once, the group's most preferred first."""
        if not self._ring:
            usable = (server for server in servers if server.is_ready and server.weight > 0)
            self._ring = HashRing(usable)
        seen = set[int]()
        for server in self._ring.walk(group):
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
