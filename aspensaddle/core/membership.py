"""Membership: applies the endpoint list, by which servers join, leave or change, and schedules the watch for it."""

from __future__ import annotations

from aspensaddle.core.actions import SetTimer
from aspensaddle.core.balancer_state import BalancerState
from aspensaddle.core.events import Endpoint, EndpointsChanged, EndpointUpdateScope, ServerState
from aspensaddle.core.server_state import Server
from aspensaddle.core.weighted_rotation import WeightedRotation

WATCH_TIMER = "watch"
WATCH_RETRY_BASE_SECONDS = 0.5
MIN_WATCH_RETRY_CAP_SECONDS = 1.0
MAX_BACKOFF_DOUBLINGS = 10  # bounds the power of two; the wait reaches its cap with fewer


class Membership:
    """Keeps the servers of the balancer's state in line with the endpoint list."""

    def __init__(self, state: BalancerState, rotation: WeightedRotation) -> None:
        """Start without an endpoint list."""
        self._state = state
        self._rotation = rotation
        self._failed_watches = 0
        self._departed: dict[int, Server] = {}  # those that left the list and still hold requests

    def first_watch(self) -> SetTimer:
        """Return the timer of the first watch, with a random delay so that balancers do not all start it at once."""
        return SetTimer(WATCH_TIMER, self._state.random.uniform(0.0, self._state.rules.poll_interval / 2))

    def retry_watch(self) -> SetTimer:
        """Return the timer of the watch that follows a failed one, by exponential backoff with jitter.

        Where lists are pushed, the watch goes to a local agent, so that the cap of the wait is low.
        """
        self._failed_watches += 1
        max_wait = self._state.rules.poll_interval if self._state.settings.polls_discovery else 0.0
        doublings = min(self._failed_watches, MAX_BACKOFF_DOUBLINGS)
        wait = min(max(MIN_WATCH_RETRY_CAP_SECONDS, max_wait), WATCH_RETRY_BASE_SECONDS * 2**doublings)
        return SetTimer(WATCH_TIMER, self._state.random.uniform(wait / 2, wait))

    def update(self, now: float, event: EndpointsChanged) -> bool:
        """Apply an update of the endpoint list; return whether a server joined, left, restarted or changed state."""
        self._failed_watches = 0
        self._departed = {number: server for number, server in self._departed.items() if server.request_count}
        changed = self._remove_unlisted(event) + [
            server for endpoint in event.endpoints if (server := self._update_server(endpoint))
        ]
        self._relink_requests_of_returned_servers()
        if changed:
            self._reset(now, changed)
        self._rotation.needs_rebuild = True
        self._state.session_groups.clear_ring()
        return bool(changed)

    def _remove_unlisted(self, event: EndpointsChanged) -> list[Server]:
        """Remove the servers that a complete list does not contain; return them."""
        if event.scope is EndpointUpdateScope.INCREMENTAL:
            return []
        listed = {endpoint.server for endpoint in event.endpoints}
        return [self._remove(number) for number in list(self._state.servers) if number not in listed]

    def _remove(self, number: int) -> Server:
        """Remove a server. Its record is kept only while it holds requests, which bounds the memory used."""
        server = self._state.servers.pop(number)
        if server.request_count:
            self._departed[number] = server
        return server

    def _add(self, endpoint: Endpoint) -> Server:
        """Add a server; one that returns to the list keeps the attempts and connections that it still holds."""
        server = Server(endpoint, self._state.random.random())
        self._state.servers[endpoint.server] = server
        departed = self._departed.get(endpoint.server)
        if departed is not None:
            server.inherit_requests(departed)
        return server

    def _relink_requests_of_returned_servers(self) -> None:
        """Make requests at servers that returned to the list refer to the new records of these servers."""
        returned = self._departed.keys() & self._state.servers.keys()
        if not returned:
            return
        for request in self._state.requests.values():
            if request.server is not None and request.server.id in returned:
                request.server = self._state.servers[request.server.id]
        for number in returned:
            del self._departed[number]

    def _update_server(self, endpoint: Endpoint) -> Server | None:
        """Apply one entry of the list; return its server if that joined, left, restarted or changed state."""
        servers = self._state.servers
        server = servers.get(endpoint.server)
        if server is None:
            server = self._add(endpoint)
        is_ready = endpoint.state is ServerState.READY
        changed = endpoint.started_at != server.started_at or is_ready != server.is_ready
        server.update(endpoint, self._state.settings.core_speeds)
        if endpoint.state is ServerState.GONE:
            self._remove(endpoint.server)
        return server if changed else None

    def _reset(self, now: float, changed: list[Server]) -> None:
        """Put changed servers into the rotation at the mean ratio and without failures, or take them out of it.

        Their attempt counts and load reports are kept.
        """
        for server in changed:
            server.is_ready = server.is_ready and server.id in self._state.servers
            server.ratio = 0.0
            server.consecutive_failures = 0
            server.ejected_until = 0.0
            server.slow_until = 0.0
            server.drops_connections = False
        self._rotation.rescale_ratios()
        for server in changed:
            self._rotation.update_server(now, server)
