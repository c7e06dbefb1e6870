"""A QUIC client, as the cases drive it."""

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
DEFAULT_ID_LENGTH = 8  # octets
IDLE_TIMEOUT = 60.0  # s
KEPT_SENT, KEPT_RECEIVED = 8, 64  # datagrams


class ClientConnection(QuicConnection):
    """A client's side of a connection, also without ids of its own, as browsers have none."""

    def _replenish_connection_ids(self) -> None:
        if self.host_cid:
            super()._replenish_connection_ids()


@dataclass(frozen=True, slots=True)
class ClientOptions:
    """How a client connects."""

    name: str | None = "x.example"  # server name of its ClientHello
    alpn: tuple[str, ...] = ALPN
    versions: tuple[int, ...] = (V1,)
    original: int = 0  # version of its first Initial, if not the first of `versions`
    id_length: int = DEFAULT_ID_LENGTH
    token: bytes = b""  # of an earlier connection
    large: bool = False  # a ClientHello of several datagrams
    ticket: SessionTicket | None = None
    early: bytes = b""  # said before the handshake is complete
    hold: bool = False  # datagrams go to `QuicClient.held`, for the case to send
    link_in: Link | None = None
    link_out: Link | None = None

    def configuration(self) -> QuicConfiguration:
        """Return the library's configuration."""
        return QuicConfiguration(
            is_client=True,
            alpn_protocols=list(self.alpn),
            verify_mode=0,
            idle_timeout=IDLE_TIMEOUT,
            server_name=self.name,
            connection_id_length=DEFAULT_ID_LENGTH,
            supported_versions=list(self.versions),
            token=self.token,
            original_version=self.original or self.versions[0],
            quantum_readiness_test=self.large,
            session_ticket=self.ticket,
        )


class QuicClient:
    """A client. It can change its port, its ids and its balancer, and recognizes a stateless reset."""

    def __init__(self, net: Net, frontend_address: Address, options: ClientOptions) -> None:
        """Take an address in `net` and send the first Initial."""
        self.net, self.frontend_address = net, frontend_address
        self.link_in, self.link_out = options.link_in or Link(), options.link_out or Link()
        self.address: Address = ("", 0)
        self.answers: list[bytes] = []
        self.ended: list[events.ConnectionTerminated] = []
        self.ready = self.reset = False
        self.in_octets = self.out_octets = self.datagrams_in = 0
        self.got: list[bytes] = []  # the first datagrams that came
        self.sent: list[bytes] = []  # the first that went
        self.hold, self.held = options.hold, list[bytes]()
        self.tickets: list[SessionTicket] = []
        self.tokens: set[bytes] = set()  # stateless reset tokens
        net.bind(self)
        self.connection = ClientConnection(
            configuration=options.configuration(), session_ticket_handler=self.tickets.append
        )
        if options.id_length != DEFAULT_ID_LENGTH:
            self._choose_id(options.id_length)
        if options.early:
            stream = self.connection.get_next_available_stream_id()
            self.connection.send_stream_data(stream, options.early, True)
        self.connection.connect(frontend_address, now=net.now())
        self.flush()

    def _choose_id(self, length: int) -> None:
        cid = os.urandom(length)
        self.connection._host_cids[0].cid = self.connection.host_cid = cid
        self.connection._local_initial_source_connection_id = cid
        self.connection._configuration.connection_id_length = length

    @property
    def chosen(self) -> bytes:
        """The id that it chose for the server."""
        return self.connection.original_destination_connection_id

    def flush(self) -> None:
        """Handle the library's events and send what it has to send."""
        if self.reset:
            return
        while (event := self.connection.next_event()) is not None:
            if isinstance(event, events.HandshakeCompleted):
                self.ready = True
            elif isinstance(event, events.StreamDataReceived):
                self.answers.append(event.data)
            elif isinstance(event, events.ConnectionTerminated):
                self.ended.append(event)
        for data, _ in self.connection.datagrams_to_send(self.net.now()):
            if self.hold:
                self.held.append(data)
            else:
                self.send(data)

    def send(self, data: bytes) -> None:
        """Send a datagram to the front end."""
        if len(self.sent) < KEPT_SENT:
            self.sent.append(data)
        self.out_octets += len(data)
        self.net.send(self, data, self.frontend_address)

    def received(self, data: bytes, source: Address) -> None:
        """Handle a datagram."""
        self.datagrams_in += 1
        self.in_octets += len(data)
        if len(self.got) < KEPT_RECEIVED:
            self.got.append(data)
        known = [self.connection._peer_cid, *self.connection._peer_cid_available]
        self.tokens |= {c.stateless_reset_token for c in known if c.stateless_reset_token}
        if data[-16:] in self.tokens:
            self.reset = True
        elif data:
            # Balancers share an address: an answer counts as that of the one it sent to.
            self.connection.receive_datagram(data, self.connection._network_paths[0].addr, self.net.now())
            self.flush()

    def timer(self) -> float | None:
        """Return the time of the next timer, None if there is none."""
        return None if self.reset else self.connection.get_timer()

    def expired(self) -> None:
        """Run the timer that is due."""
        self.connection.handle_timer(self.net.now())
        self.flush()

    def say(self, text: bytes) -> None:
        """Send text on a stream of its own."""
        self.connection.send_stream_data(self.connection.get_next_available_stream_id(), text, end_stream=True)
        self.flush()

    def rebind(self) -> None:
        """Take another source port, as after a change of network."""
        self.net.bind(self)

    def change_id(self) -> None:
        """Use another of the server's ids from now on."""
        self.connection.change_connection_id()

    def close(self) -> None:
        """Take the client off the network."""
        self.net.drop(self)
