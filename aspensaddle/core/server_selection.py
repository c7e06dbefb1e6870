"""Server selection: asks the rules in order which server the next attempt of a request goes to.

1. In the local zone, if that is preferred (`locality`): a preferred server of the session group or affinity key
   (`affinity`), else the server whose turn it is (`weighted_rotation`).
2. The same among all servers. Groups with preferred servers by the endpoint list begin here.
3. By turn, slow servers too; then ejected servers and those that were tried.

Every server has to pass `may_attempt`: endpoint confirmation, the retry policy, slow start and the utilization limit.
"""

from __future__ import annotations

from itertools import chain, islice

from aspensaddle.core.actions import RejectReason
from aspensaddle.core.affinity import rendezvous_order
from aspensaddle.core.balancer_state import BalancerState
from aspensaddle.core.hash_ring import HashRing
from aspensaddle.core.locality import prefers_local_zone
from aspensaddle.core.request_state import RequestState
from aspensaddle.core.retry_policy import may_retry_on
from aspensaddle.core.server_pool import ServerPool
from aspensaddle.core.server_state import Server
from aspensaddle.core.slow_start import SlowStart
from aspensaddle.core.weighted_rotation import WeightedRotation

MAX_GROUP_LOAD_RATIO = (
    1.1  # to its pool's load per share, up to which a server may be loaded to keep a group together
)
MAX_KEY_LOAD_RATIO = 1.5  # the same, to be found again by an affinity key
MAX_RING_STEPS = 16  # points of the ring that a group or key looks at
RECONNECT_REJECT_FRACTION = 0.6  # of reconnecting clients, when their preferred server has reached its limit
RANDOM_KEY_BITS = 32


class ServerSelection:
    """Chooses the server of an attempt."""

    def __init__(self, state: BalancerState, rotation: WeightedRotation, slow_start: SlowStart) -> None:
        """Choose by `state`, with the given rotation and slow start."""
        self._state = state
        self._rotation = rotation
        self._slow_start = slow_start

    def select(self, now: float, request: RequestState) -> Server | None:
        """Return the server of the next attempt; without one, the request's `no_server_reason` tells why."""
        pools = self._pools(request)
        for pool in pools:
            server = self._preferred(now, pool, request)
            if server or request.no_server_reason is RejectReason.AFFINITY_SERVER_WARMING_UP:
                return server
            server = self._rotation.next_server(now, pool, request, self.may_attempt, allow_slow=False)
            if server:
                return server
        for pool in pools:
            server = self._rotation.next_server(now, pool, request, self.may_attempt, allow_slow=True)
            if server:
                return server
        for pool in pools:
            server = self._rotation.any_server(now, pool, request, self.may_attempt)
            if server:
                return server
        return None

    def may_attempt(self, now: float, request: RequestState, server: Server) -> bool:
        """Return whether a server may be attempted: its state is known, no second effect, within its capacity."""
        if not self._state.is_confirmed(now, server):
            request.no_server_reason = RejectReason.ENDPOINTS_UNCONFIRMED
            return False
        request_class = self._state.settings.classes[request.request.class_index]
        if not may_retry_on(now, request, request_class, server):
            return False
        if self._slow_start.holds_back(now, request, server):
            return False
        capacity = server.reported.capacity
        return not capacity or server.load <= request.utilization_limit * capacity

    def _pools(self, request: RequestState) -> list[ServerPool]:
        state = self._state
        if not request.preferred_server_count and prefers_local_zone(state):
            return [state.local_pool, state.fleet_pool]
        return [state.fleet_pool]

    def _preferred(self, now: float, pool: ServerPool, request: RequestState) -> Server | None:
        """Return a preferred server of the request's session group.

        Where packets are passed on unread, affinity keys do the same: a connection mostly finds its server at any
        balancer.
        """
        group = request.request.session_group
        key = request.request.affinity_key if group is None and self._state.settings.pass_through else group
        if key is None or not pool.available_count:
            return None
        if request.preferred_server_count:
            return self._preferred_by_list(now, key, request)
        return self._preferred_within_load(now, pool, key, request)

    def _preferred_by_list(self, now: float, key: int, request: RequestState) -> Server | None:
        """Return a server of those that the list alone gives the group, the same at all balancers."""
        state = self._state
        walk = (
            server
            for server in state.session_groups.preferred_servers(key, state.servers.values())
            if server.avoided_until <= now and server.id not in request.tried_servers
        )
        preferred = sorted(islice(walk, request.preferred_server_count), key=lambda server: server.next_turn)
        if state.shortage.missing_fraction:  # while servers come and go, a client finds its server again
            client = request.request.affinity_key or state.random.getrandbits(RANDOM_KEY_BITS)
            preferred = rendezvous_order(client, preferred)
        if self._is_rejected_until_warm(now, request, preferred):
            request.no_server_reason = RejectReason.AFFINITY_SERVER_WARMING_UP
            return None
        for server in chain(preferred, walk):
            if server.is_available and self.may_attempt(now, request, server):
                return server
        return None

    def _is_rejected_until_warm(self, now: float, request: RequestState, preferred: list[Server]) -> bool:
        """Return whether a reconnecting client is rejected, to retry when its server has warmed up further.

        What this server cannot take yet would overload the group's other servers.
        """
        if not request.request.reconnecting or request.attempts:
            return False
        drawn = self._state.random.random() < RECONNECT_REJECT_FRACTION
        if not drawn or not preferred or not preferred[0].is_available:
            return False
        return self._slow_start.holds_back(now, request, preferred[0])

    def _preferred_within_load(self, now: float, pool: ServerPool, key: int, request: RequestState) -> Server | None:
        """Return the first server on the ring that is not loaded much above its pool."""
        max_ratio = MAX_KEY_LOAD_RATIO if request.request.session_group is None else MAX_GROUP_LOAD_RATIO
        limit = max_ratio * pool.load_per_share()
        if not pool.ring:
            servers = {server.id: server for _, _, server in pool.turns}
            pool.ring = HashRing(servers.values())
        for server in pool.ring.walk(key, MAX_RING_STEPS):
            if not server.is_available or server.next_turn > limit or server.id in request.tried_servers:
                continue
            if self.may_attempt(now, request, server):
                return server
        return None
