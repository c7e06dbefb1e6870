"""Graceful shutdown after SIGTERM, in phases whose times are computed from the settings (`docs/shutdown.md`).

Requests in flight are completed, connections are migrated, the accept queue is drained, then everything is closed.
A request that is not complete by the end of its phase gets a response; no connection is closed without one.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from aspensaddle.core.settings import Settings
from aspensaddle.frontends.line_protocol.connection_slots import ConnectionStage
from aspensaddle.frontends.line_protocol.frontend import LineProtocolFrontend
from aspensaddle.support.sockets import Listener

if TYPE_CHECKING:  # imported only where an operator's file enables it
    from aspensaddle.frontends.quic.frontend import QuicFrontend

# The platform kills the process no earlier than the longest deadline, or this limit if the deadline is longer, plus a
# margin (operators' page PROTOCOL, "Figures").
MAX_DEADLINE_SECONDS = 3.0
KILL_MARGIN_SECONDS = 0.7
NEW_CONNECTIONS_SECONDS = 0.4  # new connections keep arriving for this long after SIGTERM

SLACK_SECONDS = 0.05  # margin after the last new connection, and for the process to exit before it is killed
LINGER_SECONDS = 0.25  # time for clients to read their last response
MIGRATION_SPREAD_SECONDS = 0.6  # migrated clients reconnect at once, so their migration is spread over this time
POLL_INTERVAL_SECONDS = 0.02  # pause between two checks of what is left to do


@dataclass(frozen=True, slots=True)
class ShutdownPhases:
    """Times of the shutdown, in seconds after SIGTERM. New requests are rejected from SIGTERM on.

    Attributes:
        migration_start: When the migration of established connections begins.
        answer_deadline: When every accepted request has a response and every established connection is migrated.
        drain_deadline: When the accept queue is drained.
        close_deadline: When the remaining connections are closed without waiting for their clients.
    """

    migration_start: float
    answer_deadline: float
    drain_deadline: float
    close_deadline: float

    @classmethod
    def from_settings(cls, settings: Settings, event_loop_lag: float) -> ShutdownPhases:
        """Compute the phases.

        Args:
            settings: The settings in force, for their longest deadline.
            event_loop_lag: Recent event-loop lag in seconds, by which each step of the shutdown may be delayed.
        """
        longest_deadline = max(request_class.deadline for request_class in settings.classes)
        kill_time = min(MAX_DEADLINE_SECONDS, longest_deadline) + KILL_MARGIN_SECONDS
        close_deadline = max(kill_time / 2, kill_time - SLACK_SECONDS - min(event_loop_lag, kill_time / 4))
        answer_deadline = close_deadline - min(LINGER_SECONDS, kill_time / 4)
        migration_start = min(NEW_CONNECTIONS_SECONDS + SLACK_SECONDS, answer_deadline / 2)
        drain_deadline = (answer_deadline + close_deadline) / 2
        return cls(migration_start, answer_deadline, drain_deadline, close_deadline)


class GracefulShutdown:
    """Runs the phases in order; each ends early if nothing is left to do in it."""

    def __init__(
        self,
        frontend: LineProtocolFrontend,
        quic: QuicFrontend | None,
        listener: Listener,
        phases: ShutdownPhases,
        nursery: trio.Nursery,
    ) -> None:
        self._frontend = frontend
        self._quic = quic
        self._listener = listener
        self._phases = phases
        self._nursery = nursery
        self._start = 0.0

    async def run(self) -> None:
        """Shut the front ends down, with the phases counted from now."""
        self._start = trio.current_time()
        await self._reject_new_requests()
        await self._migrate_connections()
        self._finish_remaining_work()
        await self._drain_accept_queue()
        self._listener.close()
        await self._close_connections()

    def _time_left(self, phase_end: float) -> float:
        return self._start + phase_end - trio.current_time()

    async def _sleep_until(self, phase_end: float, at_most: float = float("inf")) -> None:
        await trio.sleep(min(at_most, max(0.0, self._time_left(phase_end))))

    async def _reject_new_requests(self) -> None:
        """Reject new requests. Accepted ones continue; no attempt starts too late for its response."""
        self._frontend.accepting_requests = False
        if self._quic is not None:
            self._quic.shutting_down = True
        self._frontend.driver.stop_attempts_after(self._time_left(self._phases.answer_deadline))
        await self._sleep_until(self._phases.migration_start)

    async def _migrate_connections(self) -> None:
        """Migrate established connections, spread evenly; those established from now on migrate at once."""
        self._frontend.migrating_all = True
        started_at = trio.current_time()
        time_left = self._time_left(self._phases.answer_deadline)
        span = max(POLL_INTERVAL_SECONDS, min(MIGRATION_SPREAD_SECONDS, time_left - 2 * POLL_INTERVAL_SECONDS))
        connections = list(self._frontend.open_connections.values())
        migrated = 0
        while self._has_unfinished_work() and self._time_left(self._phases.answer_deadline) > 0:
            progress = (trio.current_time() - started_at) / span
            due = min(len(connections), 1 + int(len(connections) * progress))
            for connection in connections[migrated:due]:
                connection.migrate()
            migrated = due
            await self._sleep_until(self._phases.answer_deadline, at_most=POLL_INTERVAL_SECONDS)

    def _has_unfinished_work(self) -> bool:
        return bool(self._frontend.unfinished_connections or self._has_unfinished_quic_requests())

    def _has_unfinished_quic_requests(self) -> bool:
        return self._quic is not None and self._quic.unfinished_requests > 0

    def _finish_remaining_work(self) -> None:
        """Migrate the remaining connections and send a response to the remaining requests, all at once."""
        for connection in list(self._frontend.open_connections.values()):
            connection.migrate()
        self._frontend.reject_pending_requests()
        if self._quic is not None:
            self._quic.reject_pending_requests()
        self._frontend.slots.evict_all_waiting()

    async def _drain_accept_queue(self) -> None:
        """Accept the connections that the kernel has queued, so that they get a response like all others."""
        while True:
            before = self._frontend.counters["connections"]
            has_room = self._frontend.accept(self._listener, self._nursery)
            is_empty = has_room and self._frontend.counters["connections"] == before
            if is_empty or self._time_left(self._phases.drain_deadline) <= 0:
                return
            await trio.sleep(0 if has_room else POLL_INTERVAL_SECONDS)

    async def _close_connections(self) -> None:
        """Let clients read their response, then abort lingering closes and wait for their tasks to end."""
        slots = self._frontend.slots
        while (slots.open or self._has_unfinished_quic_requests()) and self._time_left(
            self._phases.close_deadline
        ) > 0:
            await self._sleep_until(self._phases.close_deadline, at_most=POLL_INTERVAL_SECONDS)
        slots.abort_all_lingering()
        while slots.count(ConnectionStage.LINGERING):
            await trio.sleep(0)


async def shut_down(
    frontend: LineProtocolFrontend,
    listener: Listener,
    phases: ShutdownPhases,
    nursery: trio.Nursery,
    quic: QuicFrontend | None = None,
) -> None:
    """Shut the front ends down, with the phases counted from now.

    Args:
        frontend: The line protocol front end.
        listener: Its listener.
        phases: The times of the shutdown.
        nursery: Serves connections that are accepted meanwhile.
        quic: The QUIC front end, if there is one.
    """
    await GracefulShutdown(frontend, quic, listener, phases, nursery).run()
