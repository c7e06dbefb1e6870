"""Builds packets that no QUIC library would send, such as Initials with forbidden frames or invalid lengths."""

from __future__ import annotations

import os

from aioquic.buffer import encode_uint_var
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.crypto import CryptoPair
from aioquic.quic.packet import QuicPacketType, encode_long_header_first_byte

from aspensaddle.frontends.quic.initial import CONNECTION_CLOSE, CRYPTO, InitialKeys
from aspensaddle.frontends.quic.packets import parse_long_header_packets

CLIENT_CONNECTION_ID = b"client"  # the source connection ID of packets built here
LENGTH_BYTES = 2  # size of the length field in the Initials built here
PACKET_NUMBER_BYTES = 2
TAG_BYTES = 16  # size of the AEAD authentication tag
INITIAL_DATAGRAM_BYTES = 1200  # minimum size of a datagram with a client's Initial (RFC 9000, 14.1)


def client_hello(
    server_name: str | None = "x.example",
    alpn: tuple[str, ...] = ("lines",),
    large: bool = False,
    size: int = 0,
    scid: bytes = CLIENT_CONNECTION_ID,
) -> bytes:
    """Return a whole TLS ClientHello.

    Args:
        server_name: the SNI; None leaves it out.
        alpn: the protocols that the client offers.
        large: add the library's test of large handshakes, so that it needs several datagrams.
        size: add protocols until it has at least this many bytes.
        scid: the client's connection ID, which the transport parameters repeat.
    """
    if size:
        alpn = (*alpn, *(f"pad-{number}".ljust(200, "x") for number in range(size // 200)))
    client = QuicConnection(
        configuration=QuicConfiguration(
            is_client=True, server_name=server_name, alpn_protocols=list(alpn), quantum_readiness_test=large
        )
    )
    client._host_cids[0].cid = client.host_cid = client._local_initial_source_connection_id = scid
    client.connect(("127.0.0.1", 1), now=0.0)
    crypto_data: dict[int, bytes] = {}
    for data, _ in client.datagrams_to_send(now=0.0):
        for packet in parse_long_header_packets(data):
            frames = InitialKeys(packet.dcid).decrypt(packet, from_client=True)
            crypto_data.update(frames.crypto if frames is not None else [])
    return b"".join(crypto_data[offset] for offset in sorted(crypto_data))


def crypto_frame(offset: int, data: bytes) -> bytes:
    """Return a CRYPTO frame with `data` at `offset` of the stream."""
    return bytes([CRYPTO]) + encode_uint_var(offset) + encode_uint_var(len(data)) + data


def client_hello_frame(
    server_name: str | None = "x.example", alpn: tuple[str, ...] = ("lines",), large: bool = False, size: int = 0
) -> bytes:
    """Return a CRYPTO frame with a whole ClientHello; the arguments are those of `client_hello`."""
    return crypto_frame(0, client_hello(server_name, alpn, large, size))


def connection_close_frame(code: int) -> bytes:
    """Return a CONNECTION_CLOSE frame with an error code and an empty reason phrase."""
    return bytes([CONNECTION_CLOSE]) + encode_uint_var(code) + b"\x00\x00"


def initial_packet(
    dcid: bytes,
    frames: bytes,
    scid: bytes = CLIENT_CONNECTION_ID,
    version: int = 1,
    token: bytes = b"",
    number: int = 0,
    size: int = INITIAL_DATAGRAM_BYTES,
    keys_dcid: bytes | None = None,
    from_server: bool = False,
) -> bytes:
    """Return a protected Initial, padded so that it fills a datagram of `size` bytes.

    Its keys are derived from `keys_dcid`, or from `dcid` if that is None. With `from_server` they are the server's.
    """
    unprotected_header = (
        bytes([encode_long_header_first_byte(version, QuicPacketType.INITIAL, 1)])
        + version.to_bytes(4, "big")
        + bytes([len(dcid)])
        + dcid
        + bytes([len(scid)])
        + scid
        + encode_uint_var(len(token))
        + token
    )
    padding = max(0, size - len(unprotected_header) - LENGTH_BYTES - PACKET_NUMBER_BYTES - len(frames) - TAG_BYTES)
    payload = frames + bytes(padding)
    length = PACKET_NUMBER_BYTES + len(payload) + TAG_BYTES
    header = unprotected_header + (length | 0x4000).to_bytes(2, "big") + number.to_bytes(2, "big")
    crypto_pair = CryptoPair()
    crypto_pair.setup_initial(dcid if keys_dcid is None else keys_dcid, is_client=not from_server, version=version)
    return crypto_pair.encrypt_packet(header, payload, number)


def long_header_packet(version: int, dcid: bytes, scid: bytes, rest: bytes, first: int = 0xC3) -> bytes:
    """Return a packet with only those header fields that all versions have (RFC 8999, 5.1), followed by `rest`."""
    return bytes([first]) + version.to_bytes(4, "big") + bytes([len(dcid)]) + dcid + bytes([len(scid)]) + scid + rest


def zero_rtt_packet(dcid: bytes, scid: bytes = CLIENT_CONNECTION_ID, version: int = 1, size: int = 300) -> bytes:
    """Return a 0-RTT packet whose protected part is random, which only its server can detect."""
    first = encode_long_header_first_byte(version, QuicPacketType.ZERO_RTT, 1)
    body = os.urandom(size)
    return long_header_packet(version, dcid, scid, (len(body) | 0x4000).to_bytes(2, "big") + body, first)


def handshake_packet(dcid: bytes, scid: bytes = CLIENT_CONNECTION_ID, version: int = 1, size: int = 200) -> bytes:
    """Return a Handshake packet whose protected part is random."""
    first = encode_long_header_first_byte(version, QuicPacketType.HANDSHAKE, 1)
    body = os.urandom(size)
    return long_header_packet(version, dcid, scid, (len(body) | 0x4000).to_bytes(2, "big") + body, first)


def short_header_packet(dcid: bytes, size: int = 60, first: int = 0x41) -> bytes:
    """Return a packet of `size` bytes with a short header and random bytes after the connection ID."""
    return bytes([first]) + dcid + os.urandom(max(0, size - 1 - len(dcid)))
