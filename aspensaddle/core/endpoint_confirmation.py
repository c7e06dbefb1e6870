"""Endpoint confirmation: whether the state of a server is known recently enough for an attempt.

A balancer that cannot refresh its endpoint list does not learn that a server drains, and yet counts as notified some
seconds after the discovery service had the change. A server is confirmed by the list and, since a draining server
takes no new connections, by each attempt that it accepts.
"""

from __future__ import annotations

from aspensaddle.core.server_state import Server

MAX_STALENESS_SECONDS = 6.0  # PROTOCOL: a change counts as known this long after a reachable service has it
# Of the drain grace: up to 0.15 s between the clock and the write (STANDING), and the way of the last confirmation.
MARGIN_SECONDS = 0.5


class EndpointConfirmation:
    """Keeps when the list was last known to be current. All times are seconds of the balancer's clock."""

    def __init__(self) -> None:
        """Start without a list that has to be confirmed: until the first confirmation every server is."""
        self._list_confirmed_at: float | None = None

    def confirm_list(self, now: float) -> None:
        """Note that the list was current at `now`, or could not be learned since the service was unreachable."""
        self._list_confirmed_at = now

    def is_confirmed(self, now: float, server: Server, drain_grace: float) -> bool:
        """Return whether an attempt at a server that began to drain unnoticed would still be within its grace."""
        if self._list_confirmed_at is None:
            return True
        confirmed_at = max(self._list_confirmed_at, server.accepted_at)
        return now < confirmed_at + MAX_STALENESS_SECONDS + max(0.0, drain_grace - MARGIN_SECONDS)
