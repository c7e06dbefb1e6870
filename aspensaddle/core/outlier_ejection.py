"""Outlier ejection: servers that fail get no attempts for a time, which doubles with each further failure.

A server is ejected when it cannot be reached, or after two failures in a row; timeouts do not count. When the time is
over, the server gets one attempt (half-open). A server that drops connections as soon as they are established is
readmitted only after a connection has held for `HOLD_SECONDS`.
"""

from __future__ import annotations

from aspensaddle.core.balancer_state import BalancerState
from aspensaddle.core.events import Outcome
from aspensaddle.core.request_state import RequestState
from aspensaddle.core.server_state import Server
from aspensaddle.core.weighted_rotation import WeightedRotation

FIRST_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 16.0
MAX_BACKOFF_DOUBLINGS = 10  # bounds the power of two; the maximum is reached with fewer
EJECTION_JITTER = (0.75, 1.25)  # range of a random factor, so that balancers do not all retry a server at once
HOLD_SECONDS = 2.0  # a connection lost before this age counts as dropped as soon as it was established
AVOIDANCE_SECONDS = 15.0  # time to recover for a server that lost a connection during a capacity shortage
LOST_CONNECTIONS_DECAY = 0.9  # factor per tick

# Outcomes that do not count as failures of the server.
NEUTRAL_OUTCOMES = (Outcome.OK, Outcome.NOT_SENT, Outcome.CANCELLED)


class OutlierEjection:
    """Counts failures in a row, ejects servers and readmits them."""

    def __init__(self, state: BalancerState, rotation: WeightedRotation) -> None:
        """Eject servers from `rotation`."""
        self._state = state
        self._rotation = rotation

    def attempt_started(self, now: float, server: Server, time_left: float) -> None:
        """Allow a half-open server no further attempts until this one is accepted or its time is over."""
        if server.ejected_until:
            server.ejected_until = max(server.ejected_until, now + time_left)
            self._rotation.update_server(now, server)

    def attempt_accepted(self, now: float, server: Server) -> None:
        """Readmit a server that accepted an attempt, but one that drops connections only after this one has held."""
        if not (server.drops_connections or server.consecutive_failures):
            return
        if server.drops_connections:
            server.ejected_until = now + HOLD_SECONDS
        else:
            server.consecutive_failures = 0
            server.ejected_until = 0.0
        self._rotation.update_server(now, server)

    def attempt_failed(self, now: float, request: RequestState, server: Server, outcome: Outcome) -> None:
        """Count a failed attempt or a lost connection, and eject the server if that is due.

        A timeout does not count as a failure: its cause may be a service that the server depends on.
        """
        lost = request.is_established and outcome is Outcome.CONNECTION_LOST
        if lost:
            self._state.lost_connections += server.is_ready
            server.avoided_until = now + (AVOIDANCE_SECONDS if self._state.shortage.missing_fraction > 0 else 0.0)
        failed = not request.is_established and outcome is not Outcome.TIMED_OUT
        if lost and now < request.established_at + HOLD_SECONDS:
            # Without load the server would always be next in the rotation, and its clients would return to it.
            failed = True
            server.drops_connections = True
            server.connection_dropped_at = now
        server.consecutive_failures += failed
        if failed and (outcome is Outcome.UNREACHABLE or server.consecutive_failures > 1):
            self._eject(now, server)

    def _eject(self, now: float, server: Server) -> None:
        """Eject a server for a time that doubles with its failures in a row."""
        doublings = min(server.consecutive_failures - 1, MAX_BACKOFF_DOUBLINGS)
        ejection = min(MAX_EJECTION_SECONDS, FIRST_EJECTION_SECONDS * 2**doublings)
        server.ejected_until = now + ejection * self._state.random.uniform(*EJECTION_JITTER)
        self._rotation.update_server(now, server)

    def readmit_recovered(self, now: float) -> None:
        """Readmit the servers whose new connections hold again; called once a tick."""
        for server in self._state.servers.values():
            if server.drops_connections and self._has_held_connection(now, server):
                server.drops_connections = False
                server.consecutive_failures = 0
                server.ejected_until = 0.0

    @staticmethod
    def _has_held_connection(now: float, server: Server) -> bool:
        """Return whether any connection established after the last drop has held for `HOLD_SECONDS`."""
        return any(
            now >= request.established_at + HOLD_SECONDS
            for request in server.connections.values()
            if request.established_at > server.connection_dropped_at
        )

    def decay_lost_connections(self) -> None:
        """Reduce the count of lost connections; called once a tick."""
        self._state.lost_connections *= LOST_CONNECTIONS_DECAY
