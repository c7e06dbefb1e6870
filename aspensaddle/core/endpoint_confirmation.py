"""Endpoint confirmation: whether the state of a server is known recently enough for an attempt.

A balancer that cannot refresh its endpoint list does not learn that a server drains. Even so, the balancer is treated
as notified some seconds after the discovery service had the change. The state of a server is confirmed by a current
list and, since a draining server takes no new connections, by each attempt that it accepts.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping

from aspensaddle.core.server_state import Server

MAX_STALENESS_SECONDS = 6.0  # PROTOCOL: a change counts as known this long after a reachable service has it
# Part of the drain grace that is not used: up to 0.15 s pass between reading the clock and the write (STANDING), and
# the last confirmation takes some time to arrive.
DRAIN_GRACE_MARGIN_SECONDS = 0.5


class EndpointConfirmation:
    """Keeps the time at which the list was last known to be current. Times are seconds of the balancer's clock."""

    def __init__(self) -> None:
        """Start without a confirmation of the list; until the first one, every server counts as confirmed."""
        self._list_confirmed_at: float | None = None
        self._accepted_at = OrderedDict[int, float]()  # of the servers that accepted an attempt lately, by number

    def confirm_list(self, now: float) -> None:
        """Record that the list was current at `now`, or that the discovery service was unreachable then."""
        self._list_confirmed_at = now

    def attempt_accepted(self, now: float, server: Server, drain_grace: float) -> None:
        """Record that a server accepted an attempt, whose start is in `server.accepted_at`."""
        self._accepted_at[server.id] = server.accepted_at
        self._accepted_at.move_to_end(server.id)
        while self._accepted_at and now >= _expires_at(next(iter(self._accepted_at.values())), drain_grace):
            self._accepted_at.popitem(last=False)

    def is_list_confirmed(self, now: float, drain_grace: float) -> bool:
        """Return whether the list confirms the state of every server."""
        confirmed_at = self._list_confirmed_at
        return confirmed_at is None or now < _expires_at(confirmed_at, drain_grace)

    def is_confirmed(self, now: float, server: Server, drain_grace: float) -> bool:
        """Return whether an attempt would be within the drain grace even if the server began to drain unnoticed."""
        return self.is_list_confirmed(now, drain_grace) or now < _expires_at(server.accepted_at, drain_grace)

    def confirmed_by_attempts(self, now: float, servers: Mapping[int, Server], drain_grace: float) -> list[Server]:
        """Return those of `servers` that are confirmed by an attempt, which in a large fleet few are.

        Costs O(n) for the n servers that accepted an attempt lately.
        """
        accepting = (servers[number] for number in self._accepted_at if number in servers)
        return [server for server in accepting if now < _expires_at(server.accepted_at, drain_grace)]


def _expires_at(confirmed_at: float, drain_grace: float) -> float:
    return confirmed_at + MAX_STALENESS_SECONDS + max(0.0, drain_grace - DRAIN_GRACE_MARGIN_SECONDS)
