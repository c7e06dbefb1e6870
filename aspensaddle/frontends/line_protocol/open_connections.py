"""Open connections: relays each one and reports its end to the driver."""

from __future__ import annotations

import trio

from aspensaddle.core.events import Outcome
from aspensaddle.frontends.line_protocol.frontend_state import FrontendState
from aspensaddle.frontends.line_protocol.link import Link
from aspensaddle.frontends.line_protocol.load_report_parser import LatencySchedule, LoadReportParser
from aspensaddle.frontends.line_protocol.relay import Relay
from aspensaddle.frontends.line_protocol.request_state import RequestState
from aspensaddle.frontends.line_protocol.responses import MIGRATE, ConnectionEnd
from aspensaddle.frontends.line_protocol.server_connector import AttemptEstablished


class OpenConnections:
    """Serves connections from the UP of the server to their end."""

    def __init__(self, frontend: FrontendState) -> None:
        """Start without connections."""
        self._frontend = frontend
        self._latency_schedules: dict[int, LatencySchedule] = {}  # keys are server numbers

    async def serve(
        self, client: Link, state: RequestState, request_id: str, server: int, established: AttemptEstablished
    ) -> ConnectionEnd:
        """Relay lines until a side ends or the client is migrated; return how the client's connection ends."""
        frontend = self._frontend
        started_at = trio.current_time()
        parser = LoadReportParser(frontend.config.settings, self._latency_schedule(server), started_at)
        relay = state.relay = Relay(client, established.link, request_id, frontend.driver, frontend.counters, parser)
        frontend.open_connections[request_id] = state
        frontend.counters.add("connections_established")
        migrated = True
        try:
            if state.migration_requested or frontend.migrating_all:
                relay.stop()
            migrated = await relay.run(established.response)
        finally:
            del frontend.open_connections[request_id]
            outcome = Outcome.CONNECTION_LOST if relay.server_silent else relay.outcome
            frontend.driver.attempt_ended(request_id, outcome, finished=True)
            _close_server_link(established.link, reset=relay.reset and not migrated)
        self._report_end(relay, outcome, migrated, trio.current_time() - started_at)
        if not migrated:
            return ConnectionEnd(reset=relay.reset)
        return ConnectionEnd(MIGRATE, reset=not relay.client_at_line_end)  # a line cannot follow an incomplete one

    def _report_end(self, relay: Relay, outcome: Outcome, migrated: bool, duration: float) -> None:
        frontend = self._frontend
        frontend.counters.add("connections_migrated" if migrated else f"connections_ended_{outcome.label}")
        frontend.log.event(
            "connection_ended",
            request_id=relay.request_id,
            outcome="migrated" if migrated else outcome.label,
            load=relay.load_report_parser.load,
            duration=round(duration, 3),
        )
        if migrated:
            frontend.log.event("connection_migrated", request_id=relay.request_id, server_silent=relay.server_silent)

    def _latency_schedule(self, server: int) -> LatencySchedule:
        for departed in [
            known for known in self._latency_schedules if known not in self._frontend.endpoints.addresses
        ]:
            del self._latency_schedules[departed]
        return self._latency_schedules.setdefault(server, LatencySchedule())


def _close_server_link(link: Link, reset: bool) -> None:
    if reset:
        link.reset()
        return
    link.poll()  # closing with unread bytes would reset the connection
    link.close()
