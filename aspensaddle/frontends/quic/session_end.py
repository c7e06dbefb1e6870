"""How established sessions end, and which later datagrams of their clients get another stateless reset.

A stateless reset ends the session at the client, and it discloses the token of a connection ID, with which anybody
can end that session (RFC 9000, 21.11). So one is sent only where the session is known to be over, and not because
datagrams to a connection ID, which may be forged, are not answered.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from aspensaddle.core.events import Outcome
from aspensaddle.frontends.quic.session import ClientAddress


class ResetScope(Enum):
    """The paths on which a client is sent a stateless reset, so that it reconnects at once."""

    NONE = "none"
    CONFIRMED_PATHS = "confirmed"  # those on which the server has sent enough for the client's address to be real
    ALL_PATHS = "all"


@dataclass(frozen=True, slots=True)
class SessionEnd:
    """How an established session ended. `reason` is logged."""

    outcome: Outcome
    reset_scope: ResetScope
    reason: str


SERVER_GONE = SessionEnd(Outcome.CONNECTION_LOST, ResetScope.ALL_PATHS, "server left the endpoint list")
SERVER_SILENT = SessionEnd(Outcome.CONNECTION_LOST, ResetScope.CONFIRMED_PATHS, "server silent")
SERVER_UNREACHABLE = SessionEnd(Outcome.CONNECTION_LOST, ResetScope.ALL_PATHS, "server unreachable")
# The address may be that of an endpoint list from before the server's restart.
UNREACHABLE_AND_UNCONFIRMED = SessionEnd(
    Outcome.CANCELLED, ResetScope.NONE, "server unreachable before it confirmed the session"
)
IDLE_TIMEOUT = SessionEnd(Outcome.OK, ResetScope.NONE, "idle")  # the regular end of a connection cannot be seen
MIGRATED = SessionEnd(Outcome.CANCELLED, ResetScope.CONFIRMED_PATHS, "moved")
EVICTED_IDLE = SessionEnd(Outcome.CANCELLED, ResetScope.NONE, "evicted from a full table while idle")
EVICTED = SessionEnd(Outcome.CANCELLED, ResetScope.NONE, "evicted before its server confirmed it")


@dataclass(frozen=True, slots=True)
class RememberedReset:
    """A reset that was sent for a connection ID, and from where a datagram to it gets another one.

    `addresses` are those of the client for which the server was lost: a client that comes from another one may have
    been answered elsewhere since. None for any address, where the balancer decided that the session ends.
    """

    addresses: frozenset[ClientAddress] | None

    def applies_to(self, client_address: ClientAddress) -> bool:
        """Return whether a datagram from this address gets another reset."""
        return self.addresses is None or client_address in self.addresses
