"""How many bytes may be sent to a client's address that is not known to be the client's. No I/O, no clock.

A balancer cannot decrypt a PATH_RESPONSE, so that only a handshake proves an address to it. An address that a client
moved to is limited by its replies instead: datagrams that arrive after one was sent there. Somebody who sends from
a forged address gets no replies of his own, and what he can draw there is bounded; a client replies to each few
datagrams, by its acknowledgments, and is not slowed down.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

AMPLIFICATION_FACTOR = 3  # bytes that may be sent per byte received from an unvalidated address (RFC 9000, 8.1)
MIN_RECEIVED_BYTES = 1200  # an address that has sent less counts as if it had sent a full-size datagram
FIRST_REPLY_WINDOW_BYTES = 4 * 14_720  # four initial congestion windows (RFC 9002, 7.2)
WINDOW_GROWTH = 4  # by which each further reply multiplies the window
MAX_WINDOW_BYTES = 1 << 20
MAX_COUNTED_REPLIES = 4  # after these, the window is at its maximum
PROBE_BYTES = AMPLIFICATION_FACTOR * MIN_RECEIVED_BYTES  # by which the window grows after a pause without a reply
FIRST_PROBE_SECONDS = 0.1  # the first such pause; each later one is twice as long


class AddressLimit(Protocol):
    """Limits the bytes that are sent to a client's address."""

    @property
    def replies(self) -> int:
        """How many datagrams of the address followed one that was sent to it."""

    def record_received(self, size: int, dcid: bytes) -> bool:
        """Record a datagram of `size` bytes to `dcid` from the address; return whether it validates the address."""

    def try_consume(self, size: int, now: float) -> bool:
        """Record a datagram of `size` bytes that is sent at `now`, in seconds; return False if it may not be sent."""


@dataclass(slots=True)
class HandshakeLimit:
    """Limits the bytes sent to the address of a client that has not completed its handshake (RFC 9000, 8.1).

    The address is validated by a datagram to the connection ID that the server issued: only a client that received
    it can use it.
    """

    remaining_bytes: int = 0
    validating_cid: bytes = b""  # empty while it is unknown
    replies: int = 0
    _sent_since_received: bool = False

    def record_received(self, size: int, dcid: bytes) -> bool:
        """Record a datagram of `size` bytes to `dcid`; return whether it validates the address."""
        self.remaining_bytes += AMPLIFICATION_FACTOR * size
        self.replies += self._sent_since_received
        self._sent_since_received = False
        return bool(dcid) and dcid == self.validating_cid

    def try_consume(self, size: int, now: float) -> bool:
        """Record a datagram of `size` bytes to be sent, or return False if it would exceed the limit."""
        if size > self.remaining_bytes:
            return False
        self.remaining_bytes -= size
        self._sent_since_received = True
        return True


@dataclass(slots=True)
class ReplyLimit:
    """Limits the bytes sent to an address since its latest datagram; each reply widens the limit.

    Before the first reply, an address gets three times what it sent, or three full-size datagrams. So a server that
    validates the path can do so, and one that has validated it before, or never does, reaches a client that then
    replies. If those datagrams are lost, a few more are sent after pauses that double, as in a probe timeout (RFC
    9002, 6.2).
    """

    received_bytes: int = 0
    unanswered_bytes: int = 0  # sent since a datagram of the address last arrived
    replies: int = 0
    _probe_bytes: int = 0
    _next_probe_at: float | None = None  # None while nothing has exceeded the limit
    _probe_pause: float = FIRST_PROBE_SECONDS

    @property
    def window_bytes(self) -> int:
        """How many bytes may be sent until the next reply, without probes."""
        if not self.replies:
            return AMPLIFICATION_FACTOR * max(self.received_bytes, MIN_RECEIVED_BYTES)
        growth: int = WINDOW_GROWTH ** (min(self.replies, MAX_COUNTED_REPLIES) - 1)
        return min(growth * FIRST_REPLY_WINDOW_BYTES, MAX_WINDOW_BYTES)

    def record_received(self, size: int, dcid: bytes) -> bool:
        """Record a datagram of the address. Return False: no datagram proves that the address is the client's."""
        self.received_bytes += size
        if self.unanswered_bytes:
            self.replies += 1
            self.unanswered_bytes = self._probe_bytes = 0
            self._next_probe_at, self._probe_pause = None, FIRST_PROBE_SECONDS
        return False

    def try_consume(self, size: int, now: float) -> bool:
        """Record a datagram of `size` bytes that is sent at `now`, in seconds; return False if it may not be sent."""
        if not self._has_room(size):
            self._probe(now)
            if not self._has_room(size):
                return False
        self.unanswered_bytes += size
        return True

    def _has_room(self, size: int) -> bool:
        """Return whether a datagram is within the limit. One of any size always is after a reply."""
        return not self.unanswered_bytes or self.unanswered_bytes + size <= self.window_bytes + self._probe_bytes

    def _probe(self, now: float) -> None:
        """Widen the limit a little if no reply has come for the pause."""
        if self._next_probe_at is None:
            self._next_probe_at = now + self._probe_pause
        elif now >= self._next_probe_at:
            self._probe_bytes += PROBE_BYTES
            self._probe_pause *= 2
            self._next_probe_at = now + self._probe_pause
