"""Adoption of connections that were open at a server before this process started."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial

import trio

from aspensaddle.frontends.line_protocol.frontend_state import FrontendState
from aspensaddle.frontends.line_protocol.link import Link
from aspensaddle.frontends.line_protocol.open_connections import OpenConnections
from aspensaddle.frontends.line_protocol.open_request import OpenRequest
from aspensaddle.frontends.line_protocol.request_state import RequestState
from aspensaddle.frontends.line_protocol.responses import ERROR, ConnectionEnd
from aspensaddle.frontends.line_protocol.server_connector import AttemptEstablished

ADOPTION_TIMEOUT_SECONDS = 38.0  # the protocol counts a connection as lost after 40 s
ADOPTION_RETRY_SECONDS = 0.5


@dataclass(slots=True)
class _Adoption:
    """What became of a connection to adopt so far."""

    state: RequestState
    open_request: OpenRequest
    server_name: str
    deadline: float
    server: int | None = None
    established: AttemptEstablished | None = None


class ConnectionAdopter:
    """Reopens connections at the server that the client names; the balancer does not choose one."""

    def __init__(self, frontend: FrontendState, connections: OpenConnections) -> None:
        """Hand reopened connections to `connections`."""
        self._frontend, self._connections = frontend, connections

    async def run(self, client: Link, open_request: OpenRequest, server_name: str) -> ConnectionEnd:
        """Reopen a connection, relay it, and return how the client's connection ends."""
        deadline = trio.current_time() + ADOPTION_TIMEOUT_SECONDS
        adoption = _Adoption(RequestState(client), open_request, server_name, deadline)
        await adoption.state.run_while_client_waits(partial(self._reopen, adoption))
        self._log(adoption)
        if adoption.established is None or adoption.server is None:
            violation = adoption.state.protocol_violation
            return ConnectionEnd(ERROR if violation else self._frontend.unavailable_response())
        request = open_request.request
        self._frontend.driver.connection_adopted(adoption.state, request, adoption.server)
        return await self._connections.serve(
            client, adoption.state, request.request_id, adoption.server, adoption.established
        )

    async def _reopen(self, adoption: _Adoption) -> None:
        """Retry until the server accepts, the time is over or the process shuts down."""
        placing, request_id = self._frontend.pending_requests, adoption.open_request.request.request_id
        state = adoption.state
        try:
            placing[request_id] = state
            while adoption.established is None and trio.current_time() < adoption.deadline and state.final is None:
                await self._attempt(adoption)
                if adoption.established is None:
                    with state.attempt_scope:
                        await trio.sleep(ADOPTION_RETRY_SECONDS)
        finally:
            del placing[request_id]

    async def _attempt(self, adoption: _Adoption) -> None:
        adoption.server = self._frontend.endpoints.find(adoption.server_name)
        if adoption.server is None:
            return
        with adoption.state.attempt_scope:
            result = await self._frontend.connector.attempt(
                adoption.server,
                adoption.open_request.line_for_server,
                adoption.deadline - trio.current_time(),
                adoption.state.client_is_connected,
            )
            if isinstance(result, AttemptEstablished):
                adoption.established = result

    def _log(self, adoption: _Adoption) -> None:
        request = adoption.open_request.request
        self._frontend.log.event(
            "connection_adopted",
            request_id=request.request_id,
            affinity_key=request.affinity_key,
            class_index=request.class_index,
            session_group=request.session_group,
            server=adoption.server_name,
            established=adoption.established is not None,
        )
