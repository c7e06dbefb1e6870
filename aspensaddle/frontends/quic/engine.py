"""Where a datagram goes: the front without sockets and time.

A datagram finds its runner by the id it is sent to: first by what is remembered of sessions, then by the server
id within a routable one, which needs no memory at all. What opens a connection is placed (`session_setup.py`).
"""

from __future__ import annotations

from collections.abc import Callable

from aioquic.quic.packet import QuicPacketType

from aspensaddle.core.driver import Driver
from aspensaddle.discovery.endpoint_registry import EndpointRegistry
from aspensaddle.frontends.quic.address_validation import AddressValidationPolicy
from aspensaddle.frontends.quic.connection_id_directory import ConnectionIdDirectory, ConnectionIdKind
from aspensaddle.frontends.quic.context import Context, Transport
from aspensaddle.frontends.quic.flight import Flight
from aspensaddle.frontends.quic.limits import ExpiringMap, RateLimiter
from aspensaddle.frontends.quic.packets import (
    FIRST_DATAGRAM,
    LEAST_CHOSEN,
    VERSIONS,
    MalformedPacketError,
    Packet,
    long_packets,
    parse_invariants,
)
from aspensaddle.frontends.quic.path_table import PathTable
from aspensaddle.frontends.quic.responder import Responder
from aspensaddle.frontends.quic.retry_tokens import TokenVerdict
from aspensaddle.frontends.quic.session import ClientAddress, ServerAddress
from aspensaddle.frontends.quic.session_setup import SessionSetup
from aspensaddle.frontends.quic.session_table import SessionTable
from aspensaddle.frontends.quic.settings import QuicSettings
from aspensaddle.support.counters import Counters
from aspensaddle.support.log import Log

ORPHANS, ORPHANS_OF_ID, ORPHANED_FOR = 64, 4, 0.5  # ids whose 0-RTT came before its Initial; datagrams; seconds


class Engine:
    def __init__(
        self,
        settings: QuicSettings,
        driver: Driver,
        fleet: EndpointRegistry,
        counters: Counters,
        log: Log,
        wire: Transport,
        unix: Callable[[], float],
        now: float,
    ) -> None:
        directory = ConnectionIdDirectory(settings.ids, settings.unroutable_length)
        self.ctx = Context(settings, directory, driver, fleet, counters, log, wire, unix, now)
        self.paths = PathTable(self.ctx)
        self.answers = Responder(self.ctx)
        self.sessions = SessionTable(self.ctx, self.paths, self.answers)
        self.placements = SessionSetup(self.ctx, self.sessions, self.paths, self.answers)
        self._orphans: ExpiringMap[list[bytes]] = ExpiringMap(ORPHANS, ORPHANED_FOR)
        self._take_settings()

    def _take_settings(self) -> None:
        settings = self.ctx.settings
        self._lengths = self.ctx.directory.lengths
        self._openings = RateLimiter(settings.answers_per_s, self.ctx.now)
        self._gate = (
            None
            if settings.retry is None
            else AddressValidationPolicy(settings.retry.above_per_s, settings.most_pending)
        )

    def configure(self, settings: QuicSettings) -> None:
        """Other settings from now on. What stands goes on; ids that nothing reads any more are forgotten."""
        ctx = self.ctx
        ctx.directory = ConnectionIdDirectory(settings.ids, settings.unroutable_length, before=ctx.directory)
        ctx.settings = settings
        self.paths.configure()
        self.answers.configure()
        self.sessions.configure()
        self.sessions.unlearn()
        self._take_settings()

    # ------------------------------------------------------------ from clients

    def from_client(self, data: bytes, peer: ClientAddress) -> None:
        """A datagram of a client's. Raises `MalformedPacketError` where it is no QUIC."""
        if len(data) < 2:
            raise MalformedPacketError("too short")
        if data[0] & 0x80:
            self._long(data, peer)
            return
        sessions = self.sessions
        length = self._lengths[data[1] >> 5]
        dcid = data[1 : 1 + length]
        session = sessions.routes.get(dcid)
        if session is not None:
            sessions.forward(session, data, peer, dcid)
        elif peer in sessions.by_address:
            sessions.forward(sessions.by_address[peer], data, peer)
        elif 0 < length <= len(data) - 1:
            self._routed(data, peer, dcid)
        else:
            # Not even a reset: without the whole id no token can be made that the client knows.
            self.ctx.counters.add("quic unroutable")

    def _long(self, data: bytes, peer: ClientAddress) -> None:
        ctx, sessions = self.ctx, self.sessions
        seen = parse_invariants(data)
        dcid = seen.dcid
        if seen.version not in VERSIONS:
            self.answers.negotiate(data, peer, seen)
        elif (session := sessions.chosen.get(dcid, ctx.now)) is not None:
            placing = session.placing
            packets = long_packets(data)
            if peer != (placing.peer if placing is not None else session.path and session.path.peer):
                # A client has one address until its handshake is over (RFC 9000, 9). Guards against copies from
                # elsewhere that would open paths to the runner.
                ctx.counters.add("quic from elsewhere")
            elif any(p.type is QuicPacketType.INITIAL for p in packets) and len(data) < FIRST_DATAGRAM:
                ctx.counters.add("quic short initials")  # RFC 9000, 14.1
            elif placing is None:
                sessions.forward(session, data, peer)
            else:
                self.placements.take(session, placing, data, packets)
        elif sessions.chosen.has(dcid, ctx.now):
            ctx.counters.add("quic answered before")  # another answer would be a second
        elif (session := sessions.routes.get(dcid)) is not None:
            sessions.forward(session, data, peer, dcid)
        else:
            self._unknown_long(data, peer, dcid)
        self.placements.settle()

    def _unknown_long(self, data: bytes, peer: ClientAddress, dcid: bytes) -> None:
        """A long header with an id that nothing is remembered of."""
        packets = long_packets(data)
        kind = packets[0].type if packets else None
        if kind is QuicPacketType.INITIAL:
            self._initial(data, peer, packets)
        elif kind is QuicPacketType.RETRY:
            raise MalformedPacketError("a Retry from a client")
        elif kind is QuicPacketType.ZERO_RTT and not self.ctx.directory.routable(dcid):
            # It has overtaken its Initial, or that was lost (RFC 9000, 5.2.2).
            held = self._orphans.get(dcid, self.ctx.now) or []
            if len(held) < ORPHANS_OF_ID:
                self._orphans.put(dcid, [*held, data], self.ctx.now)
        elif peer in self.sessions.by_address:
            self.sessions.forward(self.sessions.by_address[peer], data, peer)
        else:
            self._routed(data, peer, dcid)

    def _initial(self, data: bytes, peer: ClientAddress, packets: list[Packet]) -> None:
        """An Initial to an id that nothing is remembered of: a client opens a connection, or one that another
        balancer has placed goes on here.
        """
        ctx, packet = self.ctx, packets[0]
        if len(data) < FIRST_DATAGRAM:
            ctx.counters.add("quic short initials")
            return
        proven, original = False, packet.dcid
        if packet.token and ctx.settings.retry is not None:
            verdict, proof = ctx.settings.retry.tokens.check(packet.token, peer[0], peer[1], packet.dcid, ctx.unix())
            ctx.counters.add(f"quic tokens {verdict.value}")
            if verdict is TokenVerdict.VALID and proof is not None:
                proven, original = True, proof.original
            elif verdict is not TokenVerdict.NONE:
                self.sessions.chosen.put(packet.dcid, None, ctx.now)
                self.answers.invalid_token(packet, peer)
                return
        runner = (
            ctx.directory.routable(packet.dcid)
            and ctx.directory.read(packet.dcid, ctx.unix()).kind is ConnectionIdKind.RUNNER
        )
        if (
            not proven
            and not runner
            and len(packet.dcid) >= LEAST_CHOSEN
            and self._gate is not None
            and self._gate.unproven(ctx.now, self.placements.pending)
        ):
            self.answers.retry(packet, peer)
            return
        if not self._openings.take(ctx.now):
            # Opening one costs some hashing. Not sent on by its id either: that would be a new session which
            # the module has not placed.
            ctx.counters.add("quic initials held back")
            return
        flight = Flight(packet.dcid)
        opened = flight.first(packet) if len(packet.dcid) >= LEAST_CHOSEN else None
        if opened is None and peer in self.sessions.by_address:
            self.sessions.forward(self.sessions.by_address[peer], data, peer)
        elif opened is None:
            self._routed(data, peer, packet.dcid)
        elif packet.token and runner and not proven:
            # A runner's Retry that another balancer has passed on: its token is worth nothing elsewhere.
            self._routed(data, peer, packet.dcid)
        else:
            session = self.placements.begin(data, peer, packets, flight, opened, original, proven)
            for early in self._orphans.pop(packet.dcid) or () if session is not None else ():
                if session is not None and session.placing is not None:
                    self.placements.take(session, session.placing, early, long_packets(early))

    def _routed(self, data: bytes, peer: ClientAddress, dcid: bytes) -> None:
        """A datagram to an id of no known session: it goes to the runner that the id names."""
        ctx, sessions = self.ctx, self.sessions
        reading = ctx.directory.read(dcid, ctx.unix())
        if reading.kind is not ConnectionIdKind.RUNNER:
            ctx.counters.add("quic unroutable")
            ctx.counters.add(f"quic ids {reading.kind.value}")
            if reading.kind in (ConnectionIdKind.DEPARTED, ConnectionIdKind.RETIRED):
                self.answers.reset(dcid, len(data), peer)
            return
        server = ctx.fleet.find(reading.uid)
        if server is None or sessions.moved.get(dcid, ctx.now):
            self.answers.reset(dcid, len(data), peer)  # lost or moved: the client may come again at once
            return
        path = self.paths.of(peer, server)
        session = path.session if path is not None else None
        if session is None or session.placing is not None:  # another connection of the same client's
            session = sessions.adopt(peer, server)
        if session is not None:
            sessions.learn(session, dcid)
            sessions.forward(session, data, peer, dcid)

    # ------------------------------------------------------------ from runners

    def from_runner(self, data: bytes, slot: int, runner: ServerAddress) -> None:
        """A datagram that came on a socket from an address of a runner's."""
        path = self.paths.at(slot, runner)
        if path is None:
            self.ctx.counters.add("quic late returns")  # of an attempt or a session that has ended
            return
        session = path.session
        if session.placing is None:
            self.sessions.replied(session, path, data)
        else:
            self.placements.reply(session, session.placing, path, data)
            self.placements.settle()

    def unreachable(self, slot: int, runner: ServerAddress) -> None:
        """No process listens at an address to which something was sent from this socket."""
        path = self.paths.at(slot, runner)
        if path is not None:
            self.placements.unreachable(path)
            self.placements.settle()

    # ------------------------------------------------------------ time, and what the module decides by itself

    def step(self, now: float) -> None:
        """Time goes on: carry out what the module has decided meanwhile and what is due."""
        self.ctx.now = now
        self.placements.settle()
        self.placements.run_timers()

    def sweep(self) -> None:
        self.sessions.sweep()
        self.placements.settle()

    def next_timer(self) -> float | None:
        return self.placements.next_timer()
