"""Data of a client's session and of its paths; other modules change them.

An established session is kept small: the data that only its setup needs is in `SetupState`, which is dropped when the
session is established.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

from aspensaddle.core.actions import RequestAction
from aspensaddle.frontends.quic.address_limits import AddressLimit, HandshakeLimit, ReplyLimit
from aspensaddle.frontends.quic.client_cids import ClientConnectionId
from aspensaddle.frontends.quic.delivery import MIN_QUOTE_BYTES, SentDatagrams
from aspensaddle.frontends.quic.flight import Flight
from aspensaddle.frontends.quic.server_silence import UnansweredDatagrams

ClientAddress = tuple[str, int]  # host and port of a client, as the socket reports them
ServerAddress = tuple[str, int]  # host and port of a server

CONFIRMING_BYTES = 128  # a path is confirmed by more bytes from its server; stateless resets have fewer


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
    # None if the handshake validated the client's address
    address_limit: AddressLimit | None = field(default_factory=ReplyLimit)
    opened_at: float = 0.0  # in seconds of the context's clock
    # Times of the latest datagrams, in the same seconds
    last_server_datagram_at: float = -math.inf
    last_client_datagram_at: float = -math.inf
    bytes_from_client: int = 0
    bytes_from_server: int = 0
    bytes_to_client: int = 0  # those of the server that were passed on
    is_confirmed: bool = False  # whether the server has sent enough to show that it has the session at this address
    client_cid: ClientConnectionId = field(default_factory=ClientConnectionId)
    unanswered: UnansweredDatagrams = field(default_factory=UnansweredDatagrams)

    def record_client_datagram(self, data: bytes, dcid: bytes, now: float) -> None:
        """Record a datagram of the client to a routable connection ID, or to none, at `now` in seconds."""
        self.last_used_at = self.last_client_datagram_at = now
        self.bytes_from_client += len(data)
        self.last_datagram_bytes = len(data)
        self.last_datagram_start = data[:MIN_QUOTE_BYTES]
        if not dcid or dcid == self.dcid:
            return
        if self.dcid:
            self.client_cid.forget()  # the server changes the client's, too (RFC 9000, 9.5)
        self.dcid = dcid


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
    address_limit: HandshakeLimit | None = None  # None if a token has validated the address
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

    def expected_client_cid(self) -> ClientConnectionId:
        """Return the connection ID that a server probably uses for the client on a new path."""
        if self.setup is not None:
            return ClientConnectionId.of(self.setup.scid)
        # The server changes it if the client changes its own, too (RFC 9000, 9.5); then it is learned.
        return ClientConnectionId() if self.path is None else ClientConnectionId(self.path.client_cid.known_prefix)

    def all_paths(self) -> list[Path]:
        """Return the session's paths, the one in use first."""
        found = [] if self.path is None else [self.path]
        return found + (self.other_paths or [])


def least_useful_path(paths: list[Path]) -> Path:
    """Return the path to close for a new one, of some that a session's client has left.

    It is one on which the server never sent anything, the latest of these, as somebody else may have opened it; or
    else the one on which the server has been silent for longest.
    """
    return min(paths, key=lambda path: (path.last_server_datagram_at, -path.opened_at))
