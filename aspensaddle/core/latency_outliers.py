"""Latency outliers: servers with a high message latency get no new connections for a time.

A server that accepts attempts can still be slow. Its message latency is reported by the server itself, or measured by
the delays of its responses.
"""

from __future__ import annotations

from collections import Counter

from aspensaddle.core.balancer_state import USUAL_BALANCER_COUNT, BalancerState
from aspensaddle.core.passive_measurement import PassiveMeasurement
from aspensaddle.core.server_pool import ServerPool
from aspensaddle.core.server_state import Server
from aspensaddle.core.slow_responses import SLOW_LATENCY_FRACTION
from aspensaddle.core.weighted_rotation import WeightedRotation

SLOW_SECONDS = 2.5  # duration of a mark without a further report; reports come once a second
ASSUMED_NOT_SLOW_SERVERS = 1  # added to those observed, so that one slow server of few does not weigh too much
ASSUMED_NOT_SLOW_SERVERS_SPARSE = 4  # added too if the balancer holds few connections


class LatencyOutliers:
    """Marks slow servers, and keeps the fraction of slow ones among the servers that this balancer observes."""

    def __init__(
        self, state: BalancerState, rotation: WeightedRotation, passive_measurement: PassiveMeasurement
    ) -> None:
        """Mark servers in `rotation`, and count slow responses as attempts that were not accepted."""
        self._state = state
        self._rotation = rotation
        self._passive_measurement = passive_measurement

    def record_report(self, now: float, server: Server, latency: float) -> bool:
        """Record a message latency in seconds, and mark a slow server; return whether the server is slow.

        With many balancers a server stays marked for longer, so that all balancers together attempt it as often as a
        few would. For a server with connections of this balancer, `clear_stale_marks` ends the mark earlier.
        """
        is_slow = latency >= self._state.message_latency_objective * SLOW_LATENCY_FRACTION
        was_slow = server.slow_until > now
        mark_seconds = SLOW_SECONDS * max(1.0, self._state.settings.balancer_count / USUAL_BALANCER_COUNT)
        server.latency_reported_at = now
        server.slow_until = now + mark_seconds if is_slow else now
        if is_slow != was_slow:
            self._rotation.update_server(now, server)
        self._passive_measurement.count(server, accepted=not is_slow)
        return is_slow

    def clear_stale_marks(self, now: float) -> None:
        """Unmark servers that hold connections of this balancer but have no recent latency report."""
        for server in self._rotation.time_dependent_servers.values():
            if server.connections and now > server.latency_reported_at + SLOW_SECONDS:
                server.slow_until = min(server.slow_until, now)

    def update_statistics(self, now: float) -> None:
        """Update the slow fraction of each pool, from the servers that hold connections of this balancer.

        Also updates what else is counted over all servers: those that are warming up, and the reported connections.
        """
        state = self._state
        state.reported_connections = sum(server.reported.connections for server in state.servers.values())
        state.update_warming_up(now)
        observed, slow = self._count_observed(now)
        assumed = ASSUMED_NOT_SLOW_SERVERS + ASSUMED_NOT_SLOW_SERVERS_SPARSE * state.has_few_connections
        for pool in (state.local_pool, state.fleet_pool):
            pool.slow_fraction = slow[pool] / (observed[pool] + assumed)
        observed_fraction = observed[state.fleet_pool] / max(1, state.ready_count)
        state.unobserved_weight = state.many_balancers_weight * max(0.0, 1 - observed_fraction)

    def _count_observed(self, now: float) -> tuple[Counter[ServerPool], Counter[ServerPool]]:
        """Return by pool how many servers hold connections of this balancer, and how many of these are slow.

        A slow server that has just lost its last connection is still counted.
        """
        observed = Counter[ServerPool]()
        slow = Counter[ServerPool]()
        for server in self._state.servers.values():
            is_slow = server.slow_until > now
            has_just_lost_connections = is_slow and now <= server.latency_reported_at + SLOW_SECONDS
            if not server.connections and not has_just_lost_connections:
                continue
            for pool in self._state.pools_of(server):
                observed[pool] += 1
                slow[pool] += is_slow
        return observed, slow
