"""Migration: which open connections are asked to reconnect, so that other servers take their load.

A migrated client comes back with a new request. Each connection is asked once, and is then removed from
`Server.connections`.
"""

from __future__ import annotations

from aspensaddle.core.actions import Migrate
from aspensaddle.core.balancer_state import BalancerState
from aspensaddle.core.capacity_shortage import ServerCapacity
from aspensaddle.core.server_state import Server

MIGRATED_FRACTION = (
    0.1  # maximum part of a server's connections migrated per tick or report; double off a slow server
)
REBALANCE_MIN_LOAD_PER_CORE = 0.3  # load in cores per listed core above which a server is rebalanced
REBALANCE_MIN_LOAD_RATIO = 1.5  # ratio to the fleet's mean load per share above which a server is rebalanced
MIN_LOAD_SAMPLES = 10  # connections with a known load that a reliable mean load needs
MAX_UTILIZATION_BEFORE_MIGRATION = 0.95  # load over reported capacity above which the excess is migrated


class Migration:
    """Finds connections to migrate: off loaded, slow and overloaded servers, and heavy ones in a shortage."""

    def __init__(self, state: BalancerState) -> None:
        """Read servers, requests and settings from `state`."""
        self._state = state

    def migrate_off_most_loaded_server(self) -> list[Migrate]:
        """Migrate off the server with the most load per share, while that is far above the fleet's mean.

        Loads change after a connection was placed. Nothing is rebalanced while the list shows a capacity shortage.
        """
        state = self._state
        candidates = [server for server in state.servers.values() if self._is_rebalance_candidate(server)]
        if not candidates or not state.load_samples or state.shortage.missing_fraction:
            return []
        fleet_load = state.fleet_pool.load_per_share()
        if not 0 < fleet_load < float("inf"):
            return []
        server = max(candidates, key=lambda server: server.normalized_load)
        excess = server.normalized_load / (REBALANCE_MIN_LOAD_RATIO * fleet_load) - 1
        return self._migrate_fraction(server, MIGRATED_FRACTION * min(1.0, excess))

    def _is_rebalance_candidate(self, server: Server) -> bool:
        """Return whether a server has connections, and enough load that some of them may be migrated."""
        if not server.connections or not server.share:
            return False
        return server.load > REBALANCE_MIN_LOAD_PER_CORE * server.share * self._state.ready_count

    def migrate_off_slow_server(self, server: Server, latency: float) -> list[Migrate]:
        """Migrate connections off a slow server, in proportion to its latency.

        Balancers without connections there do not know that it is slow and keep placing connections on it. To make
        up for that, more is migrated the fewer of the servers hold connections of this balancer.
        """
        state = self._state
        slowness = min(1.0, latency / state.message_latency_objective)
        return self._migrate_fraction(server, MIGRATED_FRACTION * (1 + state.unobserved_weight) * slowness)

    def migrate_off_overloaded_server(self, server: Server) -> list[Migrate]:
        """Migrate the part of a server's load that exceeds the capacity that it reports."""
        capacity = server.reported.capacity
        if not capacity or not server.load:
            return []
        return self._migrate_fraction(server, 1 - MAX_UTILIZATION_BEFORE_MIGRATION * capacity / server.load)

    def migrate_heavy_connections(self, now: float) -> list[Migrate]:
        """Update the capacity shortage, and migrate the connections whose load is too heavy in it."""
        self._update_shortage(now)
        limit = self._state.shortage.max_connection_load
        heavy = [
            request
            for request in self._state.requests.values()
            if request.is_established and (request.load or 0.0) > limit
        ]
        return [
            Migrate(request.request.request_id)
            for request in heavy
            if request.server and self._mark_asked(request.server, request.request.request_id)
        ]

    def migrate_if_heavy(self, server: Server, request_id: str, load: float) -> list[Migrate]:
        """Migrate a connection if its reported load is too heavy in the capacity shortage."""
        if load > self._state.shortage.max_connection_load and self._mark_asked(server, request_id):
            return [Migrate(request_id)]
        return []

    def _update_shortage(self, now: float) -> None:
        """Update the capacity shortage by the list and the lost connections.

        It is used only if many balancers each hold few connections, sizes are listed and there are no load reports.
        """
        state = self._state
        applies = state.has_few_connections and state.settings.weights_are_sizes and not state.uses_load_reports
        capacities = [
            ServerCapacity(server.weight, server.weight * state.capacity_fraction(now, server) * server.is_ready)
            for server in state.servers.values()
        ]
        state.shortage.update(
            capacities,
            fleet_connections=state.settings.balancer_count * len(state.requests),
            weight=state.many_balancers_weight * applies,
            lost_connections=state.lost_connections,
            mean_load=state.mean_load if state.load_samples >= MIN_LOAD_SAMPLES else 0.0,
        )

    def _migrate_fraction(self, server: Server, fraction: float) -> list[Migrate]:
        """Migrate a fraction of a server's connections, beginning with those that free the most load."""
        count = int(fraction * len(server.connections) + self._state.random.random()) if fraction > 0 else 0
        by_freed_load = sorted(
            server.connections, key=lambda request_id: self._freed_load(server, request_id), reverse=True
        )
        return [Migrate(request_id) for request_id in by_freed_load[:count] if self._mark_asked(server, request_id)]

    def _freed_load(self, server: Server, request_id: str) -> float:
        """Return the load that a server loses with a connection, including its part of the session group's cost."""
        state = self._state
        request = server.connections[request_id]
        group = request.request.session_group
        group_load = 0.0
        if group is not None:
            group_load = state.session_group_cost * state.mean_load / server.session_groups[group]
        return (state.mean_load if request.load is None else request.load) + group_load

    @staticmethod
    def _mark_asked(server: Server, request_id: str) -> bool:
        """Mark a connection as asked to migrate; return False if it was marked before."""
        return server.connections.pop(request_id, None) is not None
