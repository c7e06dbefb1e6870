"""Latency outliers: servers whose messages take long get nothing new for a time.

A server that accepts attempts can still be slow. Servers, or the delays of their responses, tell how long a message
takes.
"""

from __future__ import annotations

from collections import Counter

from aspensaddle.core.balancer_state import USUAL_BALANCER_COUNT, BalancerState
from aspensaddle.core.passive_measurement import PassiveMeasurement
from aspensaddle.core.server_pool import ServerPool
from aspensaddle.core.server_state import Server
from aspensaddle.core.slow_responses import SLOW_FRACTION
from aspensaddle.core.weighted_rotation import WeightedRotation

SLOW_SECONDS = 2.5  # without a further report; reports come once a second
ASSUMED_NOT_SLOW_SERVERS = 1  # besides those seen, because one slow server of few would weigh too much
ASSUMED_NOT_SLOW_SERVERS_SPARSE = 4  # further ones, where a balancer holds few connections


class LatencyOutliers:
    """Marks slow servers, and tells how many of the servers that this balancer sees are slow."""

    def __init__(
        self, state: BalancerState, rotation: WeightedRotation, passive_measurement: PassiveMeasurement
    ) -> None:
        """Mark servers in `rotation` and count slow responses as attempts without an accept."""
        self._state = state
        self._rotation = rotation
        self._passive_measurement = passive_measurement

    def report(self, now: float, server: Server, latency: float) -> bool:
        """Take a report of `latency` seconds; return whether the server is slow.

        With many balancers a server without connections here stays marked longer, so that all balancers together try
        it as often as a few would.
        """
        is_slow = latency >= self._state.message_latency_objective * SLOW_FRACTION
        was_slow = server.slow_until > now
        mark_seconds = SLOW_SECONDS * max(1.0, self._state.settings.balancer_count / USUAL_BALANCER_COUNT)
        server.latency_reported_at = now
        server.slow_until = now + mark_seconds if is_slow else now
        if is_slow != was_slow:
            self._rotation.place(now, server)
        self._passive_measurement.count(server, accepted=not is_slow)
        return is_slow

    def clear_silent(self, now: float) -> None:
        """End the mark of servers whose connections have stopped reporting."""
        for server in self._rotation.unsettled.values():
            if server.connections and now > server.latency_reported_at + SLOW_SECONDS:
                server.slow_until = min(server.slow_until, now)

    def survey(self, now: float) -> None:
        """Update the slow fraction of each pool, by the servers that hold this balancer's connections.

        Also updates the other counts over all servers: those that warm up, and the connections by reports.
        """
        state = self._state
        state.reported_connections = sum(server.reported.connections for server in state.servers.values())
        state.warming_up_count = sum(
            server.is_ready and state.capacity_fraction(now, server) < 1.0 for server in state.servers.values()
        )
        seen, slow = self._count_seen(now)
        assumed = ASSUMED_NOT_SLOW_SERVERS + ASSUMED_NOT_SLOW_SERVERS_SPARSE * state.has_few_connections
        for pool in (state.local_pool, state.fleet_pool):
            pool.slow_fraction = slow[pool] / (seen[pool] + assumed)
        seen_fraction = seen[state.fleet_pool] / max(1, state.ready_count)
        state.unobserved_weight = state.many_balancers_weight * max(0.0, 1 - seen_fraction)

    def _count_seen(self, now: float) -> tuple[Counter[ServerPool], Counter[ServerPool]]:
        """Return how many servers with connections each pool has, and how many of these are slow."""
        seen = Counter[ServerPool]()
        slow = Counter[ServerPool]()
        for server in self._state.servers.values():
            is_slow = server.slow_until > now
            has_just_lost_all = is_slow and now <= server.latency_reported_at + SLOW_SECONDS
            if not server.connections and not has_just_lost_all:
                continue
            for pool in self._state.pools_of(server):
                seen[pool] += 1
                slow[pool] += is_slow
        return seen, slow
