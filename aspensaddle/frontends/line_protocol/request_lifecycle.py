"""Lifecycle of a new request, from its OPEN to its response or to the end of its relayed connection."""

from __future__ import annotations

from dataclasses import dataclass, replace
from functools import partial

import trio

from aspensaddle.core.actions import Fail, Reject, StartAttempt
from aspensaddle.core.events import Outcome, Request
from aspensaddle.frontends.line_protocol.frontend_state import FrontendState
from aspensaddle.frontends.line_protocol.link import Link, first_word
from aspensaddle.frontends.line_protocol.open_connections import OpenConnections
from aspensaddle.frontends.line_protocol.open_request import OpenRequest
from aspensaddle.frontends.line_protocol.request_state import RequestState
from aspensaddle.frontends.line_protocol.responses import ERROR, ConnectionEnd, response_to
from aspensaddle.frontends.line_protocol.server_connector import AttemptEstablished, AttemptFailed

RESPONSE_MARGIN_SECONDS = 0.03  # part of the client's wait that is reserved for sending the OPEN and the response
MAX_LAG_FRACTION = 0.25  # largest part of the client's wait that is subtracted for the event-loop lag


@dataclass(slots=True)
class _Placement:
    """Progress of the placement of one request."""

    state: RequestState
    open_request: OpenRequest
    request: Request
    started_at: float
    server: int | None = None  # server of the last attempt
    established: AttemptEstablished | None = None
    decision: Reject | Fail | None = None  # the final decision, if any
    response: bytes = b""

    @property
    def finished(self) -> bool:
        return self.established is not None or bool(self.response)


class RequestLifecycle:
    """Places requests and serves the connections established for them."""

    def __init__(self, frontend: FrontendState, connections: OpenConnections) -> None:
        """Create a lifecycle that passes established connections to `connections`."""
        self._frontend, self._connections = frontend, connections

    async def run(self, client: Link, open_request: OpenRequest, arrived_at: float) -> ConnectionEnd:
        """Place a request and relay its connection, if any; return how the client's connection ends."""
        placement = self._prepare(client, open_request, arrived_at)
        await placement.state.run_while_client_waits(partial(self._place, placement))
        self._resolve(placement)
        self._log(placement)
        if placement.established is None or placement.server is None:
            self._count_response(placement)
            return ConnectionEnd(placement.response)
        request_id = placement.request.request_id
        self._frontend.driver.connection_established(request_id)
        return await self._connections.serve(
            client, placement.state, request_id, placement.server, placement.established
        )

    def _prepare(self, client: Link, open_request: OpenRequest, arrived_at: float) -> _Placement:
        """Start the placement of a request whose line arrived at `arrived_at`, in seconds, with its time left.

        The recent event-loop lag is subtracted too, since the response is likely to be as late.
        """
        now = trio.current_time()
        request = open_request.request
        request_class = self._frontend.config.settings.classes[request.class_index]
        wait = min(request.time_left, request_class.deadline)
        lag = now - arrived_at + min(self._frontend.event_loop_lag.recent(now), MAX_LAG_FRACTION * wait)
        request = replace(request, time_left=wait - RESPONSE_MARGIN_SECONDS - lag)
        return _Placement(RequestState(client), open_request, request, now)

    async def _place(self, placement: _Placement) -> None:
        """Carry out the balancer's decisions until one is final or an attempt is established."""
        frontend, state, request = self._frontend, placement.state, placement.request
        try:
            frontend.pending_requests[request.request_id] = state
            frontend.driver.submit(state, request)
            while not placement.finished:
                decision = await state.next_decision()
                if not isinstance(decision, StartAttempt):
                    placement.decision, placement.response = decision, response_to(decision)
                elif state.client_is_connected():
                    await self._attempt(placement, decision)
                else:
                    break
        finally:
            del frontend.pending_requests[request.request_id]
            if not placement.finished:
                frontend.driver.client_disconnected(request.request_id)

    async def _attempt(self, placement: _Placement, start: StartAttempt) -> None:
        """Make one attempt and report its outcome to the driver."""
        placement.server = start.server
        result = await self._attempt_at_server(placement, start)
        if isinstance(result, AttemptEstablished):
            placement.established = result
        elif placement.state.final is None:  # no final decision came during the attempt
            served = result.outcome is Outcome.OK  # the server answered at once, without an open connection
            self._frontend.driver.attempt_ended(start.request_id, result.outcome, finished=served)
            if served:
                placement.response = result.response

    async def _attempt_at_server(
        self, placement: _Placement, start: StartAttempt
    ) -> AttemptEstablished | AttemptFailed:
        deadline = trio.current_time() + start.timeout
        with placement.state.attempt_scope:
            await self._frontend.slots.wait_for_descriptor()
            return await self._frontend.connector.attempt(
                start.server,
                placement.open_request.line_for_server,
                deadline - trio.current_time(),
                lambda: self._frontend.driver.may_start_attempt(start.request_id),
            )
        return AttemptFailed(Outcome.CANCELLED)

    def _resolve(self, placement: _Placement) -> None:
        """Set the response if a final decision or a protocol violation came during the last attempt."""
        state = placement.state
        if placement.established is not None and state.final is not None:
            placement.established.link.close()
            placement.established = None
            placement.decision, placement.response = state.final, response_to(state.final)
        if not placement.finished and state.protocol_violation:
            placement.response = ERROR

    def _log(self, placement: _Placement) -> None:
        request = placement.request
        self._frontend.log.event(
            "request",
            request_id=request.request_id,
            affinity_key=request.affinity_key,
            class_index=request.class_index,
            session_group=request.session_group,
            reconnecting=request.reconnecting,
            attempts=placement.state.attempts,
            time_left=request.time_left,
            server=None if placement.server is None else self._frontend.endpoints.uid(placement.server),
            duration_ms=round(1000 * (trio.current_time() - placement.started_at), 1),
            response="UP"
            if placement.established
            else placement.response.decode("latin-1").strip() or "client_disconnected",
            reject_reason=_reject_reason(placement),
        )

    def _count_response(self, placement: _Placement) -> None:
        if reason := _reject_reason(placement):
            self._frontend.counters.add(f"rejected_{reason}")
        if placement.response:
            self._frontend.counters.add(f"responses_{first_word(placement.response).decode('latin-1').lower()}")
        else:
            self._frontend.counters.add("clients_disconnected")


def _reject_reason(placement: _Placement) -> str | None:
    return placement.decision.reason.value if isinstance(placement.decision, Reject) else None
