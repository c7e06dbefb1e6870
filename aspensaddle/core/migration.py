"""Migration: which open connections are asked to reconnect, to move their load to other servers.

A migrated client comes back as a new request. Each connection is asked once: it then leaves `Server.connections`.
"""

from __future__ import annotations

from aspensaddle.core.actions import Migrate
from aspensaddle.core.balancer_state import BalancerState
from aspensaddle.core.capacity_shortage import ServerCapacity
from aspensaddle.core.server_state import Server

REBALANCE_FRACTION = 0.1  # of a server's connections that leave per tick or report, at most
REBALANCE_MIN_LOAD_PER_CORE = 0.3  # load in cores for each listed core, from which a server may lose connections
REBALANCE_MIN_LOAD_RATIO = 1.5  # to the mean load per share of all servers, the same
MIN_LOAD_SAMPLES = 10  # connections with a known load, below which the mean load says too little
MAX_UTILIZATION = 0.95  # of a server's reported capacity; the excess leaves


class Migration:
    """Finds connections to migrate: off loaded, slow and overloaded servers, and heavy ones in a shortage."""

    def __init__(self, state: BalancerState) -> None:
        """Decide by `state`."""
        self._state = state

    def rebalance(self) -> list[Migrate]:
        """Migrate off the server with the most load for its share, while that is far over the fleet's mean.

        Loads swing after a connection was placed. Nothing is moved while capacity is missing by the list.
        """
        state = self._state
        loaded = [server for server in state.servers.values() if self._is_loaded(server)]
        if not loaded or not state.load_samples or state.shortage.missing_fraction:
            return []
        fleet_load = state.fleet_pool.load_per_share()
        if not 0 < fleet_load < float("inf"):
            return []
        server = max(loaded, key=lambda server: server.next_turn)
        excess = server.next_turn / (REBALANCE_MIN_LOAD_RATIO * fleet_load) - 1
        return self._migrate_fraction(server, REBALANCE_FRACTION * min(1.0, excess))

    def _is_loaded(self, server: Server) -> bool:
        if not server.connections or not server.share:
            return False
        return server.load > REBALANCE_MIN_LOAD_PER_CORE * server.share * self._state.ready_count

    def off_slow_server(self, server: Server, latency: float) -> list[Migrate]:
        """Migrate off a slow server, by how slow it is.

        Balancers without connections there do not know of it and keep placing, so that more is migrated the less of
        the fleet this balancer sees.
        """
        state = self._state
        slowness = min(1.0, latency / state.message_latency_objective)
        return self._migrate_fraction(server, REBALANCE_FRACTION * (1 + state.unseen_weight) * slowness)

    def off_overloaded_server(self, server: Server) -> list[Migrate]:
        """Migrate what a server reports to be asked beyond its capacity."""
        capacity = server.reported.capacity
        if not capacity or not server.load:
            return []
        return self._migrate_fraction(server, 1 - MAX_UTILIZATION * capacity / server.load)

    def heavy_connections(self, now: float) -> list[Migrate]:
        """Update the capacity shortage, and migrate the connections that are too heavy for it."""
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
            if request.server and self._ask_once(request.server, request.request.request_id)
        ]

    def if_heavy(self, server: Server, request_id: str, load: float) -> list[Migrate]:
        """Migrate a connection whose reported load is too heavy for the shortage."""
        if load > self._state.shortage.max_connection_load and self._ask_once(server, request_id):
            return [Migrate(request_id)]
        return []

    def _update_shortage(self, now: float) -> None:
        """Find the shortage. It applies to many balancers that see little, with listed sizes and without reports."""
        state = self._state
        applies = state.sees_little and state.settings.weights_are_sizes and not state.uses_load_reports
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
        """Migrate a fraction of a server's connections, those first that free most load."""
        count = int(fraction * len(server.connections) + self._state.random.random()) if fraction > 0 else 0
        by_load = sorted(
            server.connections, key=lambda request_id: self._freed_load(server, request_id), reverse=True
        )
        return [Migrate(request_id) for request_id in by_load[:count] if self._ask_once(server, request_id)]

    def _freed_load(self, server: Server, request_id: str) -> float:
        """Return the load that a server loses with a connection; the last of a session group frees its cost."""
        state = self._state
        request = server.connections[request_id]
        group = request.request.session_group
        group_load = 0.0
        if group is not None:
            group_load = state.session_group_cost * state.mean_load / server.session_groups[group]
        return (state.mean_load if request.load is None else request.load) + group_load

    @staticmethod
    def _ask_once(server: Server, request_id: str) -> bool:
        return server.connections.pop(request_id, None) is not None
