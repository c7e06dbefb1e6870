"""Builds packets by hand: Initials with what no library would put into them, headers with impossible lengths."""

from __future__ import annotations

import os

from aioquic.buffer import encode_uint_var
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.crypto import CryptoPair
from aioquic.quic.packet import QuicPacketType, encode_long_header_first_byte

from aspensaddle.frontends.quic.initial import CONNECTION_CLOSE, CRYPTO, InitialKeys
from aspensaddle.frontends.quic.packets import parse_long_header_packets

CLIENT_CONNECTION_ID = b"client"  # of clients made by hand
LENGTH_SIZE, NUMBER_SIZE, TAG_SIZE = 2, 2, 16  # octets of the length, the packet number and the AEAD tag
INITIAL_DATAGRAM_SIZE = 1200  # octets of a datagram with a client's Initial


def client_hello(
    name: str | None = "x.example",
    alpn: tuple[str, ...] = ("lines",),
    large: bool = False,
    size: int = 0,
    scid: bytes = CLIENT_CONNECTION_ID,
) -> bytes:
    """Return a whole TLS ClientHello, of at least `size` octets, of a client whose id is `scid`."""
    if size:
        alpn = (*alpn, *(f"pad-{i}".ljust(200, "x") for i in range(size // 200)))
    client = QuicConnection(
        configuration=QuicConfiguration(
            is_client=True, server_name=name, alpn_protocols=list(alpn), quantum_readiness_test=large
        )
    )
    client._host_cids[0].cid = client.host_cid = client._local_initial_source_connection_id = scid
    client.connect(("127.0.0.1", 1), now=0.0)
    pieces: dict[int, bytes] = {}
    for data, _ in client.datagrams_to_send(now=0.0):
        for packet in parse_long_header_packets(data):
            frames = InitialKeys(packet.dcid).decrypt(packet, from_client=True)
            pieces.update(frames.crypto if frames is not None else [])
    return b"".join(pieces[offset] for offset in sorted(pieces))


def crypto_frame(offset: int, data: bytes) -> bytes:
    """Return a CRYPTO frame."""
    return bytes([CRYPTO]) + encode_uint_var(offset) + encode_uint_var(len(data)) + data


def client_hello_frame(
    name: str | None = "x.example", alpn: tuple[str, ...] = ("lines",), large: bool = False, size: int = 0
) -> bytes:
    """Return a CRYPTO frame with a whole ClientHello, see `client_hello`."""
    return crypto_frame(0, client_hello(name, alpn, large, size))


def connection_close_frame(code: int) -> bytes:
    """Return a CONNECTION_CLOSE frame with an error code and no reason."""
    return bytes([CONNECTION_CLOSE]) + encode_uint_var(code) + b"\x00\x00"


def initial_packet(
    dcid: bytes,
    frames: bytes,
    scid: bytes = CLIENT_CONNECTION_ID,
    version: int = 1,
    token: bytes = b"",
    number: int = 0,
    size: int = INITIAL_DATAGRAM_SIZE,
    keys_from: bytes | None = None,
    server: bool = False,
) -> bytes:
    """Return one protected Initial, padded so that it fills a datagram of `size` octets.

    Its keys are derived from `keys_from`, or from `dcid` if that is None; `server` makes it a server's.
    """
    head = (
        bytes([encode_long_header_first_byte(version, QuicPacketType.INITIAL, 1)])
        + version.to_bytes(4, "big")
        + bytes([len(dcid)])
        + dcid
        + bytes([len(scid)])
        + scid
        + encode_uint_var(len(token))
        + token
    )
    padding = max(0, size - len(head) - LENGTH_SIZE - NUMBER_SIZE - len(frames) - TAG_SIZE)
    payload = frames + bytes(padding)
    length = NUMBER_SIZE + len(payload) + TAG_SIZE
    header = head + (length | 0x4000).to_bytes(2, "big") + number.to_bytes(2, "big")
    pair = CryptoPair()
    pair.setup_initial(dcid if keys_from is None else keys_from, is_client=not server, version=version)
    return pair.encrypt_packet(header, payload, number)


def long_header_packet(version: int, dcid: bytes, scid: bytes, rest: bytes, first: int = 0xC3) -> bytes:
    """Return a packet with a long header by the invariants alone (RFC 8999, 5.1)."""
    return bytes([first]) + version.to_bytes(4, "big") + bytes([len(dcid)]) + dcid + bytes([len(scid)]) + scid + rest


def zero_rtt_packet(dcid: bytes, scid: bytes = CLIENT_CONNECTION_ID, version: int = 1, size: int = 300) -> bytes:
    """Return a 0-RTT packet whose protected part is random, which only its server could tell."""
    first = encode_long_header_first_byte(version, QuicPacketType.ZERO_RTT, 1)
    body = os.urandom(size)
    return long_header_packet(version, dcid, scid, (len(body) | 0x4000).to_bytes(2, "big") + body, first)


def handshake_packet(dcid: bytes, scid: bytes = CLIENT_CONNECTION_ID, version: int = 1, size: int = 200) -> bytes:
    """Return a Handshake packet whose protected part is random."""
    first = encode_long_header_first_byte(version, QuicPacketType.HANDSHAKE, 1)
    body = os.urandom(size)
    return long_header_packet(version, dcid, scid, (len(body) | 0x4000).to_bytes(2, "big") + body, first)


def short_header_packet(dcid: bytes, size: int = 60, first: int = 0x41) -> bytes:
    """Return a packet with a short header and a random remainder."""
    return bytes([first]) + dcid + os.urandom(max(0, size - 1 - len(dcid)))
