"""The QUIC client of the cases. The protocol itself is the library's (aioquic)."""

from __future__ import annotations

import os
from dataclasses import dataclass

from aioquic.quic import events
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.tls import SessionTicket

from aspensaddle.conformance.link import Link
from aspensaddle.conformance.net import Address, Net
from aspensaddle.conformance.quic_versions import V1

ALPN = ("lines",)
DEFAULT_CID_BYTES = 8
IDLE_TIMEOUT_SECONDS = 60.0
MAX_KEPT_SENT = 8  # number of the first sent datagrams that a client stores
MAX_KEPT_RECEIVED = 64  # number of the first received datagrams that a client stores


class ClientConnection(QuicConnection):
    """A client's side of a connection. With an empty connection ID, as browsers have it, it issues no others."""

    def _replenish_connection_ids(self) -> None:
        if self.host_cid:
            super()._replenish_connection_ids()


@dataclass(frozen=True, slots=True)
class ClientOptions:
    """How a client connects."""

    server_name: str | None = "x.example"  # SNI of its ClientHello
    alpn: tuple[str, ...] = ALPN
    versions: tuple[int, ...] = (V1,)
    original_version: int = 0  # version of the first Initial; 0: the first of `versions`
    cid_length: int = DEFAULT_CID_BYTES
    token: bytes = b""  # a token from an earlier connection
    large: bool = False  # whether the ClientHello needs several datagrams
    ticket: SessionTicket | None = None
    early_data: bytes = b""  # data that is sent in 0-RTT, before the handshake is complete
    hold_datagrams: bool = False  # store datagrams in `QuicClient.held_datagrams` instead of sending them
    link_in: Link | None = None
    link_out: Link | None = None

    def configuration(self) -> QuicConfiguration:
        """Return the library's configuration for these options."""
        return QuicConfiguration(
            is_client=True,
            alpn_protocols=list(self.alpn),
            verify_mode=0,
            idle_timeout=IDLE_TIMEOUT_SECONDS,
            server_name=self.server_name,
            connection_id_length=DEFAULT_CID_BYTES,
            supported_versions=list(self.versions),
            token=self.token,
            original_version=self.original_version or self.versions[0],
            quantum_readiness_test=self.large,
            session_ticket=self.ticket,
        )


class QuicClient:
    """A client that can change its port, its connection ID and its balancer, and detects a stateless reset.

    `terminations` has the end of the connection once it has ended; `responses` are the servers' stream data.
    """

    def __init__(self, net: Net, frontend_address: Address, options: ClientOptions) -> None:
        """Bind to an address in `net` and send the first Initial."""
        self.net, self.frontend_address = net, frontend_address
        self.link_in, self.link_out = options.link_in or Link(), options.link_out or Link()
        self.address: Address = ("", 0)
        self.responses: list[bytes] = []
        self.terminations: list[events.ConnectionTerminated] = []
        self.handshake_complete = self.was_reset = False
        self.received_bytes = self.sent_bytes = self.received_count = 0
        self.received_datagrams: list[bytes] = []  # the first MAX_KEPT_RECEIVED datagrams
        self.sent_datagrams: list[bytes] = []  # the first MAX_KEPT_SENT datagrams
        self.hold_datagrams, self.held_datagrams = options.hold_datagrams, list[bytes]()
        self.tickets: list[SessionTicket] = []
        self.reset_tokens: set[bytes] = set()  # stateless reset tokens of the server's connection IDs
        net.bind(self)
        self.connection = ClientConnection(
            configuration=options.configuration(), session_ticket_handler=self.tickets.append
        )
        if options.cid_length != DEFAULT_CID_BYTES:
            self._set_cid_length(options.cid_length)
        if options.early_data:
            stream = self.connection.get_next_available_stream_id()
            self.connection.send_stream_data(stream, options.early_data, True)
        self.connection.connect(frontend_address, now=net.now())
        self.flush()

    def _set_cid_length(self, length: int) -> None:
        cid = os.urandom(length)
        self.connection._host_cids[0].cid = self.connection.host_cid = cid
        self.connection._local_initial_source_connection_id = cid
        self.connection._configuration.connection_id_length = length

    @property
    def original_dcid(self) -> bytes:
        """The connection ID that the client chose for its first Initial."""
        return self.connection.original_destination_connection_id

    def flush(self) -> None:
        """Process the library's events and send its datagrams."""
        if self.was_reset:
            return
        while (event := self.connection.next_event()) is not None:
            if isinstance(event, events.HandshakeCompleted):
                self.handshake_complete = True
            elif isinstance(event, events.StreamDataReceived):
                self.responses.append(event.data)
            elif isinstance(event, events.ConnectionTerminated):
                self.terminations.append(event)
        for data, _ in self.connection.datagrams_to_send(self.net.now()):
            if self.hold_datagrams:
                self.held_datagrams.append(data)
            else:
                self.send(data)

    def send(self, data: bytes) -> None:
        """Send a datagram to the front end."""
        if len(self.sent_datagrams) < MAX_KEPT_SENT:
            self.sent_datagrams.append(data)
        self.sent_bytes += len(data)
        self.net.send(self, data, self.frontend_address)

    def handle_datagram(self, data: bytes, source: Address) -> None:
        """Detect a stateless reset, or else pass a datagram on to the library."""
        self.received_count += 1
        self.received_bytes += len(data)
        if len(self.received_datagrams) < MAX_KEPT_RECEIVED:
            self.received_datagrams.append(data)
        peer_cids = [self.connection._peer_cid, *self.connection._peer_cid_available]
        self.reset_tokens |= {cid.stateless_reset_token for cid in peer_cids if cid.stateless_reset_token}
        if data[-16:] in self.reset_tokens:
            self.was_reset = True
        elif data:
            # Deployed balancers share one address, so a datagram from any of them counts as one from the address that
            # the client connected to.
            self.connection.receive_datagram(data, self.connection._network_paths[0].addr, self.net.now())
            self.flush()

    def next_timer(self) -> float | None:
        """Return the time of the next timer, or None if there is none."""
        return None if self.was_reset else self.connection.get_timer()

    def run_timers(self) -> None:
        """Run the timer that is due."""
        self.connection.handle_timer(self.net.now())
        self.flush()

    def send_request(self, text: bytes) -> None:
        """Send a request on a new stream."""
        self.connection.send_stream_data(self.connection.get_next_available_stream_id(), text, end_stream=True)
        self.flush()

    def rebind(self) -> None:
        """Bind to another source port, as after a change of network."""
        self.net.bind(self)

    def change_cid(self) -> None:
        """Use another of the server's connection IDs from now on."""
        self.connection.change_connection_id()

    def close(self) -> None:
        """Remove the client from the network."""
        self.net.remove(self)
