"""When the silence of a server shows that it is lost. No I/O and no clock.

A datagram of a client without a reply shows nothing by itself. It may be an acknowledgment, or the client may have
moved on to another balancer, through which the server replies now. So a server counts as lost only if a client goes
on sending on a path on which the server has replied before, as one does that repeats what is not acknowledged, and if
the server meanwhile sends nothing at all, to no session of this balancer.
"""

from __future__ import annotations

import math
from collections.abc import Container
from dataclasses import dataclass

SILENCE_SECONDS = 4.5  # time for which the client has gone on sending
REPLY_SECONDS = 1.0  # time that a server has to reply to the latest datagram
MIN_UNANSWERED_DATAGRAMS = 3
# The longest pause after the first datagram. Later ones may be longer by the time for which the client has been
# sending, as a QUIC client doubles the time between its probes (RFC 9002, 6.2). After a longer pause, the client may
# have been elsewhere.
MAX_FIRST_PAUSE_SECONDS = 2.0


@dataclass(slots=True)
class UnansweredDatagrams:
    """The datagrams that a client has sent on one path, without a long pause, since its server last sent anything.

    Times are in seconds. `server_heard_at` is when the server last sent a datagram to any session; minus infinity if
    it never did.
    """

    count: int = 0
    first_at: float = 0.0
    last_at: float = 0.0

    def record(self, now: float, server_heard_at: float) -> None:
        """Record a datagram of the client."""
        max_pause = MAX_FIRST_PAUSE_SECONDS + self.last_at - self.first_at
        if not self.count or self._are_answered(server_heard_at) or now - self.last_at > max_pause:
            self.count, self.first_at = 0, now
        self.count += 1
        self.last_at = now

    def show_a_lost_server(self, now: float, server_heard_at: float) -> bool:
        """Return whether the server is lost, if it has replied on this path before."""
        if self.count < MIN_UNANSWERED_DATAGRAMS or self._are_answered(server_heard_at):
            return False
        return min(self.last_at, now - REPLY_SECONDS) - self.first_at > SILENCE_SECONDS

    def _are_answered(self, server_heard_at: float) -> bool:
        return server_heard_at >= self.first_at


class ServerActivity:
    """When each server last sent a datagram, to whichever session. Servers are given by number, times in seconds."""

    def __init__(self) -> None:
        """Start without a datagram."""
        self._last_heard_at: dict[int, float] = {}

    def record(self, server: int, now: float) -> None:
        """Record a datagram from a server."""
        self._last_heard_at[server] = now

    def last_heard_at(self, server: int) -> float:
        """Return the time of a server's latest datagram; minus infinity if there was none."""
        return self._last_heard_at.get(server, -math.inf)

    def forget_all_except(self, servers: Container[int]) -> None:
        """Forget the servers that are not in the endpoint list."""
        for server in [known for known in self._last_heard_at if known not in servers]:
            del self._last_heard_at[server]
