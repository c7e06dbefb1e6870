"""Smooth weighted round robin over the servers, which counts load instead of requests.

The next server is the one with the lowest normalized load, which is its load per share. A server's share is its
ratio, set by passive measurement, times its listed size and its warm-up.
"""

from __future__ import annotations

from collections.abc import Callable

from aspensaddle.core.balancer_state import BalancerState
from aspensaddle.core.hash_ring import HashRing
from aspensaddle.core.request_state import RequestState
from aspensaddle.core.server_pool import ServerPool
from aspensaddle.core.server_state import Server

LIVE_WEIGHT_EXPONENT = 2

MayAttempt = Callable[[float, RequestState, Server], bool]


def is_neither_ejected_nor_slow(now: float, server: Server) -> bool:
    """Return whether a server is neither ejected nor marked as slow."""
    return server.ejected_until <= now and server.slow_until <= now


class WeightedRotation:
    """Keeps the shares of servers, the rotation heaps and sums of the pools, and finds the next server in rotation.

    `pending_ratio_increase` is what every ratio has gained since the last rebuild; the next one adds it to them.
    `time_dependent_servers` are those whose share or availability changes with time alone: servers that are ejected,
    slow or warming up.
    """

    def __init__(self, state: BalancerState) -> None:
        """Start without servers."""
        self._state = state
        self.pending_ratio_increase = 0.0
        self.needs_rebuild = True
        self.mean_load_at_rebuild = 1.0
        self.time_dependent_servers: dict[int, Server] = {}

    def rescale_ratios(self) -> None:
        """Give ready servers without a ratio the mean ratio, and scale the stored ratios to a sum of 1.

        Also counts the ready servers and discards the pools' hash rings. The next rebuild adds
        `pending_ratio_increase`.
        """
        state = self._state
        ready = [server for server in state.servers.values() if server.is_ready]
        known_ratios = [server.ratio for server in ready if server.ratio]
        for server in ready:
            server.ratio = server.ratio or (sum(known_ratios) / len(known_ratios) if known_ratios else 1.0)
        state.ready_count = len(ready)
        total = sum(server.ratio for server in ready)
        for server in ready:
            server.ratio /= total
        state.local_pool.ring = HashRing()
        state.fleet_pool.ring = HashRing()

    def rebuild(self, now: float, load_of: Callable[[Server], float]) -> None:
        """Rebuild the rotation and the sums of the pools, with the load of each server as `load_of` returns it."""
        state = self._state
        pending_ratio_increase = self.pending_ratio_increase
        self.pending_ratio_increase = 0.0
        self.needs_rebuild = False
        self.mean_load_at_rebuild = state.mean_load
        state.total_load = 0.0
        state.local_pool.reset()
        state.fleet_pool.reset()
        for server in state.servers.values():
            server.ratio += pending_ratio_increase
            server.load = load_of(server)
            server.is_available = False
            state.total_load += server.load
            self.update_server(now, server)

    def update_server(self, now: float, server: Server) -> None:
        """Update the share and availability of a server, the sums of its pools and its rotation entry."""
        pools = self._state.pools_of(server)
        if server.is_available:
            for pool in pools:
                pool.remove(server)
        capacity_fraction = self._update_share(now, server)
        server.is_available = server.share > 0 and is_neither_ejected_nor_slow(now, server)
        if server.is_available:
            for pool in pools:
                pool.add(server)
        self.time_dependent_servers.pop(server.id, None)
        if server.is_ready and (capacity_fraction < 1.0 or not server.is_available):
            self.time_dependent_servers[server.id] = server
        if server.share:
            self.enqueue(server)

    def _update_share(self, now: float, server: Server) -> float:
        """Set the share of a server; return the capacity fraction that it was multiplied by."""
        state = self._state
        capacity_fraction = state.capacity_fraction(now, server)
        # Live weights are 1 / (1 + load). They are squared so that slow machine types settle at a lower load.
        weight = max(0.0, server.weight) ** (LIVE_WEIGHT_EXPONENT if state.settings.live_weights else 1)
        if state.uses_load_reports:  # a reported capacity already includes the effect of warm-up
            weight = server.reported.capacity or (state.reported_capacity or 1.0) * capacity_fraction
            capacity_fraction = 1.0
        server.share = (
            (server.ratio + self.pending_ratio_increase) * weight * capacity_fraction if server.is_ready else 0.0
        )
        return capacity_fraction

    def refresh_time_dependent_servers(self, now: float, *, include_warming_up: bool) -> None:
        """Update the servers whose availability has changed with time.

        With `include_warming_up`, update all time-dependent servers, so that shares follow the warm-up.
        """
        for server in list(self.time_dependent_servers.values()):
            if include_warming_up or server.is_available != is_neither_ejected_nor_slow(now, server):
                self.update_server(now, server)

    def enqueue(self, server: Server) -> None:
        """Compute a server's normalized load and push it on the rotation heaps. Earlier entries become outdated."""
        state = self._state
        server.normalized_load = (server.load + server.rotation_offset * state.mean_load) / server.share
        for pool in state.pools_of(server):
            pool.rotation_heap.push(server)

    def next_server(
        self, now: float, pool: ServerPool, request: RequestState, may_attempt: MayAttempt, *, allow_slow: bool
    ) -> Server | None:
        """Return the first server in rotation that is available, was not tried and may be attempted.

        With `allow_slow`, slow servers are considered too.
        """
        return self._first(
            pool,
            request,
            lambda server: (
                (server.is_available or (allow_slow and server.ejected_until <= now))
                and server.id not in request.tried_servers
                and may_attempt(now, request, server)
            ),
        )

    def any_server(
        self, now: float, pool: ServerPool, request: RequestState, may_attempt: MayAttempt
    ) -> Server | None:
        """Return the first server in rotation that may be attempted, even if it is ejected or was tried."""
        return self._first(pool, request, lambda server: may_attempt(now, request, server))

    def _first(self, pool: ServerPool, request: RequestState, is_eligible: Callable[[Server], bool]) -> Server | None:
        """Return the first eligible server in rotation; where few servers are confirmed, search only those."""
        if request.only_servers is None:
            return pool.rotation_heap.first(is_eligible)
        in_rotation = [
            server for server in request.only_servers if server.share and pool in self._state.pools_of(server)
        ]
        in_rotation.sort(key=lambda server: (server.normalized_load, server.id))
        return next(filter(is_eligible, in_rotation), None)
