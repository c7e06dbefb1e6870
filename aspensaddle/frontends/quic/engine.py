"""Routes datagrams between clients and servers, without sockets and without a clock of its own.

A datagram is routed by its Destination Connection ID: by the sessions in memory first, then by the server ID in a
routable connection ID, which needs no memory. A connection's first Initial starts a session (`session_setup.py`).
"""

from __future__ import annotations

from collections.abc import Callable

from aioquic.quic.packet import QuicPacketType

from aspensaddle.core.driver import Driver
from aspensaddle.discovery.endpoint_registry import EndpointRegistry
from aspensaddle.frontends.quic.client_delivery import ClientDelivery
from aspensaddle.frontends.quic.connection_id_directory import ConnectionIdDirectory, ConnectionIdKind
from aspensaddle.frontends.quic.context import Context, Transport
from aspensaddle.frontends.quic.delivery import DeliveryFailure
from aspensaddle.frontends.quic.flight import Flight
from aspensaddle.frontends.quic.initial_admission import InitialAdmission
from aspensaddle.frontends.quic.limits import ExpiringMap
from aspensaddle.frontends.quic.packets import (
    MIN_CLIENT_CHOSEN_DCID_BYTES,
    MIN_INITIAL_DATAGRAM_BYTES,
    SUPPORTED_VERSIONS,
    MalformedPacketError,
    Packet,
    parse_invariants,
    parse_long_header_packets,
)
from aspensaddle.frontends.quic.path_table import PathTable
from aspensaddle.frontends.quic.responder import Responder
from aspensaddle.frontends.quic.session import ClientAddress, ServerAddress
from aspensaddle.frontends.quic.session_setup import SessionSetup
from aspensaddle.frontends.quic.session_sweep import SessionSweep
from aspensaddle.frontends.quic.session_table import SessionTable
from aspensaddle.frontends.quic.settings import QuicSettings
from aspensaddle.frontends.quic.unfinished_requests import UnfinishedRequests
from aspensaddle.support.counters import Counters
from aspensaddle.support.log import Log

# Limits for 0-RTT datagrams that arrive before their Initial
MAX_EARLY_ZERO_RTT_CIDS = 64  # number of connection IDs
MAX_EARLY_ZERO_RTT_DATAGRAMS = 4  # number of datagrams to each connection ID
EARLY_ZERO_RTT_SECONDS = 0.5  # time for which they are kept


class Engine:
    """Routes datagrams, and creates and connects the parts of the front end."""

    def __init__(
        self,
        settings: QuicSettings,
        driver: Driver,
        endpoints: EndpointRegistry,
        counters: Counters,
        log: Log,
        transport: Transport,
        unix_time: Callable[[], float],
        now: float,
    ) -> None:
        """Start without sessions.

        Args:
            settings: the settings in force.
            driver: decides about sessions.
            endpoints: the endpoint list.
            counters: the process's counters.
            log: the process's log.
            transport: sends datagrams.
            unix_time: returns the Unix time in seconds.
            now: the current time of a monotonic clock in seconds; `advance` sets it from then on.
        """
        directory = ConnectionIdDirectory(settings.ids, settings.unroutable_length)
        self.context = Context(settings, directory, driver, endpoints, counters, log, transport, unix_time, now)
        self.delivery = ClientDelivery(self.context)
        self.paths = PathTable(self.context, self.delivery)
        self.responder = Responder(self.context)
        self.sessions = SessionTable(self.context, self.paths, self.responder, self.delivery)
        self.session_setup = SessionSetup(self.context, self.sessions, self.paths, self.responder)
        self.unfinished_requests = UnfinishedRequests(self.context, self.sessions, self.session_setup)
        self._session_sweep = SessionSweep(self.context, self.sessions, self.paths)
        self._initial_admission = InitialAdmission(self.context, self.sessions, self.responder)
        self._early_zero_rtt: ExpiringMap[list[bytes]] = ExpiringMap(MAX_EARLY_ZERO_RTT_CIDS, EARLY_ZERO_RTT_SECONDS)
        self._cid_lengths = directory.lengths_by_codepoint

    def configure(self, settings: QuicSettings) -> None:
        """Use other settings from now on. Sessions continue; connection IDs that are unreadable now are forgotten."""
        context = self.context
        context.directory = ConnectionIdDirectory(
            settings.ids, settings.unroutable_length, previous=context.directory
        )
        context.settings = settings
        self.paths.configure()
        self.responder.configure()
        self.sessions.configure()
        self.sessions.forget_unreadable_cids()
        self._initial_admission.configure()
        self._cid_lengths = context.directory.lengths_by_codepoint

    # Datagrams from clients

    def handle_client_datagram(self, data: bytes, client_address: ClientAddress) -> None:
        """Route a client's datagram.

        Raises:
            MalformedPacketError: the datagram is not valid QUIC.
        """
        if len(data) < 2:
            raise MalformedPacketError("the datagram has fewer than 2 bytes")
        if data[0] & 0x80:
            self._handle_long_header(data, client_address)
            return
        sessions = self.sessions
        length = self._cid_lengths[data[1] >> 5]
        dcid = data[1 : 1 + length]
        session = sessions.by_server_cid.get(dcid)
        if session is not None:
            session.handshake_deadline = 0.0  # a client sends 1-RTT packets once its handshake is complete
            sessions.forward_to_server(session, data, client_address, dcid)
        elif (session := sessions.by_address.get(client_address)) is not None:
            session.handshake_deadline = 0.0
            sessions.forward_to_server(session, data, client_address)
        elif 0 < length <= len(data) - 1:
            self._route_by_server_id(data, client_address, dcid)
        else:
            # No stateless reset either: its token derives from the whole connection ID, which is not known.
            self.context.counters.add("quic unroutable")

    def _handle_long_header(self, data: bytes, client_address: ClientAddress) -> None:
        context, sessions = self.context, self.sessions
        header = parse_invariants(data)
        dcid = header.dcid
        if header.version not in SUPPORTED_VERSIONS:
            self.responder.send_version_negotiation(data, client_address, header)
        elif (session := sessions.by_client_cid.get(dcid, context.now)) is not None:
            setup = session.setup
            packets = parse_long_header_packets(data)
            if client_address != (
                setup.client_address if setup is not None else session.path and session.path.client_address
            ):
                # A client keeps its address until the handshake is confirmed (RFC 9000, 9). Copies of its packets
                # that are sent from other addresses must not open paths to the server.
                context.counters.add("quic from elsewhere")
            elif (
                any(packet.type is QuicPacketType.INITIAL for packet in packets)
                and len(data) < MIN_INITIAL_DATAGRAM_BYTES
            ):
                context.counters.add("quic short initials")  # RFC 9000, 14.1
            elif setup is None:
                sessions.forward_to_server(session, data, client_address)
            else:
                self.session_setup.add_client_datagram(session, setup, data, packets)
        elif sessions.by_client_cid.has(dcid, context.now):
            context.counters.add("quic answered before")  # the client gets one final response only
        elif (session := sessions.by_server_cid.get(dcid)) is not None:
            sessions.forward_to_server(session, data, client_address, dcid)
        else:
            self._handle_unknown_long_header(data, client_address, dcid)
        self.session_setup.carry_out_actions()

    def _handle_unknown_long_header(self, data: bytes, client_address: ClientAddress, dcid: bytes) -> None:
        """Handle a long-header packet whose connection ID is not in memory."""
        packets = parse_long_header_packets(data)
        packet_type = packets[0].type if packets else None
        if packet_type is QuicPacketType.INITIAL:
            self._handle_initial(data, client_address, packets)
        elif packet_type is QuicPacketType.RETRY:
            raise MalformedPacketError("the client sent a Retry packet")
        elif packet_type is QuicPacketType.ZERO_RTT and not self.context.directory.is_routable(dcid):
            # The 0-RTT packet has overtaken its Initial, or that was lost (RFC 9000, 5.2.2).
            early = self._early_zero_rtt.get(dcid, self.context.now) or []
            if len(early) < MAX_EARLY_ZERO_RTT_DATAGRAMS:
                self._early_zero_rtt.put(dcid, [*early, data], self.context.now)
        elif client_address in self.sessions.by_address:
            self.sessions.forward_to_server(self.sessions.by_address[client_address], data, client_address)
        else:
            self._route_by_server_id(data, client_address, dcid)

    def _handle_initial(self, data: bytes, client_address: ClientAddress, packets: list[Packet]) -> None:
        """Handle an Initial whose connection ID is not in memory.

        Either a client starts a connection, or one that another balancer has established continues here.
        """
        packet = packets[0]
        if len(data) < MIN_INITIAL_DATAGRAM_BYTES:
            self.context.counters.add("quic short initials")
            return
        admitted = self._initial_admission.admit(packet, client_address, self.session_setup.pending_count)
        if admitted is None:
            return
        flight = Flight(packet.dcid)
        first_frames = flight.read_first_initial(packet) if len(packet.dcid) >= MIN_CLIENT_CHOSEN_DCID_BYTES else None
        if first_frames is None and client_address in self.sessions.by_address:
            self.sessions.forward_to_server(self.sessions.by_address[client_address], data, client_address)
        elif first_frames is None:
            self._route_by_server_id(data, client_address, packet.dcid)
        elif packet.token and admitted.names_server and not admitted.validated:
            # Another balancer has forwarded a server's Retry, whose token no other server accepts.
            self._route_by_server_id(data, client_address, packet.dcid)
        else:
            session = self.session_setup.start(
                data,
                client_address,
                packets,
                flight,
                first_frames,
                admitted.original_dcid,
                admitted.validated,
            )
            for early in self._early_zero_rtt.pop(packet.dcid) or () if session is not None else ():
                if session is not None and session.setup is not None:
                    self.session_setup.add_client_datagram(
                        session, session.setup, early, parse_long_header_packets(early)
                    )

    def _route_by_server_id(self, data: bytes, client_address: ClientAddress, dcid: bytes) -> None:
        """Route a datagram that belongs to no known session to the server that its connection ID names."""
        context, sessions = self.context, self.sessions
        info = context.directory.look_up(dcid, context.unix_time())
        if info.kind is not ConnectionIdKind.SERVER:
            context.counters.add("quic unroutable")
            context.counters.add(f"quic ids {info.kind.value}")
            if info.kind in (ConnectionIdKind.REMOVED_SERVER, ConnectionIdKind.RETIRED_CONFIG):
                self.responder.send_stateless_reset(dcid, len(data), client_address)
            return
        sessions.departure_evidence.note(dcid, context.now)
        server = context.endpoints.find(info.uid)
        if server is None:
            self._handle_unlisted_server(info.uid, data, client_address, dcid)
            return
        reset = sessions.resets.get(dcid, context.now)
        if reset is not None and reset.applies_to(client_address):
            # The session was reset; with another reset, the client can reconnect at once.
            self.responder.send_stateless_reset(dcid, len(data), client_address)
            return
        path = self.paths.find_path(client_address, server)
        session = path.session if path is not None else None
        if session is None or session.setup is not None:  # a session in setup is another connection of the client
            session = sessions.adopt(client_address, server)
        if session is not None:
            sessions.add_cid(session, dcid)
            sessions.forward_to_server(session, data, client_address, dcid)

    def _handle_unlisted_server(self, uid: str, data: bytes, client_address: ClientAddress, dcid: bytes) -> None:
        """Reset a session whose server has left the list; drop the datagram if the list may be too old for that."""
        if self.sessions.departure_evidence.has_left(uid, dcid, self.context.now):
            self.responder.send_stateless_reset(dcid, len(data), client_address)
        else:
            self.context.counters.add("quic servers not listed")

    # Datagrams from servers

    def handle_server_datagram(self, data: bytes, slot: int, server_address: ServerAddress) -> None:
        """Route a datagram that arrived on a slot's socket from a server."""
        path = self.paths.find_path_by_slot(slot, server_address, data)
        if path is None:
            self.context.counters.add("quic late returns")  # the attempt or session has ended
            return
        self.sessions.server_activity.record(path.server, self.context.now)
        session = path.session
        if session.setup is None:
            self.sessions.forward_to_client(session, path, data)
        else:
            self.session_setup.handle_server_reply(session, session.setup, path, data)
            self.session_setup.carry_out_actions()

    def handle_delivery_failure(self, slot: int, server_address: ServerAddress, failure: DeliveryFailure) -> None:
        """Handle the network's report that a datagram from a slot's socket to a server was not delivered."""
        for path in list(self.paths.paths_of_slot(slot, server_address)):
            session = path.session
            if session.setup is None:
                self.sessions.handle_delivery_failure(session, path, failure)
            else:
                self.session_setup.handle_delivery_failure(session, session.setup, path, failure)
        self.session_setup.carry_out_actions()

    # Time

    def advance(self, now: float) -> None:
        """Set the time, in seconds; carry out what the driver has decided meanwhile, and run due timers."""
        self.context.now = now
        self.session_setup.carry_out_actions()
        self.session_setup.run_timers()

    def sweep(self) -> None:
        """Check a part of the sessions, and end those that are idle or have lost their server."""
        self._session_sweep.run()
        self.delivery.release_due()
        self.session_setup.carry_out_actions()

    def next_timer(self) -> float | None:
        """Return when `advance` is to be called next, in seconds; None if there is no timer."""
        return self.session_setup.next_timer()
