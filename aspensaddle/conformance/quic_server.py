"""The QUIC server behind the balancer in the cases.

The protocol itself is the library's (aioquic). This module adds what a server behind the balancer does besides: it
issues routable connection IDs, and stateless reset tokens derived from the operator's key.
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
MAX_ISSUED_CIDS = 8  # limit of the connection IDs issued in one connection, if the client accepts as many
MIN_INITIAL_DATAGRAM_BYTES = 1200
AMPLIFIED_COPIES = 5  # how often an amplifying server sends each full datagram
MAX_RECENT_DATAGRAMS = 1000


class ServerConnection(QuicConnection):
    """A server's side of a connection. `issue` creates its connection IDs."""

    def __init__(self, issue: Callable[[], bytes], **library_arguments: Any) -> None:
        """Issue the first connection ID; `library_arguments` are those of `QuicConnection`."""
        super().__init__(**library_arguments)
        self.issue = issue
        self._host_cids = [self._create_cid(0)]
        self.host_cid = self._local_initial_source_connection_id = self._host_cids[0].cid

    def _create_cid(self, number: int) -> QuicConnectionId:
        cid = self.issue()
        return QuicConnectionId(
            cid=cid,
            sequence_number=number,
            was_sent=number == 0,
            stateless_reset_token=derive_stateless_reset_token(RESET_KEY, cid),
        )

    def _replenish_connection_ids(self) -> None:
        while self.host_cid and len(self._host_cids) < min(MAX_ISSUED_CIDS, self._remote_active_connection_id_limit):
            self._host_cids.append(self._create_cid(self._host_cid_seq))
            self._host_cid_seq += 1

    def cids(self) -> list[bytes]:
        """Return the connection IDs that route to this connection."""
        return [issued.cid for issued in self._host_cids]


class ServerMode(StrEnum):
    """How a server responds to a client's first Initial."""

    OK = "ok"
    RETRY = "retry"  # sends a Retry first
    REFUSE = "refuse"  # closes with CONNECTION_REFUSED
    FAIL = "fail"  # closes with INTERNAL_ERROR
    SILENT = "silent"  # sends nothing
    AMPLIFYING = "generous"  # sends more than three times the bytes that it received


@dataclass(slots=True)
class ServerRecords:
    """What a server has received since it was created."""

    datagrams: int = 0
    initials: int = 0  # Initials of connections that the server did not know
    connections: int = 0
    requests: list[bytes] = field(default_factory=list)  # the data of clients' streams
    early_requests: int = 0  # how many of the requests came in 0-RTT
    source_addresses: set[Address] = field(default_factory=set)
    first_seen_at: dict[bytes, float] = field(default_factory=dict)  # time of the first Initial, by its DCID
    recent_datagrams: deque[bytes] = field(default_factory=lambda: deque(maxlen=MAX_RECENT_DATAGRAMS))
    token_verdicts: list[TokenVerdict] = field(default_factory=list)


class QuicServer:
    """A server behind the balancer. It responds on each stream with its uid and the data of the request.

    Attributes:
        result_bytes: How many bytes of a result precede each response.
        result_seconds: How long it takes until a response is sent.
        limits_addresses: Whether the server limits what it sends to an address that it has not validated (RFC 9000,
            9.3.1). Without it, every address of a client counts as validated.
    """

    def __init__(
        self,
        net: Net,
        uid: str,
        id_format: IdFormat,
        mode: ServerMode,
        tickets: dict[bytes, SessionTicket],
        unix_time: Callable[[], float],
        tokens: RetryTokens | None,
    ) -> None:
        """Bind to an address in `net`.

        Args:
            net: the network.
            uid: the server's uid in the endpoint list.
            id_format: the format of the connection IDs that it issues; `server_id` has to be set before the first.
            mode: how it responds to first Initials.
            tickets: session tickets by label, shared by servers that resume each other's sessions.
            unix_time: returns the Unix time.
            tokens: decrypts the front end's Retry tokens; None if the front end sends none.
        """
        self.net, self.uid, self.id_format, self.mode = net, uid, id_format, mode
        self.tickets, self.unix_time, self.tokens = tickets, unix_time, tokens
        self.server_id = b""
        self.versions: tuple[int, ...] = (V1, V2)
        self.issue: Callable[[], bytes] = lambda: self.id_format.encode(self.server_id)
        self.result_bytes, self.result_seconds, self.limits_addresses = 0, 0.0, True
        self.link_in, self.link_out = Link(), Link()
        self.address: Address = ("", 0)
        self.records = ServerRecords()
        self._connections: list[ServerConnection] = []
        self._by_cid: dict[bytes, ServerConnection] = {}
        self._cid_lengths: set[int] = set()
        self._by_address: dict[Address, ServerConnection] = {}
        net.bind(self)

    def close(self) -> None:
        """Remove the server from the network."""
        self.net.remove(self)

    def target(self, **overrides: Any) -> dict[str, Any]:
        """Return the server's entry in an endpoint list of discovery; `overrides` replace fields."""
        return {
            "uid": self.uid,
            "endpoint": f"{self.address[0]}:{self.address[1]}",
            "az": "here",
            "model": "m",
            "pod_group": 0,
            "state": "active",
            "capacity_hint": 1.0,
            "boot_ms": 0,
            **overrides,
        }

    def handle_datagram(self, data: bytes, source: Address) -> None:
        """Record a datagram and pass it on to its connection, which may be a new one."""
        self.records.datagrams += 1
        self.records.source_addresses.add(source)
        self.records.recent_datagrams.append(data)
        connection = self._find(data, source)
        if connection is None:
            connection = self._accept(data, source)
        if connection is not None:
            connection.receive_datagram(data, source, self.net.now())
            self._process_events(connection)

    def _find(self, data: bytes, source: Address) -> ServerConnection | None:
        if data[0] & 0x80:
            dcid = parse_invariants(data).dcid
            return self._by_cid.get(dcid) if dcid else self._by_address.get(source)
        for length in self._cid_lengths:
            if (found := self._by_cid.get(data[1 : 1 + length])) is not None:
                return found
        return self._by_address.get(source)

    def _accept(self, data: bytes, source: Address) -> ServerConnection | None:
        """Respond to a client's first Initial; return the connection if it is accepted."""
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
        elif self.mode in (ServerMode.OK, ServerMode.RETRY, ServerMode.AMPLIFYING):
            return self._create_connection(dcid, header.token, source)
        return None

    def _create_connection(self, dcid: bytes, token: bytes, source: Address) -> ServerConnection:
        original_dcid, retry_scid = dcid, None
        if self.mode == ServerMode.RETRY and token:
            original_dcid, retry_scid = token, dcid
        elif self.tokens is not None and token:
            # The server sees the balancer's address instead of the client's, so it can check only the connection IDs
            # and the time.
            contents = self.tokens.unseal(token, self.unix_time())
            self.records.token_verdicts.append(TokenVerdict.ABSENT if contents is None else TokenVerdict.VALID)
            if contents is not None:
                original_dcid, retry_scid = contents.original_dcid, dcid
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
            original_destination_connection_id=original_dcid,
            retry_source_connection_id=retry_scid,
            session_ticket_fetcher=lambda label: self.tickets.pop(label, None),
            session_ticket_handler=lambda ticket: self.tickets.__setitem__(ticket.ticket, ticket),
        )
        self._connections.append(connection)
        self._by_cid[dcid] = connection
        self._by_address[source] = connection
        return connection

    def next_timer(self) -> float | None:
        """Return the time of the next timer, or None if there is none."""
        return min(
            (due_at for connection in self._connections if (due_at := connection.get_timer()) is not None),
            default=None,
        )

    def run_timers(self) -> None:
        """Run the timers that are due."""
        for connection in list(self._connections):
            due_at = connection.get_timer()
            if due_at is not None and due_at <= self.net.now():
                connection.handle_timer(self.net.now())
                self._process_events(connection)

    def _process_events(self, connection: ServerConnection) -> None:
        """Respond to requests, send the connection's datagrams and register its new connection IDs."""
        while (event := connection.next_event()) is not None:
            if isinstance(event, events.StreamDataReceived) and event.end_stream:
                self.records.requests.append(event.data)
                self.records.early_requests += not connection._handshake_complete
                self._respond(connection, event.stream_id, event.data)
            elif isinstance(event, events.ConnectionTerminated) and connection in self._connections:
                self._connections.remove(connection)
        if not self.limits_addresses:
            for network_path in connection._network_paths:
                network_path.is_validated = True
        for data, peer in connection.datagrams_to_send(self.net.now()):
            for _ in range(
                AMPLIFIED_COPIES
                if self.mode == ServerMode.AMPLIFYING and len(data) >= MIN_INITIAL_DATAGRAM_BYTES
                else 1
            ):
                self._send(data, peer)
        for cid in connection.cids():
            self._by_cid[cid] = connection
            self._cid_lengths.add(len(cid))

    def _respond(self, connection: ServerConnection, stream_id: int, request: bytes) -> None:
        response = bytes(self.result_bytes) + self.uid.encode() + b" " + request
        if not self.result_seconds:
            connection.send_stream_data(stream_id, response, True)
            return

        def send_later() -> None:
            connection.send_stream_data(stream_id, response, True)
            self._process_events(connection)

        self.net.call_later(self.result_seconds, send_later)

    def _send(self, data: bytes, destination: Address) -> None:
        if self.mode != ServerMode.SILENT:
            self.net.send(self, data, destination)
