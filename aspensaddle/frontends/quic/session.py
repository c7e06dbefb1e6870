"""A client's session and the paths that it has. Values only: who moves them stands in the modules beside.

A session is kept small: what only its placement needs is in `SetupState`, which goes once it stands.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from aspensaddle.core.actions import RequestAction
from aspensaddle.core.events import Outcome
from aspensaddle.frontends.quic.flight import Flight

ClientAddress = tuple[str, int]  # an address of a client, as the socket tells it
ServerAddress = tuple[str, int]  # an address of a runner

AMPLIFICATION_FACTOR = 3  # octets sent for each that came, before an address is proven (RFC 9000, 8.1)
PATH_PROBE_BYTES = 1200  # octets of a datagram that probes a path, and of its reply (RFC 9000, 8.2.1)
MIN_VALIDATING_ROUND_TRIPS = 3  # times that a client has replied to what it was sent


@dataclass(slots=True)
class AmplificationLimit:
    """How much may be sent to an address that is not proven (RFC 9000, 8.1).

    In a handshake the proof is the id that the runner gave, which comes back from nowhere else. The front can't
    read a PATH_RESPONSE, so a client's later address counts as proven when it has sent a whole datagram after it
    was sent one, as path validation does, or has replied several times. The runner, which can, keeps its own
    limit (RFC 9000, 9.3.1); this one binds where a runner does not.
    """

    remaining_bytes: int = 0
    validating_cid: bytes | None = None  # the id that proves it; b"" while it is not known; None: no id does
    probe_sent: bool = False  # a whole datagram was sent to it
    sent_since_received: bool = False  # something was sent since it was last heard
    round_trips: int = 0

    def record_received(self, size: int, dcid: bytes) -> bool:
        """Note what came from the address, to an id; whether it is proven by that."""
        self.remaining_bytes += AMPLIFICATION_FACTOR * size
        if self.validating_cid is not None:
            return bool(dcid) and dcid == self.validating_cid
        self.round_trips += self.sent_since_received
        self.sent_since_received = False
        return self.round_trips >= MIN_VALIDATING_ROUND_TRIPS or (self.probe_sent and size >= PATH_PROBE_BYTES)

    def try_consume(self, size: int) -> bool:
        """Whether so much may be sent to it."""
        if size > self.remaining_bytes:
            return False
        self.remaining_bytes -= size
        self.sent_since_received = True
        self.probe_sent |= size >= PATH_PROBE_BYTES
        return True


@dataclass(eq=False, slots=True)
class Path:
    """One address of a client, seen by one runner as an address of its own. A client that changes its port gets a
    new path, and the runner validates it end to end (RFC 9000, 9): nobody on the way could.
    """

    session: Session
    client_address: ClientAddress
    server: int
    server_address: ServerAddress  # its address
    slot: int
    last_used_at: float  # when something last passed
    dcid: bytes = b""  # the latest routable id on it
    last_datagram_bytes: int = 0  # of the client's latest datagram
    amplification_limit: AmplificationLimit | None = field(
        default_factory=AmplificationLimit
    )  # None once its address is proven


class SetupStage(Enum):
    """Where a session's placement is."""

    CLIENT_HELLO_INCOMPLETE = "hello"  # its ClientHello is not whole
    AWAITING_DECISION = "asked"  # the module has its request
    ATTEMPTING = "trying"  # an attempt is out


@dataclass(eq=False, slots=True)
class SetupState:
    """What a session has until it stands."""

    flight: Flight
    version: int
    dcid: bytes  # the id that the client's Initials go to, whose keys they have
    scid: bytes
    started_at: float
    original_dcid: bytes  # the id that the client made up first
    client_address: ClientAddress
    amplification_limit: AmplificationLimit | None = None  # None where the address is proven, by a token
    stage: SetupStage = SetupStage.CLIENT_HELLO_INCOMPLETE
    class_index: int = 0
    path: Path | None = None  # of the attempt that is out
    bound_to_server: bool = False  # a runner has sent a Retry or a Version Negotiation: it is that runner's now
    early_replies: list[bytes] = field(default_factory=list)  # from the runner, before its reply has shown itself
    attempts: int = 0
    timer_id: int = 0  # the number of the one that counts


@dataclass(eq=False, slots=True)
class Session:
    """A client's session, from its first datagram on. Owns its request at the driver."""

    id: str
    pending_actions: list[tuple[Session, RequestAction]]  # where what the module decides is noted down
    server: int = -1  # once it stands
    setup: SetupState | None = None
    path: Path | None = None  # the one last used by the client
    other_paths: list[Path] | None = None  # those before, oldest first
    cids: tuple[bytes, ...] = ()  # the latest routable ones
    last_active_at: float = 0.0
    first_unanswered_at: float = 0.0  # the first datagram since the runner's last
    unanswered_datagrams: int = 0
    bytes_from_server: int = 0  # octets of the runner, counted until it is sure that the session is one
    server_has_replied: bool = False  # its runner has spoken since it stands here
    migrating: bool = False
    by_address: bool = False  # its runner's ids can't be read: its address has to do
    ended: bool = False

    def act(self, action: RequestAction) -> None:
        self.pending_actions.append((self, action))

    def client_is_connected(self) -> bool:
        return True  # a datagram's sender can't be seen to leave

    def all_paths(self) -> list[Path]:
        found = [] if self.path is None else [self.path]
        return found + (self.other_paths or [])


@dataclass(frozen=True, slots=True)
class SessionEnd:
    """How a session that stood has ended."""

    outcome: Outcome
    send_reset: bool  # the client is told, so that it comes again at once
    note: str
