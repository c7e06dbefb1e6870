"""The servers that are listed and not draining."""

from __future__ import annotations

from collections.abc import Iterable

from aspensaddle.core.events import Endpoint, EndpointUpdateScope, ServerState


class ReadyServers:
    """The numbers of the servers that may get new requests, by the updates of the endpoint list."""

    def __init__(self) -> None:
        """Start without servers."""
        self._servers: set[int] = set()

    def __contains__(self, server: int) -> bool:
        """Return whether a server is listed and not draining."""
        return server in self._servers

    def apply(self, scope: EndpointUpdateScope, endpoints: Iterable[Endpoint]) -> None:
        """Apply an update of the endpoint list. A failed one changes nothing."""
        if scope is EndpointUpdateScope.FAILED:
            return
        if scope is not EndpointUpdateScope.INCREMENTAL:
            self._servers.clear()
        for endpoint in endpoints:
            if endpoint.state is ServerState.READY:
                self._servers.add(endpoint.server)
            else:
                self._servers.discard(endpoint.server)
