"""Load accounting: the load of each server, and the mean load of a connection.

A connection counts towards the load of its server from the start of its attempt until it ends. While its own load is
unknown, it counts as a connection of mean load. Each session group with a connection at a server adds
`session_group_cost` mean loads to that server.
"""

from __future__ import annotations

from aspensaddle.core.attempt_window import WINDOW_SLOTS
from aspensaddle.core.balancer_state import BalancerState
from aspensaddle.core.request_state import RequestState
from aspensaddle.core.server_state import Server
from aspensaddle.core.weighted_rotation import WeightedRotation

MAX_LOAD_SAMPLES = 100  # the mean covers about this many connections, so that it follows changes of traffic
# The rotation is rebuilt when the ratio of the mean load to its value at the last rebuild leaves the range from this
# number to its inverse.
MIN_MEAN_LOAD_RATIO = 0.8


class LoadAccounting:
    """Updates the loads of servers and the load sums of `BalancerState` as requests and load reports arrive."""

    def __init__(self, state: BalancerState, rotation: WeightedRotation) -> None:
        """Keep the sums in `state`; update `rotation` when the load of a server changes."""
        self._state = state
        self._rotation = rotation

    def add_request(self, server: Server, request: RequestState) -> None:
        """Add the load of a request, which is an attempt or a connection, to a server."""
        self._count_request(server, request, 1)

    def remove_request(self, server: Server, request: RequestState) -> None:
        """Remove the load of a request, which is an attempt or a connection, from a server."""
        self._count_request(server, request, -1)

    def _count_request(self, server: Server, request: RequestState, sign: int) -> None:
        self._state.tenant_quotas.add_connections(request.request.tenant, sign)
        server.request_count += sign
        if request.load is None:
            server.connections_of_unknown_load += sign
        else:
            server.known_load += sign * request.load
        group = request.request.session_group
        if group is not None:
            server.session_groups[group] += sign
            if not server.session_groups[group]:
                del server.session_groups[group]
        self.update_load(server)

    def update_load(self, server: Server) -> None:
        """Recompute the load of a server after its connections, its load report or the mean load changed."""
        previous_load = server.load
        server.load = self.compute_load(server)
        if server.id in self._state.servers:  # the total load includes only listed servers
            self._state.total_load += server.load - previous_load
        if server.share:
            for pool in self._state.pools_of(server):
                pool.load += (server.load - previous_load) * server.is_available
            self._rotation.enqueue(server)

    def compute_load(self, server: Server) -> float:
        """Update `own_load` of a server and its sum in the state; return the load of the server.

        That is the load from this balancer, or from all balancers where load reports are used.
        """
        state = self._state
        assumed_connections = server.connections_of_unknown_load + state.session_group_cost * len(
            server.session_groups
        )
        own_load = server.known_load + assumed_connections * state.mean_load
        state.own_load = state.own_load + own_load - server.own_load
        server.own_load = own_load
        if state.uses_load_reports:
            return server.reported.current_load(own_load, state.balancers_in_load)
        return own_load

    def add_load_sample(self, now: float, load: float) -> None:
        """Add the load of a connection to the mean, and rebuild the rotation if the mean has drifted.

        The normalized loads of the rotation were computed with an earlier mean. If that has drifted, servers without
        known loads look loaded.
        """
        state = self._state
        state.load_samples = min(state.load_samples + 1, MAX_LOAD_SAMPLES)
        state.mean_load += (load - state.mean_load) / state.load_samples
        mean_at_rebuild = self._rotation.mean_load_at_rebuild
        if not MIN_MEAN_LOAD_RATIO * mean_at_rebuild <= state.mean_load <= mean_at_rebuild / MIN_MEAN_LOAD_RATIO:
            self._rotation.rebuild(now, self.compute_load)

    def update_typical_load(self) -> None:
        """Update the smoothed load per ready server. Called once per tick."""
        state = self._state
        mean_server_load = state.total_load / max(1, state.ready_count)
        if state.typical_server_load:
            state.typical_server_load += (mean_server_load - state.typical_server_load) / WINDOW_SLOTS
        else:
            state.typical_server_load = mean_server_load

    def mean_connection_load(self) -> float:
        """Return the mean load of this balancer's connections, or the sampled mean if there are none."""
        return self._state.own_load / max(1, len(self._state.requests)) or self._state.mean_load
