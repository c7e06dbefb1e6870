"""Endpoint confirmation: whether the state of a server is known recently enough for an attempt.

A balancer that cannot refresh its endpoint list does not learn that a server drains. Even so, the balancer is treated
as notified some seconds after the discovery service had the change. The state of a server is confirmed by a current
list and, since a draining server takes no new connections, by each attempt that it accepts.
"""

from __future__ import annotations

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

    def confirm_list(self, now: float) -> None:
        """Record that the list was current at `now`, or that the discovery service was unreachable then."""
        self._list_confirmed_at = now

    def is_confirmed(self, now: float, server: Server, drain_grace: float) -> bool:
        """Return whether an attempt would be within the drain grace even if the server began to drain unnoticed."""
        if self._list_confirmed_at is None:
            return True
        confirmed_at = max(self._list_confirmed_at, server.accepted_at)
        return now < confirmed_at + MAX_STALENESS_SECONDS + max(0.0, drain_grace - DRAIN_GRACE_MARGIN_SECONDS)
