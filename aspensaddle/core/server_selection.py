"""Server selection: applies the rules in order to choose the server of a request's next attempt.

1. In the local zone, if that is preferred (`locality`): a preferred server of the session group or affinity key
   (`affinity`), otherwise the next server in rotation (`weighted_rotation`).
2. The same among all servers. Groups whose preferred servers follow from the endpoint list start with this step.
3. The next server in rotation, slow ones included, then ejected servers and those that were tried.

Every server must pass `may_attempt`: endpoint confirmation, the retry policy, slow start and the utilization limit.
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

# The highest normalized load, relative to the pool's load per share, of a server that is chosen for a session group.
MAX_GROUP_LOAD_RATIO = 1.1
# The same limit for a server that is chosen for an affinity key.
MAX_KEY_LOAD_RATIO = 1.5
# The number of points on the hash ring that are examined for a session group or affinity key.
MAX_RING_STEPS = 16
# The fraction of reconnecting clients that are rejected when their preferred server has reached its slow start limit.
RECONNECT_REJECT_FRACTION = 0.6
RANDOM_KEY_BITS = 32


class ServerSelection:
    """Chooses the server of an attempt."""

    def __init__(self, state: BalancerState, rotation: WeightedRotation, slow_start: SlowStart) -> None:
        """Choose servers by `state`, the rotation and the slow start limit."""
        self._state = state
        self._rotation = rotation
        self._slow_start = slow_start

    def select(self, now: float, request: RequestState) -> Server | None:
        """Return the server of the next attempt, or None with the reason in the request's `no_server_reason`."""
        request.only_servers = self._state.only_confirmed_servers(now)
        if request.only_servers is not None and self._state.ready_count:
            request.no_server_reason = RejectReason.ENDPOINTS_UNCONFIRMED
        if request.only_servers == [] or self._slow_start.exceeds_every_limit(now, request):
            return None
        return self._search(now, request)

    def _search(self, now: float, request: RequestState) -> Server | None:
        pools = self._pools_to_search(request)
        for pool in pools:
            server = self._preferred_server(now, pool, request)
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
        """Return whether the request may be attempted at a server.

        The server's state must be confirmed, the attempt must not cause a second effect, and the slow start and
        utilization limits must allow it.
        """
        if not self._state.is_confirmed(now, server):
            request.no_server_reason = RejectReason.ENDPOINTS_UNCONFIRMED
            return False
        request_class = self._state.settings.classes[request.request.class_index]
        if not may_retry_on(now, request, request_class, server):
            return False
        if self._slow_start.exceeds_limit(now, request, server):
            return False
        capacity = server.reported.capacity
        return not capacity or server.load <= request.utilization_limit * capacity

    def _pools_to_search(self, request: RequestState) -> list[ServerPool]:
        state = self._state
        if not request.preferred_server_count and prefers_local_zone(state):
            return [state.local_pool, state.fleet_pool]
        return [state.fleet_pool]

    def _preferred_server(self, now: float, pool: ServerPool, request: RequestState) -> Server | None:
        """Return a preferred server of the request's session group.

        In pass-through mode, where packets are forwarded unread, affinity keys are used in the same way. Most
        connections then reach the same server through any balancer.
        """
        group = request.request.session_group
        key = request.request.affinity_key if group is None and self._state.settings.pass_through else group
        if key is None or not pool.available_count:
            return None
        if request.preferred_server_count:
            return self._preferred_by_endpoint_list(now, key, request)
        return self._preferred_within_load(now, pool, key, request)

    def _preferred_by_endpoint_list(self, now: float, key: int, request: RequestState) -> Server | None:
        """Return a server in the group's order of preference by the endpoint list, which all balancers share."""
        state = self._state

        def is_usable(server: Server) -> bool:
            return server.avoided_until <= now and server.id not in request.tried_servers

        candidates = filter(is_usable, state.session_groups.preferred_servers(key, state.servers.values()))
        preferred = sorted(
            islice(candidates, request.preferred_server_count), key=lambda server: server.normalized_load
        )
        if state.shortage.missing_fraction:  # each client keeps its preferred server while servers join and leave
            client = request.request.affinity_key or state.random.getrandbits(RANDOM_KEY_BITS)
            preferred = rendezvous_order(client, preferred)
        if self._is_rejected_until_warmed_up(now, request, preferred):
            request.no_server_reason = RejectReason.AFFINITY_SERVER_WARMING_UP
            return None
        if request.only_servers is not None:
            confirmed = {server.id for server in request.only_servers}
            preferred = [server for server in preferred if server.id in confirmed]
            candidates = filter(is_usable, HashRing(request.only_servers).walk(key))
        for server in chain(preferred, candidates):
            if server.is_available and self.may_attempt(now, request, server):
                return server
        return None

    def _is_rejected_until_warmed_up(self, now: float, request: RequestState, preferred: list[Server]) -> bool:
        """Return whether to reject a reconnecting client, so that it retries when its server has warmed up further.

        Otherwise the load above this server's slow start limit would overload the group's other servers.
        """
        if not request.request.reconnecting or request.attempts:
            return False
        is_drawn = self._state.random.random() < RECONNECT_REJECT_FRACTION
        if not is_drawn or not preferred or not preferred[0].is_available:
            return False
        return self._slow_start.exceeds_limit(now, request, preferred[0])

    def _preferred_within_load(self, now: float, pool: ServerPool, key: int, request: RequestState) -> Server | None:
        """Return the first server on the ring whose load is not far above the mean of its pool."""
        max_ratio = MAX_KEY_LOAD_RATIO if request.request.session_group is None else MAX_GROUP_LOAD_RATIO
        limit = max_ratio * pool.load_per_share()
        if not pool.ring:
            pool.ring = HashRing(pool.rotation_heap.servers())
        for server in pool.ring.walk(key, MAX_RING_STEPS):
            if not server.is_available or server.normalized_load > limit or server.id in request.tried_servers:
                continue
            if self.may_attempt(now, request, server):
                return server
        return None
