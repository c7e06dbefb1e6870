"""Load accounting: what each server carries, and the mean load of a connection.

A connection counts with its load from its attempt to its end. One of unknown load counts with the mean. Every session
group that a server holds any of costs it a number of mean loads.
"""

from __future__ import annotations

from aspensaddle.core.attempt_window import WINDOW_SLOTS
from aspensaddle.core.balancer_state import BalancerState
from aspensaddle.core.request_state import RequestState
from aspensaddle.core.server_state import Server
from aspensaddle.core.weighted_rotation import WeightedRotation

MAX_LOAD_SAMPLES = 100  # the mean is one over so many connections and follows a change of traffic
MIN_MEAN_LOAD_RATIO = 0.8  # to the mean load at the last layout, or its inverse, before the rotation is rebuilt


class LoadAccounting:
    """Keeps the loads of servers and the sums of `BalancerState` in step with requests and reports."""

    def __init__(self, state: BalancerState, rotation: WeightedRotation) -> None:
        """Account into `state`."""
        self._state = state
        self._rotation = rotation

    def add_request(self, server: Server, request: RequestState) -> None:
        """Count a request's attempt or connection at a server."""
        self._change(server, request, 1)

    def remove_request(self, server: Server, request: RequestState) -> None:
        """Take a request's attempt or connection off a server."""
        self._change(server, request, -1)

    def _change(self, server: Server, request: RequestState, sign: int) -> None:
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
        """Weigh a server anew, after its connections, a report or the mean load changed."""
        before = server.load
        server.load = self.compute_load(server)
        if server.id in self._state.servers:  # the total of the last layout has no other
            self._state.total_load += server.load - before
        if server.share:
            for pool in self._state.pools_of(server):
                pool.load += (server.load - before) * server.is_available
            self._rotation.queue(server)

    def compute_load(self, server: Server) -> float:
        """Update this balancer's load of a server; return its load, by its reports that of all balancers."""
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
        """Take the load of a connection into the mean.

        Turns computed with a mean that has drifted make servers without known loads look loaded.
        """
        state = self._state
        state.load_samples = min(state.load_samples + 1, MAX_LOAD_SAMPLES)
        state.mean_load += (load - state.mean_load) / state.load_samples
        at_layout = self._rotation.mean_load_at_layout
        if not MIN_MEAN_LOAD_RATIO * at_layout <= state.mean_load <= at_layout / MIN_MEAN_LOAD_RATIO:
            self._rotation.lay_out(now, self.compute_load)

    def update_typical_load(self) -> None:
        """Follow the load per ready server, once a tick."""
        state = self._state
        mean_server_load = state.total_load / max(1, state.ready_count)
        if state.typical_server_load:
            state.typical_server_load += (mean_server_load - state.typical_server_load) / WINDOW_SLOTS
        else:
            state.typical_server_load = mean_server_load

    def mean_connection_load(self) -> float:
        """Return the mean load of this balancer's connections, the sampled mean without any."""
        return self._state.own_load / max(1, len(self._state.requests)) or self._state.mean_load
