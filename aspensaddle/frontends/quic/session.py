"""Data of a client's session and of its paths; other modules change them.

An established session is kept small: the data that only its setup needs is in `SetupState`, which is dropped when the
session is established.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from aspensaddle.core.actions import RequestAction
from aspensaddle.frontends.quic.delivery import SentDatagrams
from aspensaddle.frontends.quic.flight import Flight
from aspensaddle.frontends.quic.server_silence import UnansweredDatagrams

ClientAddress = tuple[str, int]  # host and port of a client, as the socket reports them
ServerAddress = tuple[str, int]  # host and port of a server

AMPLIFICATION_FACTOR = 3  # bytes that may be sent per byte received from an unvalidated address (RFC 9000, 8.1)
PATH_PROBE_BYTES = 1200  # size of a datagram with a PATH_CHALLENGE, and of the response to it (RFC 9000, 8.2.1)
CONFIRMING_BYTES = 128  # a path is confirmed by more bytes from its server; stateless resets have fewer
MIN_VALIDATING_ROUND_TRIPS = 3  # responses to sent datagrams after which a client's address counts as validated


@dataclass(slots=True)
class AmplificationLimit:
    """Limits the bytes sent to an address that is not validated (RFC 9000, 8.1).

    During a handshake, the address is validated by a datagram to the connection ID that the server issued: only a
    client that received it can use it. The front end cannot decrypt a PATH_RESPONSE, so a later address of a client
    counts as validated when it has sent a full-size datagram after one was sent to it, as path validation does, or
    has responded several times. A server can decrypt it and applies its own limit (RFC 9000, 9.3.1); this one takes
    effect where a server does not.
    """

    remaining_bytes: int = 0
    # The connection ID that validates the address; b"" while it is unknown; None if no connection ID does.
    validating_cid: bytes | None = None
    probe_sent: bool = False  # whether a full-size datagram was sent to the address
    sent_since_received: bool = False  # whether a datagram was sent since one was last received
    round_trips: int = 0

    def record_received(self, size: int, dcid: bytes) -> bool:
        """Record a datagram of `size` bytes to `dcid`; return whether it validates the address."""
        self.remaining_bytes += AMPLIFICATION_FACTOR * size
        if self.validating_cid is not None:
            return bool(dcid) and dcid == self.validating_cid
        self.round_trips += self.sent_since_received
        self.sent_since_received = False
        return self.round_trips >= MIN_VALIDATING_ROUND_TRIPS or (self.probe_sent and size >= PATH_PROBE_BYTES)

    def try_consume(self, size: int) -> bool:
        """Record a datagram of `size` bytes to be sent, or return False if it would exceed the limit."""
        if size > self.remaining_bytes:
            return False
        self.remaining_bytes -= size
        self.sent_since_received = True
        self.probe_sent |= size >= PATH_PROBE_BYTES
        return True


@dataclass(eq=False, slots=True)
class Path:
    """A client's address and the address of this balancer that represents it at a server.

    A client that changes its port gets a new path, so that the server sees a new address too and validates it end to
    end (RFC 9000, 9). No intermediary can do that.
    """

    session: Session
    client_address: ClientAddress
    server: int  # the server's number in the endpoint registry
    server_address: ServerAddress
    slot: int  # the local socket that represents the client at the server
    last_used_at: float  # time of the latest datagram in either direction, in seconds of the context's clock
    dcid: bytes = b""  # the latest routable connection ID that the client used on it
    last_datagram_bytes: int = 0  # size of the client's latest datagram
    last_datagram_start: bytes = b""  # its start, to recognize a report that it was not delivered
    # None when the client's address is validated
    amplification_limit: AmplificationLimit | None = field(default_factory=AmplificationLimit)
    opened_at: float = 0.0  # in seconds of the context's clock
    bytes_from_client: int = 0
    bytes_from_server: int = 0
    bytes_to_client: int = 0  # those of the server that were passed on
    is_confirmed: bool = False  # whether the server has sent enough to show that it has the session at this address
    unanswered: UnansweredDatagrams = field(default_factory=UnansweredDatagrams)


class SetupStage(Enum):
    """The stage of a session's setup."""

    CLIENT_HELLO_INCOMPLETE = "hello"
    AWAITING_DECISION = "asked"  # the balancer has the request, and no attempt is in progress
    ATTEMPTING = "trying"


@dataclass(eq=False, slots=True)
class SetupState:
    """The data that a session needs until it is established."""

    flight: Flight
    version: int
    dcid: bytes  # the connection ID that the client's Initials go to; their keys derive from it
    scid: bytes
    started_at: float
    original_dcid: bytes  # the connection ID that the client chose first
    client_address: ClientAddress
    amplification_limit: AmplificationLimit | None = None  # None if a token has validated the address
    stage: SetupStage = SetupStage.CLIENT_HELLO_INCOMPLETE
    class_index: int = 0
    path: Path | None = None  # the path of the attempt in progress
    bound_to_server: bool = False  # whether a server sent a Retry or Version Negotiation, so no other can continue
    early_replies: list[bytes] = field(default_factory=list)  # server datagrams held until one is authenticated
    attempts: int = 0
    attempt_started_at: float = 0.0  # of the latest attempt, in seconds of the context's clock
    sent: SentDatagrams = field(default_factory=SentDatagrams)  # what the latest attempt has sent
    timer_id: int = 0  # the timer in force; others that were started before it are ignored


@dataclass(eq=False, slots=True)
class Session:
    """A client's session from its first datagram on. Handles its request's actions for the driver."""

    id: str
    pending_actions: list[tuple[Session, RequestAction]]  # shared by all sessions, in the order of the decisions
    server: int = -1  # the server's number in the endpoint registry, set when the session is established
    setup: SetupState | None = None
    path: Path | None = None  # the path that the client used last
    other_paths: list[Path] | None = None  # earlier paths, oldest first
    confirmed_address: ClientAddress | None = None  # the client's address on the path that was confirmed last
    cids: tuple[bytes, ...] = ()  # the latest connection IDs that the server issued, oldest first
    last_active_at: float = 0.0
    last_client_datagram_at: float | None = None
    last_server_datagram_at: float | None = None
    server_has_replied: bool = False  # since this process established or adopted the session
    # When the client stops waiting for its handshake, in seconds of the context's clock; 0 once it is complete.
    handshake_deadline: float = 0.0
    migrating: bool = False
    routed_by_address: bool = False  # whether the client's address identifies it too, as its CIDs are not routable
    ended: bool = False

    def handle_action(self, action: RequestAction) -> None:
        """Queue an action that the balancer decided for the session's request."""
        self.pending_actions.append((self, action))

    def client_is_connected(self) -> bool:
        """Return True: with datagrams, a client that left cannot be distinguished from a silent one."""
        return True

    def all_paths(self) -> list[Path]:
        """Return the session's paths, the one in use first."""
        found = [] if self.path is None else [self.path]
        return found + (self.other_paths or [])
