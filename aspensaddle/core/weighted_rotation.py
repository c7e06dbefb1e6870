"""Smooth weighted round robin over the servers, by load in place of requests.

A server's turn comes at the load per share that it carries. Ratios are set by passive measurement; a server's share
is its ratio by listed size and warm-up.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush

from aspensaddle.core.balancer_state import BalancerState
from aspensaddle.core.hash_ring import HashRing
from aspensaddle.core.request_state import RequestState
from aspensaddle.core.server_pool import ServerPool
from aspensaddle.core.server_state import Server

LIVE_WEIGHT_EXPONENT = 2

MayAttempt = Callable[[float, RequestState, Server], bool]


def is_unmarked(now: float, server: Server) -> bool:
    """Return whether a server is neither ejected nor marked as slow."""
    return server.ejected_until <= now and server.slow_until <= now


class WeightedRotation:
    """Keeps shares, turns and the sums of the pools, and finds the server whose turn it is.

    `raised` is what every ratio has gained since the last layout, added lazily. `unsettled` are the servers that time
    alone changes: ejected, slow or warming up.
    """

    def __init__(self, state: BalancerState) -> None:
        """Start without servers."""
        self._state = state
        self.raised = 0.0
        self.needs_layout = True
        self.mean_load_at_layout = 1.0
        self.unsettled: dict[int, Server] = {}

    def rescale_ratios(self) -> None:
        """Let ready servers without a ratio enter at the mean one, and scale the stored ratios to a sum of 1.

        Also counts the ready servers and drops the pools' hash rings. `raised` is added at the next layout.
        """
        state = self._state
        ready = [server for server in state.servers.values() if server.is_ready]
        known = [server.ratio for server in ready if server.ratio]
        for server in ready:
            server.ratio = server.ratio or (sum(known) / len(known) if known else 1.0)
        state.ready_count = len(ready)
        total = sum(server.ratio for server in ready)
        for server in ready:
            server.ratio /= total
        state.local_pool.ring = HashRing()
        state.fleet_pool.ring = HashRing()

    def lay_out(self, now: float, weigh: Callable[[Server], float]) -> None:
        """Rebuild the rotation: place all servers anew, with their load as `weigh` returns it."""
        state = self._state
        raised = self.raised
        self.raised = 0.0
        self.needs_layout = False
        self.mean_load_at_layout = state.mean_load
        state.total_load = 0.0
        state.local_pool.reset()
        state.fleet_pool.reset()
        for server in state.servers.values():
            server.ratio += raised
            server.load = weigh(server)
            server.is_available = False
            state.total_load += server.load
            self.place(now, server)

    def place(self, now: float, server: Server) -> None:
        """Give a server its share, its turn and its part in the sums of its pools as they are now."""
        pools = self._state.pools_of(server)
        if server.is_available:
            for pool in pools:
                pool.remove(server)
        warmth = self._update_share(now, server)
        server.is_available = server.share > 0 and is_unmarked(now, server)
        if server.is_available:
            for pool in pools:
                pool.add(server)
        self.unsettled.pop(server.id, None)
        if server.is_ready and (warmth < 1.0 or not server.is_available):
            self.unsettled[server.id] = server
        if server.share:
            self.queue(server)

    def _update_share(self, now: float, server: Server) -> float:
        """Set the share; return the capacity fraction that it was reduced by."""
        state = self._state
        warmth = state.capacity_fraction(now, server)
        # Live weights are 1 / (1 + load): squared, so that slow machine types settle at a lower load.
        weight = max(0.0, server.weight) ** (LIVE_WEIGHT_EXPONENT if state.settings.live_weights else 1)
        if state.uses_load_reports:  # a reported capacity is what the server can do now, warm or not
            weight = server.reported.capacity or (state.reported_capacity or 1.0) * warmth
            warmth = 1.0
        server.share = (server.ratio + self.raised) * weight * warmth if server.is_ready else 0.0
        return warmth

    def refresh_unsettled(self, now: float, *, by_warm_up: bool) -> None:
        """Place servers again whose availability has changed with time, and with `by_warm_up` all that warm up."""
        for server in list(self.unsettled.values()):
            if by_warm_up or server.is_available != is_unmarked(now, server):
                self.place(now, server)

    def queue(self, server: Server) -> None:
        """Queue a server's next turn, which is its load per share too. Its earlier entries become void."""
        state = self._state
        server.next_turn = (server.load + server.rotation_offset * state.mean_load) / server.share
        for pool in state.pools_of(server):
            heappush(pool.turns, (server.next_turn, server.id, server))

    def next_server(
        self, now: float, pool: ServerPool, request: RequestState, may_attempt: MayAttempt, *, allow_slow: bool
    ) -> Server | None:
        """Return the first server in turn that may be attempted and was not tried.

        With `allow_slow` slow servers are considered too.
        """
        return self._first_in_turn(
            pool,
            lambda server: (
                (server.is_available or (allow_slow and server.ejected_until <= now))
                and server.id not in request.tried_servers
                and may_attempt(now, request, server)
            ),
        )

    def any_server(
        self, now: float, pool: ServerPool, request: RequestState, may_attempt: MayAttempt
    ) -> Server | None:
        """Return the first server in turn that may be attempted, even if it is ejected or was tried."""
        return self._first_in_turn(pool, lambda server: may_attempt(now, request, server))

    def _first_in_turn(self, pool: ServerPool, accepts: Callable[[Server], bool]) -> Server | None:
        turns = pool.turns
        passed = []
        chosen = None
        while turns and chosen is None:
            entry = heappop(turns)
            turn, _, server = entry
            if turn == server.next_turn and server.is_ready:  # else an older turn of this server
                passed.append(entry)
                if accepts(server):
                    chosen = server
        for entry in passed:
            heappush(turns, entry)
        return chosen
