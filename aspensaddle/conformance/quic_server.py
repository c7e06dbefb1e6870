"""A QUIC server behind the balancer.

The protocol is the library's. What such a server does of its own is here: it issues routable ids and the stateless
reset tokens that the operator's key gives.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from aioquic.buffer import Buffer
from aioquic.quic import events
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection, QuicConnectionId
from aioquic.quic.packet import QuicPacketType, encode_quic_retry, encode_quic_version_negotiation, pull_quic_header
from aioquic.tls import SessionTicket

from aspensaddle.conformance.link import Link
from aspensaddle.conformance.net import Address, Net
from aspensaddle.conformance.quic_versions import V1, V2
from aspensaddle.conformance.server_certificate import server_configuration
from aspensaddle.frontends.quic.connection_ids import IdFormat, derive_stateless_reset_token
from aspensaddle.frontends.quic.initial import CONNECTION_REFUSED, INTERNAL_ERROR, InitialKeys
from aspensaddle.frontends.quic.packets import parse_invariants, parse_long_header_packets
from aspensaddle.frontends.quic.retry_tokens import RetryTokens, TokenVerdict

RESET_KEY = bytes(range(32))
MAX_ISSUED_IDS = 8  # per connection, if the client accepts as many
MIN_INITIAL_SIZE = 1200  # octets of a datagram
GENEROUS_COPIES = 5  # of each full datagram
RECENT_DATAGRAMS = 1000


class ServerConnection(QuicConnection):
    """A server's side of a connection, whose ids are made by `issue`."""

    def __init__(self, issue: Callable[[], bytes], **more: Any) -> None:
        """Create the side with an id of its own; `more` is for the library."""
        super().__init__(**more)
        self.issue = issue
        self._host_cids = [self._new_id(0)]
        self.host_cid = self._local_initial_source_connection_id = self._host_cids[0].cid

    def _new_id(self, number: int) -> QuicConnectionId:
        cid = self.issue()
        return QuicConnectionId(
            cid=cid,
            sequence_number=number,
            was_sent=number == 0,
            stateless_reset_token=derive_stateless_reset_token(RESET_KEY, cid),
        )

    def _replenish_connection_ids(self) -> None:
        while self.host_cid and len(self._host_cids) < min(MAX_ISSUED_IDS, self._remote_active_connection_id_limit):
            self._host_cids.append(self._new_id(self._host_cid_seq))
            self._host_cid_seq += 1

    def ids(self) -> list[bytes]:
        """Return the ids that lead to this connection."""
        return [known.cid for known in self._host_cids]


class ServerMode(StrEnum):
    """How a server answers a client's first Initial, or what it does besides."""

    OK = "ok"
    RETRY = "retry"  # sends a Retry of its own first
    REFUSE = "refuse"
    FAIL = "fail"
    SILENT = "silent"
    GENEROUS = "generous"  # answers with more than three times what came


@dataclass(slots=True)
class ServerRecords:
    """What a server has seen since it was created."""

    datagrams: int = 0
    initials: int = 0  # of connections that it did not know
    connections: int = 0
    requests: list[bytes] = field(default_factory=list)  # what clients said on streams
    early_requests: int = 0  # those that came in 0-RTT
    source_addresses: set[Address] = field(default_factory=set)
    first_seen_at: dict[bytes, float] = field(default_factory=dict)  # by the id that the client chose
    recent_datagrams: deque[bytes] = field(default_factory=lambda: deque(maxlen=RECENT_DATAGRAMS))
    token_verdicts: list[TokenVerdict] = field(default_factory=list)


class QuicServer:
    """A server behind the balancer. It answers each stream with its uid and what was said."""

    def __init__(
        self,
        net: Net,
        uid: str,
        form: IdFormat,
        mode: ServerMode,
        tickets: dict[bytes, SessionTicket],
        unix: Callable[[], float],
        tokens: RetryTokens | None,
    ) -> None:
        """Take an address in `net`.

        Args:
            net: the network.
            uid: its name in the endpoint list.
            form: the format of the ids that it issues; `server_id` has to be set before the first.
            mode: how it answers.
            tickets: session tickets by label, shared by servers that resume each other's sessions.
            unix: returns the Unix time.
            tokens: checks the front end's Retry tokens; None if there are none.
        """
        self.net, self.uid, self.form, self.mode = net, uid, form, mode
        self.tickets, self.unix, self.tokens = tickets, unix, tokens
        self.server_id = b""
        self.versions: tuple[int, ...] = (V1, V2)
        self.issue: Callable[[], bytes] = lambda: self.form.encode(self.server_id)
        self.link_in, self.link_out = Link(), Link()
        self.address: Address = ("", 0)
        self.records = ServerRecords()
        self._connections: list[ServerConnection] = []
        self._by_id: dict[bytes, ServerConnection] = {}
        self._id_lengths: set[int] = set()
        self._by_peer: dict[Address, ServerConnection] = {}
        net.bind(self)

    def close(self) -> None:
        """Take the server off the network."""
        self.net.drop(self)

    def target(self, **more: Any) -> dict[str, Any]:
        """Return its entry of the endpoint list, as discovery writes it; `more` replaces fields."""
        return {
            "uid": self.uid,
            "endpoint": f"{self.address[0]}:{self.address[1]}",
            "az": "here",
            "model": "m",
            "pod_group": 0,
            "state": "active",
            "capacity_hint": 1.0,
            "boot_ms": 0,
            **more,
        }

    def received(self, data: bytes, source: Address) -> None:
        """Handle a datagram."""
        self.records.datagrams += 1
        self.records.source_addresses.add(source)
        self.records.recent_datagrams.append(data)
        connection = self._find(data, source)
        if connection is None:
            connection = self._accept(data, source)
        if connection is not None:
            connection.receive_datagram(data, source, self.net.now())
            self._carry_out(connection)

    def _find(self, data: bytes, source: Address) -> ServerConnection | None:
        if data[0] & 0x80:
            dcid = parse_invariants(data).dcid
            return self._by_id.get(dcid) if dcid else self._by_peer.get(source)
        for length in self._id_lengths:
            if (found := self._by_id.get(data[1 : 1 + length])) is not None:
                return found
        return self._by_peer.get(source)

    def _accept(self, data: bytes, source: Address) -> ServerConnection | None:
        """Answer a client's first Initial; return the connection if it is accepted."""
        try:
            header = pull_quic_header(Buffer(data=data), host_cid_length=8)
        except ValueError:
            return None
        dcid = header.destination_cid
        if header.version is None or header.packet_type is not QuicPacketType.INITIAL:
            return None
        self.records.initials += 1
        self.records.first_seen_at.setdefault(dcid, self.net.now())
        if header.version not in self.versions:
            self._send(
                encode_quic_version_negotiation(
                    source_cid=dcid, destination_cid=header.source_cid, supported_versions=list(self.versions)
                ),
                source,
            )
        elif self.mode in (ServerMode.REFUSE, ServerMode.FAIL):
            code = CONNECTION_REFUSED if self.mode == ServerMode.REFUSE else INTERNAL_ERROR
            (packet, *_) = parse_long_header_packets(data)
            self._send(InitialKeys(packet.dcid).encode_close(packet.version, packet.scid, code, b""), source)
        elif self.mode == ServerMode.RETRY and not header.token:
            self._send(encode_quic_retry(header.version, self.issue(), header.source_cid, dcid, dcid), source)
        elif self.mode in (ServerMode.OK, ServerMode.RETRY, ServerMode.GENEROUS):
            return self._create_connection(dcid, header.token, source)
        return None

    def _create_connection(self, dcid: bytes, token: bytes, source: Address) -> ServerConnection:
        original, retried = dcid, None
        if self.mode == ServerMode.RETRY and token:
            original, retried = token, dcid
        elif self.tokens is not None and token:
            # The server sees the balancer's address, not the client's: it can check the ids and the time only.
            proof = self.tokens.unseal(token, self.unix())
            self.records.token_verdicts.append(TokenVerdict.ABSENT if proof is None else TokenVerdict.VALID)
            if proof is not None:
                original, retried = proof.original_dcid, dcid
        self.records.connections += 1
        configuration = QuicConfiguration(
            is_client=False,
            alpn_protocols=["lines", "h3", "lines/7"],
            idle_timeout=60,
            connection_id_length=len(self.issue()),
            supported_versions=list(self.versions),
            certificate=server_configuration().certificate,
            private_key=server_configuration().private_key,
        )
        connection = ServerConnection(
            self.issue,
            configuration=configuration,
            original_destination_connection_id=original,
            retry_source_connection_id=retried,
            session_ticket_fetcher=lambda label: self.tickets.pop(label, None),
            session_ticket_handler=lambda ticket: self.tickets.__setitem__(ticket.ticket, ticket),
        )
        self._connections.append(connection)
        self._by_id[dcid] = connection
        self._by_peer[source] = connection
        return connection

    def timer(self) -> float | None:
        """Return the time of the next timer, None if there is none."""
        return min((at for c in self._connections if (at := c.get_timer()) is not None), default=None)

    def expired(self) -> None:
        """Run the timers that are due."""
        for connection in list(self._connections):
            at = connection.get_timer()
            if at is not None and at <= self.net.now():
                connection.handle_timer(self.net.now())
                self._carry_out(connection)

    def _carry_out(self, connection: ServerConnection) -> None:
        while (event := connection.next_event()) is not None:
            if isinstance(event, events.StreamDataReceived) and event.end_stream:
                self.records.requests.append(event.data)
                self.records.early_requests += not connection._handshake_complete
                connection.send_stream_data(event.stream_id, self.uid.encode() + b" " + event.data, True)
            elif isinstance(event, events.ConnectionTerminated) and connection in self._connections:
                self._connections.remove(connection)
        for data, peer in connection.datagrams_to_send(self.net.now()):
            for _ in range(
                GENEROUS_COPIES if self.mode == ServerMode.GENEROUS and len(data) >= MIN_INITIAL_SIZE else 1
            ):
                self._send(data, peer)
        for cid in connection.ids():
            self._by_id[cid] = connection
            self._id_lengths.add(len(cid))

    def _send(self, data: bytes, to: Address) -> None:
        if self.mode != ServerMode.SILENT:
            self.net.send(self, data, to)
