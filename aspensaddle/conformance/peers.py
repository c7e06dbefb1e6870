"""A QUIC client and QUIC runners. The protocol itself is the library's; what a runner behind the balancer does of
its own is here: it issues routable ids and the reset tokens that the operator's key gives."""

from __future__ import annotations

import datetime
import os
from collections import deque
from collections.abc import Callable
from functools import cache
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from aioquic.buffer import Buffer
from aioquic.quic import events
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection, QuicConnectionId
from aioquic.quic.packet import QuicPacketType, encode_quic_retry, encode_quic_version_negotiation, pull_quic_header
from aioquic.tls import SessionTicket
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

from aspensaddle.conformance.link import Link
from aspensaddle.conformance.net import Address, Net
from aspensaddle.frontends.quic.ids import IdFormat, reset_token
from aspensaddle.frontends.quic.initial import CONNECTION_REFUSED, INTERNAL_ERROR, InitialKeys
from aspensaddle.frontends.quic.packets import long_packets, parse_invariants
from aspensaddle.frontends.quic.tokens import Tokens, Verdict

RESET_KEY = bytes(range(32))
ALPN = ("lines",)
V1, V2 = 1, 0x6B3343CF


@cache
def server_configuration() -> QuicConfiguration:
    """A certificate of its own, made once a process, and what runners have in common."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "runner")])
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .sign(key, hashes.SHA256())
    )
    with TemporaryDirectory() as folder:
        cert, private = Path(folder) / "cert.pem", Path(folder) / "key.pem"
        cert.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        private.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
            )
        )
        configuration = QuicConfiguration(is_client=False)
        configuration.load_cert_chain(cert, private)
    return configuration


class ServerConnection(QuicConnection):
    """A server's side whose ids are made by the runner."""

    def __init__(self, issue: Callable[[], bytes], **more: Any) -> None:
        super().__init__(**more)
        self.issue = issue
        self._host_cids = [self._new_id(0)]
        self.host_cid = self._local_initial_source_connection_id = self._host_cids[0].cid

    def _new_id(self, number: int) -> QuicConnectionId:
        cid = self.issue()
        return QuicConnectionId(
            cid=cid, sequence_number=number, was_sent=number == 0, stateless_reset_token=reset_token(RESET_KEY, cid)
        )

    def _replenish_connection_ids(self) -> None:
        while self.host_cid and len(self._host_cids) < min(8, self._remote_active_connection_id_limit):
            self._host_cids.append(self._new_id(self._host_cid_seq))
            self._host_cid_seq += 1

    def ids(self) -> list[bytes]:
        return [known.cid for known in self._host_cids]


class QuicServer:
    """Answers each stream with its uid and what was said.

    `mode`: ok, retry (its own), negotiate (knows version 2 only), refuse, fail, silent, generous (answers with
    more than three times what came). `tokens`: what it checks the front's Retry tokens with.
    """

    def __init__(
        self,
        net: Net,
        uid: str,
        form: IdFormat,
        server_id: bytes,
        mode: str = "ok",
        tokens: Tokens | None = None,
        issue: Callable[[], bytes] | None = None,
        versions: tuple[int, ...] = (V1, V2),
        tickets: dict[bytes, SessionTicket] | None = None,
        unix: Callable[[], float] | None = None,
    ) -> None:
        self.net, self.uid, self.mode = net, uid, mode
        self.form, self.server_id, self.tokens = form, server_id, tokens
        self.issue = issue or (lambda: self.form.encode(self.server_id))
        self.versions, self.tickets = versions, tickets if tickets is not None else {}
        self.unix = unix or net.now
        self.link_in, self.link_out = Link(), Link()
        self.address: Address = ("", 0)
        self.offered = self.begun = self.datagrams = 0
        self.asked: list[bytes] = []  # what clients said to it, each once
        self.sources: set[Address] = set()
        self.first_seen: dict[bytes, float] = {}  # when a client-chosen id first came here
        self.seen: deque[bytes] = deque(maxlen=1000)  # the latest datagrams that came
        self.early = 0  # streams that came in 0-RTT
        self.tokens_seen: list[Verdict] = []
        self.held: list[ServerConnection] = []
        self._by_id: dict[bytes, ServerConnection] = {}
        self._lengths: set[int] = set()
        self._by_peer: dict[Address, ServerConnection] = {}
        net.bind(self)

    def close(self) -> None:
        self.net.drop(self)

    def target(self, **more: Any) -> dict[str, Any]:
        """Its entry in a list."""
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

    # ------------------------------------------------------------ datagrams

    def received(self, data: bytes, source: Address) -> None:
        self.datagrams += 1
        self.sources.add(source)
        self.seen.append(data)
        connection = self._find(data, source)
        if connection is None:
            connection = self._unknown(data, source)
        if connection is not None:
            connection.receive_datagram(data, source, self.net.now())
            self._after(connection)

    def _find(self, data: bytes, source: Address) -> ServerConnection | None:
        if data[0] & 0x80:
            dcid = parse_invariants(data).dcid
            return self._by_id.get(dcid) if dcid else self._by_peer.get(source)
        for length in self._lengths:
            if (found := self._by_id.get(data[1 : 1 + length])) is not None:
                return found
        return self._by_peer.get(source)

    def _unknown(self, data: bytes, source: Address) -> ServerConnection | None:
        """A client's first Initial, as far as this runner takes it."""
        try:
            header = pull_quic_header(Buffer(data=data), host_cid_length=8)
        except ValueError:
            return None
        dcid = header.destination_cid
        if header.version is None or header.packet_type is not QuicPacketType.INITIAL:
            return None
        self.offered += 1
        self.first_seen.setdefault(dcid, self.net.now())
        if header.version not in self.versions:
            self._say(
                encode_quic_version_negotiation(
                    source_cid=dcid, destination_cid=header.source_cid, supported_versions=list(self.versions)
                ),
                source,
            )
        elif self.mode in ("refuse", "fail"):
            code = CONNECTION_REFUSED if self.mode == "refuse" else INTERNAL_ERROR
            (packet, *_) = long_packets(data)
            self._say(InitialKeys(packet.dcid).close(packet.version, packet.scid, code, b""), source)
        elif self.mode == "retry" and not header.token:
            self._say(encode_quic_retry(header.version, self.issue(), header.source_cid, dcid, dcid), source)
        elif self.mode in ("ok", "retry", "generous"):
            return self._begin(dcid, header.token, source)
        return None

    def _begin(self, dcid: bytes, token: bytes, source: Address) -> ServerConnection:
        original, retried = dcid, None
        if self.mode == "retry" and token:
            original, retried = token, dcid
        elif self.tokens is not None and token:
            # It sees the balancer's address, not the client's: only the ids and the time can be checked here.
            proof = self.tokens.read(token, self.unix())
            self.tokens_seen.append(Verdict.NONE if proof is None else Verdict.VALID)
            if proof is not None:
                original, retried = proof.original, dcid
        self.begun += 1
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
        self.held.append(connection)
        self._by_id[dcid] = connection
        self._by_peer[source] = connection
        return connection

    def timer(self) -> float | None:
        return min((at for c in self.held if (at := c.get_timer()) is not None), default=None)

    def expired(self) -> None:
        for connection in list(self.held):
            at = connection.get_timer()
            if at is not None and at <= self.net.now():
                connection.handle_timer(self.net.now())
                self._after(connection)

    def _after(self, connection: ServerConnection) -> None:
        while (event := connection.next_event()) is not None:
            if isinstance(event, events.StreamDataReceived) and event.end_stream:
                self.asked.append(event.data)
                self.early += not connection._handshake_complete
                connection.send_stream_data(event.stream_id, self.uid.encode() + b" " + event.data, True)
            elif isinstance(event, events.ConnectionTerminated) and connection in self.held:
                self.held.remove(connection)
        for data, peer in connection.datagrams_to_send(self.net.now()):
            for _ in range(5 if self.mode == "generous" and len(data) >= 1200 else 1):
                self._say(data, peer)
        for cid in connection.ids():
            self._by_id[cid] = connection
            self._lengths.add(len(cid))

    def _say(self, data: bytes, to: Address) -> None:
        if self.mode != "silent":
            self.net.send(self, data, to)


class ClientConnection(QuicConnection):
    """A client's side, also without ids of its own, as browsers have none."""

    def _replenish_connection_ids(self) -> None:
        if self.host_cid:
            super()._replenish_connection_ids()


class QuicClient:
    """A browser's side. It can change its port, its ids and its balancer, and knows a stateless reset when it sees
    one. `hold` keeps what it would send in `held` for the case to send as it likes."""

    def __init__(
        self,
        net: Net,
        frontend_address: Address,
        name: str | None = "x.example",
        alpn: tuple[str, ...] = ALPN,
        versions: tuple[int, ...] = (V1,),
        original: int = 0,
        id_length: int = 8,
        token: bytes = b"",
        large: bool = False,
        ticket: SessionTicket | None = None,
        early: bytes = b"",
        hold: bool = False,
        link_in: Link | None = None,
        link_out: Link | None = None,
    ) -> None:
        self.net, self.frontend_address = net, frontend_address
        self.link_in, self.link_out = link_in or Link(), link_out or Link()
        self.address: Address = ("", 0)
        self.answers: list[bytes] = []
        self.ended: list[events.ConnectionTerminated] = []
        self.ready = self.reset = False
        self.in_octets = self.out_octets = self.datagrams_in = 0
        self.got: list[bytes] = []  # every datagram that came
        self.sent: list[bytes] = []  # the first few that went
        self.hold, self.held = hold, list[bytes]()
        self.tickets: list[SessionTicket] = []
        self.tokens: set[bytes] = set()
        net.bind(self)
        self.connection = ClientConnection(
            configuration=QuicConfiguration(
                is_client=True,
                alpn_protocols=list(alpn),
                verify_mode=0,
                idle_timeout=60,
                server_name=name,
                connection_id_length=8,
                supported_versions=list(versions),
                token=token,
                original_version=original or versions[0],
                quantum_readiness_test=large,
                session_ticket=ticket,
            ),
            session_ticket_handler=self.tickets.append,
        )
        if id_length != 8:
            self._identify(id_length)
        if early:
            self.connection.send_stream_data(self.connection.get_next_available_stream_id(), early, True)
        self.connection.connect(frontend_address, now=net.now())
        self.flush()

    def _identify(self, length: int) -> None:
        cid = os.urandom(length)
        self.connection._host_cids[0].cid = self.connection.host_cid = cid
        self.connection._local_initial_source_connection_id = cid
        self.connection._configuration.connection_id_length = length

    @property
    def chosen(self) -> bytes:
        """The id that it made up."""
        return self.connection.original_destination_connection_id

    def flush(self) -> None:
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
        if len(self.sent) < 8:
            self.sent.append(data)
        self.out_octets += len(data)
        self.net.send(self, data, self.frontend_address)

    def received(self, data: bytes, source: Address) -> None:
        self.datagrams_in += 1
        self.in_octets += len(data)
        if len(self.got) < 64:
            self.got.append(data)
        known = [self.connection._peer_cid, *self.connection._peer_cid_available]
        self.tokens |= {c.stateless_reset_token for c in known if c.stateless_reset_token}
        if data[-16:] in self.tokens:
            self.reset = True
        elif data:
            # Balancers share an address, so whichever answers is the one it asked.
            self.connection.receive_datagram(data, self.connection._network_paths[0].addr, self.net.now())
            self.flush()

    def timer(self) -> float | None:
        return None if self.reset else self.connection.get_timer()

    def expired(self) -> None:
        self.connection.handle_timer(self.net.now())
        self.flush()

    def say(self, text: bytes) -> None:
        self.connection.send_stream_data(self.connection.get_next_available_stream_id(), text, end_stream=True)
        self.flush()

    def rebind(self) -> None:
        """Another source port, as after a change of network."""
        self.net.bind(self)

    def change_id(self) -> None:
        self.connection.change_connection_id()

    def close(self) -> None:
        self.net.drop(self)


class RawEndpoint:
    """An address that sends whatever it is given, and keeps what comes."""

    def __init__(self, net: Net) -> None:
        self.net, self.address = net, ("", 0)
        self.link_in, self.link_out = Link(), Link()
        self.got: list[bytes] = []
        self.sent: list[bytes] = []
        net.bind(self)

    def send(self, data: bytes, to: Address) -> None:
        self.sent.append(data)
        self.net.send(self, data, to)

    def received(self, data: bytes, source: Address) -> None:
        self.got.append(data)

    def timer(self) -> float | None:
        return None

    def expired(self) -> None:
        pass

    def close(self) -> None:
        self.net.drop(self)
