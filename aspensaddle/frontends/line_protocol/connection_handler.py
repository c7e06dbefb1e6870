"""Handler of client connections: reads the first line, serves the request and closes the connection."""

from __future__ import annotations

import math

import trio

from aspensaddle.frontends.line_protocol.connection_adopter import ConnectionAdopter
from aspensaddle.frontends.line_protocol.connection_slots import ConnectionSlot, ConnectionStage
from aspensaddle.frontends.line_protocol.errors import ConnectionBrokenError, InvalidOpenError, LineTooLongError
from aspensaddle.frontends.line_protocol.frontend_state import FrontendState
from aspensaddle.frontends.line_protocol.link import Link
from aspensaddle.frontends.line_protocol.open_request import OpenRequest, parse_open
from aspensaddle.frontends.line_protocol.request_lifecycle import RequestLifecycle
from aspensaddle.frontends.line_protocol.request_state import COMMANDS
from aspensaddle.frontends.line_protocol.responses import ERROR, PONG, ConnectionEnd
from aspensaddle.support.internal_errors import record_internal_error

RESPONSE_SEND_TIMEOUT_SECONDS = 0.5  # time limit for sending a client its response
MAX_PINGS = 16  # limit of the PING commands before an OPEN
# A first line read within this many passes of the event loop may have arrived together with its connection.
MAX_LOOP_PASSES_SINCE_ACCEPT = 2


class ConnectionHandler:
    """Handles client connections from accept to close, each in a task of its own."""

    def __init__(self, frontend: FrontendState, requests: RequestLifecycle, adopter: ConnectionAdopter) -> None:
        """Create a handler that passes new requests to `requests` and connections to adopt to `adopter`."""
        self._frontend, self._requests, self._adopter = frontend, requests, adopter

    async def handle(self, stream: trio.SocketStream, arrived_at: float, loop_passes: int) -> None:
        """Handle one connection. An internal error ends this connection and no other.

        Args:
            stream: The connection.
            arrived_at: Earliest possible time of its arrival, in seconds.
            loop_passes: Number of event loop passes at the accept.
        """
        link = Link(stream)
        with self._frontend.slots.hold(link) as slot:
            try:
                end = await self._serve_or_report(link, slot, arrived_at, loop_passes)
                await self._finish(link, slot, end)
            except ConnectionBrokenError as error:
                self._record_broken_connection(slot, error)
            finally:
                link.close()

    async def _serve_or_report(
        self, link: Link, slot: ConnectionSlot, arrived_at: float, loop_passes: int
    ) -> ConnectionEnd:
        """Serve the connection; after an internal error its client still gets a final response."""
        try:
            return await self._serve(link, slot, arrived_at, loop_passes)
        except ConnectionBrokenError:
            raise
        except Exception as error:
            record_internal_error(error, self._frontend.counters, self._frontend.log)
            return ConnectionEnd(b"" if link.response_started else ERROR)

    async def _serve(self, link: Link, slot: ConnectionSlot, arrived_at: float, loop_passes: int) -> ConnectionEnd:
        """Read the first line within its time limit and serve the request."""
        try:
            open_request = await self._read_open(link, slot)
        except (InvalidOpenError, LineTooLongError) as error:
            self._frontend.counters.add("invalid_requests")
            self._frontend.log.rate_limited_event("invalid_request", reason=str(error))
            return ConnectionEnd(ERROR)
        if open_request is None:
            return self._end_without_request(link, slot)
        self._frontend.counters.add("requests_received")
        link.response_started = False  # a PONG sent before the OPEN is not a response to this request
        if reason := self._reject_reason(open_request):
            self._frontend.counters.add(reason)
            self._frontend.log.rate_limited_event(
                "request_rejected_unplaced", reason=reason, **self._connections_by_stage()
            )
            return ConnectionEnd(self._frontend.unavailable_response())
        slot.has_request = True
        if open_request.adopted_server is not None:
            return await self._adopter.run(link, slot, open_request, open_request.adopted_server)
        self._frontend.slots.activate(slot)
        lag = self._frontend.event_loop_lag
        if lag.passes > loop_passes + MAX_LOOP_PASSES_SINCE_ACCEPT:
            # The line may have arrived later than its connection: its time counts from this event loop pass.
            arrived_at = lag.earliest_arrival
        return await self._requests.run(link, open_request, arrived_at)

    async def _read_open(self, link: Link, slot: ConnectionSlot) -> OpenRequest | None:
        """Return the OPEN, or None if the connection ended or was evicted before it.

        Raises:
            ConnectionBrokenError: The connection was reset.
            InvalidOpenError: The line is invalid, not allowed now, or late.
            LineTooLongError: The line is too long.
        """
        open_request = await self._read_first_line_in_time(link, slot)
        if open_request is None:
            if slot.first_line_scope.cancelled_caught and not slot.evicted:
                raise InvalidOpenError("the first line was not complete in time")
            return None
        request_id = open_request.request.request_id
        if request_id in self._frontend.driver or request_id in self._frontend.pending_requests:
            raise InvalidOpenError("the request id is in use")  # the other request with this id continues
        if link.has_line_starting_with(COMMANDS):
            raise InvalidOpenError("the client sent another command before the response")
        return open_request

    async def _read_first_line_in_time(self, link: Link, slot: ConnectionSlot) -> OpenRequest | None:
        """Return the OPEN, or None if the time limit passed or the connection ended or was evicted before it.

        Bytes that had arrived by then are used, since the delay may have been in this process.
        """
        while True:
            with slot.first_line_scope:
                return await self._read_first_line(link)
            link.poll()
            if not (slot.evicted and link.buffered and self._frontend.slots.readmit(slot)):
                break
        with trio.CancelScope(deadline=-math.inf):  # reads only what is buffered, without waiting
            return await self._read_first_line(link)
        return None

    async def _read_first_line(self, link: Link) -> OpenRequest | None:
        """Answer PINGs until the OPEN; return None if the connection ends before it."""
        config = self._frontend.config
        pings = 0
        while (line := await link.read_line()) is not None:
            if line.strip() != b"PING":
                return parse_open(line, config.classes, config.settings.session_groups, config.tenants)
            pings += 1
            if pings > MAX_PINGS:
                raise InvalidOpenError(f"more than {MAX_PINGS} PING commands before the OPEN")
            self._frontend.counters.add("pings_received")
            await link.send(PONG)
        return None

    def _reject_reason(self, open_request: OpenRequest) -> str | None:
        """Return the counter for the reason why this process rejects the request, or None if it accepts it."""
        if not self._frontend.accepting_requests:
            return "rejected_after_shutdown_began"
        if open_request.adopted_server is None and self._frontend.slots.full:
            return "rejected_connection_slots_exhausted"
        return None

    def _end_without_request(self, link: Link, slot: ConnectionSlot) -> ConnectionEnd:
        """Record why a connection ends before its OPEN; return how it ends."""
        if not slot.evicted:
            self._record_early_end("client_closed", link)
            return ConnectionEnd()
        reason = "descriptors_exhausted" if self._frontend.accepting_requests else "shutting_down"
        self._frontend.counters.add(f"connections_evicted_{reason}")
        self._frontend.log.rate_limited_event(
            "connection_evicted", reason=reason, bytes_received=link.buffered, **self._connections_by_stage()
        )
        return ConnectionEnd(self._frontend.unavailable_response())

    def _record_broken_connection(self, slot: ConnectionSlot, error: ConnectionBrokenError) -> None:
        """Record a client connection that was reset; after its OPEN the request has its own event."""
        if slot.stage is ConnectionStage.WAITING and not slot.has_request:
            self._record_early_end("client_reset", slot.link)
        else:
            self._frontend.counters.add("responses_undelivered")
            self._frontend.log.rate_limited_event("response_undelivered", reason=str(error))

    def _record_early_end(self, reason: str, link: Link | None) -> None:
        self._frontend.counters.add(f"connections_ended_before_request_{reason}")
        self._frontend.log.rate_limited_event(
            "connection_ended_before_request", reason=reason, bytes_received=link.buffered if link else 0
        )

    def _connections_by_stage(self) -> dict[str, int]:
        """Return the number of connections in each stage, for the log."""
        return {stage.value: self._frontend.slots.count(stage) for stage in ConnectionStage}

    async def _finish(self, link: Link, slot: ConnectionSlot, end: ConnectionEnd) -> None:
        """Send the response, end sending, read until the client ends its sending, and close.

        Sending is shielded, so that the end of the process cannot cut off a response.
        """
        if end.reset:
            link.reset()
            return
        if end.response:
            deadline = trio.current_time() + RESPONSE_SEND_TIMEOUT_SECONDS
            with trio.CancelScope(shield=True, deadline=deadline):
                await link.send(end.response)
        self._frontend.slots.linger(slot)
        await link.close_lingering(slot.linger_scope)
