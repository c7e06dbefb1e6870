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

from collections import Counter, defaultdict, deque
from collections.abc import Iterable, Iterator, Mapping
from itertools import islice
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
    call costs O(log n) plus the servers that the caller iterates over. `request_share_of_server` costs that once for
    each group, and once after each request O(`REMEMBERED_REQUESTS`) plus the servers that groups prefer. The other
    methods cost O(`REMEMBERED_REQUESTS`).
    """

    def __init__(self) -> None:
        """Start with an empty ring and without recorded requests."""
        self._ring = HashRing()
        self._recent_groups = deque[int | None](maxlen=REMEMBERED_REQUESTS)
        self._first_servers: dict[int, list[int]] = {}  # by group: ids of the servers that it prefers
        self._requests_by_server: Mapping[int, float] = {}  # by server id; empty: to be computed again

    def clear_ring(self) -> None:
        """Discard the ring after a change of the endpoint list; the next walk rebuilds it."""
        self._ring = HashRing()
        self._first_servers.clear()
        self._requests_by_server = {}

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
        self._requests_by_server = {}

    def request_share(self, group: int | None, prior_requests: int) -> float:
        """Return the group's share of recent requests plus `prior_requests` of other groups; 0 without a group."""
        if group is None:
            return 0.0
        return self._recent_groups.count(group) / max(1, len(self._recent_groups) + prior_requests)

    def request_share_of_server(
        self, server: Server, servers: Iterable[Server], ready_count: int, prior_requests: int
    ) -> float:
        """Return the share of recent requests plus `prior_requests` that all groups would send to one server.

        Each group is assumed to spread its requests evenly over those of the `ready_count` servers that it prefers.
        """
        if not self._requests_by_server:
            self._requests_by_server = self._divide_requests(servers, ready_count)
        requests = self._requests_by_server.get(server.id, 0.0)
        return requests / max(1, len(self._recent_groups) + prior_requests)

    def _divide_requests(self, servers: Iterable[Server], ready_count: int) -> Mapping[int, float]:
        """Return how many of the recent requests would go to each server, by its id."""
        requests_by_server = defaultdict[int, float](float)
        for group, request_count in Counter(self._recent_groups).items():
            if group is None:
                continue
            preferred = self._first_servers_of(group, self.preferred_server_count(group, ready_count), servers)
            for server_id in preferred:
                requests_by_server[server_id] += request_count / len(preferred)
        return requests_by_server

    def _first_servers_of(self, group: int, count: int, servers: Iterable[Server]) -> list[int]:
        """Return the ids of the first `count` servers that a group prefers."""
        first = self._first_servers.get(group, [])
        if len(first) < count:
            if len(self._first_servers) >= REMEMBERED_REQUESTS:
                self._first_servers.clear()
            first = [server.id for server in islice(self.preferred_servers(group, servers), count)]
            self._first_servers[group] = first
        return first[:count]

    def preferred_server_count(self, group: int | None, server_count: int) -> int:
        """Return how many servers a group prefers: 1 plus `server_count` times its estimated request share."""
        return 1 + int(server_count * self.request_share(group, PRIOR_REQUESTS))


def rendezvous_order(client: int, servers: list[Server]) -> list[Server]:
    """Return the servers in the order in which a client prefers them, weighted by listed size, in O(n log n)."""
    return sorted(servers, key=lambda server: (-log(_uniform_hash(client, server.id)) / server.weight, server.id))
