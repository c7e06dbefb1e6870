"""Affinity of session groups: the order in which a group prefers servers, the same at every balancer.

Servers are ordered by consistent hashing: each ready server has several points on a hash ring, and a group walks the
ring from the point of its own hash. During a capacity shortage, clients are spread over their group's preferred
servers by rendezvous hashing, weighted by listed size. Both orders follow from the endpoint list, so balancers agree
on them without sharing state. How many servers a group prefers is estimated from this balancer's requests. A server
that joins or leaves affects only the groups that it gains or loses. A group that prefers n + 1 servers instead of n
keeps its first n.

Karger and others, "Consistent hashing and random trees", 1997; Thaler and Ravishankar, "Using name-based mappings to
increase hit rates", 1998.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator
from math import log

from aspensaddle.core.hash_ring import HashRing
from aspensaddle.core.server_state import Server

# The number of most recent requests from which the shares of session groups are estimated.
REMEMBERED_REQUESTS = 100
# Assumed requests of other groups, which damp shares that are estimated from few requests.
PRIOR_REQUESTS = 16

GOLDEN_RATIO_64 = 0x9E3779B97F4A7C15  # 2 ** 64 divided by the golden ratio, as in SplitMix64
MIX_MULTIPLIER_64 = 0xD6E8FEB86659FD93  # the multiplier of the rrmxmx mixing function
MASK_64 = (1 << 64) - 1
MASK_53 = (1 << 53) - 1  # a float's mantissa has 53 bits


def _uniform_hash(client: int, server: int) -> float:
    """Return a number between 0 and 1, both excluded, that depends only on the client and the server.

    Python's hash of a tuple of integers is the same in all processes, so all balancers compute the same number.
    """
    mixed = hash((client, server)) * GOLDEN_RATIO_64 & MASK_64
    return ((mixed ^ mixed >> 32) * MIX_MULTIPLIER_64 >> 11 & MASK_53 | 1) / (1 << 53)


class SessionGroups:
    """The preferred servers of session groups, and the groups' shares of the requests.

    The first call of `preferred_servers` after `clear_ring` builds the ring, in O(n log n) for n servers. Each later
    call costs O(log n) plus the servers that the caller iterates over. The other methods cost
    O(`REMEMBERED_REQUESTS`).
    """

    def __init__(self) -> None:
        """Start with an empty ring and without recorded requests."""
        self._ring = HashRing()
        self._recent_groups = deque[int | None](maxlen=REMEMBERED_REQUESTS)

    def clear_ring(self) -> None:
        """Discard the ring after a change of the endpoint list; the next walk rebuilds it."""
        self._ring = HashRing()

    def preferred_servers(self, group: int, servers: Iterable[Server]) -> Iterator[Server]:
        """Yield each ready server with a weight above 0 once, in the order in which the group prefers them."""
        if not self._ring:
            usable = (server for server in servers if server.is_ready and server.weight > 0)
            self._ring = HashRing(usable)
        seen = set[int]()
        for server in self._ring.walk(group):
            if server.id not in seen:
                seen.add(server.id)
                yield server

    def record_request(self, group: int | None) -> None:
        """Record the session group of a request; None if it has none."""
        self._recent_groups.append(group)

    def request_share(self, group: int | None, prior_requests: int) -> float:
        """Return the group's share of recent requests plus `prior_requests` of other groups; 0 without a group."""
        if group is None:
            return 0.0
        return self._recent_groups.count(group) / max(1, len(self._recent_groups) + prior_requests)

    def preferred_server_count(self, group: int | None, server_count: int) -> int:
        """Return how many servers a group prefers: 1 plus `server_count` times its estimated request share."""
        return 1 + int(server_count * self.request_share(group, PRIOR_REQUESTS))


def rendezvous_order(client: int, servers: list[Server]) -> list[Server]:
    """Return the servers in the order in which a client prefers them, weighted by listed size, in O(n log n)."""
    return sorted(servers, key=lambda server: (-log(_uniform_hash(client, server.id)) / server.weight, server.id))
