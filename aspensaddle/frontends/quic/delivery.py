"""What an attempt has sent to its server, and what reports of undelivered datagrams prove about it. No I/O.

A server can execute a request only after it has received the whole ClientHello. So an attempt was not executed if a
part of the ClientHello did not reach the server and was not sent to it a second time. A report that a later datagram
was not delivered proves nothing of the kind: the server may have executed the request and died since.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MAX_QUOTE_BYTES = (
    512  # Linux quotes about 520 bytes of a UDP datagram in an ICMP error, other systems may quote fewer
)
MIN_QUOTE_BYTES = 64  # a shorter quote may hold no more than the header, which the datagrams of a client share
MAX_RECORDED_REPEATS = 8  # an attempt with more repeated Initials counts as possibly executed


class FailureReason(Enum):
    """Why the network did not deliver a datagram."""

    PORT_CLOSED = "port_closed"  # the host is up, and no process listens at the port
    UNREACHABLE = "unreachable"  # no route, a host that is down, or a filter


@dataclass(frozen=True, slots=True)
class DeliveryFailure:
    """The network's report that a datagram was not delivered. `quote` is the start of that datagram."""

    reason: FailureReason
    quote: bytes

    def concerns(self, datagram: bytes) -> bool:
        """Return whether the report is about this datagram, of which the start may be given.

        A report that quotes too little, or bytes that were never sent, may be forged or about an earlier use of the
        socket. It concerns no datagram.
        """
        length = min(len(self.quote), len(datagram))
        if not length or length < min(MIN_QUOTE_BYTES, len(datagram)):
            return False
        return self.quote[:length] == datagram[:length]


class DatagramRole(Enum):
    """What a client's datagram can do for the execution of its request."""

    HELLO_PART = "hello_part"  # brings a part of the ClientHello, and nothing of it that came before
    REPEAT = "repeat"  # another datagram with an Initial: with it a server may get what it lacks of the ClientHello
    ZERO_RTT = "zero_rtt"  # without an Initial; a server cannot use it before the ClientHello


class AttemptEvidence(Enum):
    """What the reports of undelivered datagrams say about an attempt."""

    NONE = "none"
    NOT_EXECUTED = "not_executed"
    SERVER_LOST = "server_lost"  # no process listens any more, and an earlier datagram may have been delivered


class SentDatagrams:
    """The datagrams that one attempt has sent to its server, as far as they matter for what was executed."""

    __slots__ = ("_hello_parts", "_part_undelivered", "_repeats", "_too_many_repeats", "count")

    def __init__(self) -> None:
        """Start with no datagram sent."""
        self.count = 0  # all datagrams
        self._hello_parts: list[bytes] = []
        self._repeats: list[bytes] = []  # those that are not known to be undelivered
        self._too_many_repeats = False
        self._part_undelivered = False

    def record(self, datagram: bytes, role: DatagramRole) -> None:
        """Record a datagram that was sent."""
        self.count += 1
        start = datagram[:MAX_QUOTE_BYTES]
        if role is DatagramRole.HELLO_PART:
            self._hello_parts.append(start)
        elif role is DatagramRole.REPEAT and len(self._repeats) < MAX_RECORDED_REPEATS:
            self._repeats.append(start)
        elif role is DatagramRole.REPEAT:
            self._too_many_repeats = True

    @property
    def has_repeats(self) -> bool:
        """Whether a repeated Initial was sent and may have been delivered."""
        return self._too_many_repeats or bool(self._repeats)

    def evidence_of(self, failure: DeliveryFailure) -> AttemptEvidence:
        """Record a report of an undelivered datagram; return what the reports so far prove."""
        if any(failure.concerns(part) for part in self._hello_parts):
            self._part_undelivered = True
        elif repeat := next((repeat for repeat in self._repeats if failure.concerns(repeat)), None):
            self._repeats.remove(repeat)
        else:
            return AttemptEvidence.NONE
        if self._part_undelivered:
            # While repeats are under way, a process that has started meanwhile may receive them.
            return AttemptEvidence.NONE if self.has_repeats else AttemptEvidence.NOT_EXECUTED
        if failure.reason is FailureReason.PORT_CLOSED:
            return AttemptEvidence.SERVER_LOST
        return AttemptEvidence.NONE
