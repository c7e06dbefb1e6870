"""Packet headers as a load balancer sees them.

These are the version-independent properties (invariants) of RFC 8999 and the headers of RFC 9000 (17) and RFC 9369
(3.2).
"""

from __future__ import annotations

import os
from dataclasses import dataclass

from aioquic.buffer import Buffer, BufferReadError
from aioquic.quic.crypto import CryptoError
from aioquic.quic.packet import (
    QuicPacketType,
    QuicProtocolVersion,
    encode_quic_version_negotiation,
    get_retry_integrity_tag,
    pull_quic_header,
)

SUPPORTED_VERSIONS = (QuicProtocolVersion.VERSION_1, QuicProtocolVersion.VERSION_2)
MIN_INITIAL_DATAGRAM_BYTES = 1200  # minimum size of a datagram with a client's Initial (RFC 9000, 14.1)
MIN_STATELESS_RESET_BYTES = 21
MIN_CLIENT_CHOSEN_DCID_BYTES = 8  # minimum length of a DCID that a client chooses (RFC 9000, 7.2)
MAX_PACKETS_PER_DATAGRAM = 8


class MalformedPacketError(Exception):
    """A datagram is not a valid QUIC datagram."""


@dataclass(slots=True)
class InvariantHeader:
    """The header fields of a datagram's first packet that are the same in every QUIC version (RFC 8999)."""

    is_long: bool
    version: int
    dcid: bytes  # in a short header, everything after the first byte, as its length is not in the header
    scid: bytes


def parse_invariants(data: bytes) -> InvariantHeader:
    """Return the version-independent header of a datagram's first packet.

    Raises:
        MalformedPacketError: the datagram is empty or ends within its header.
    """
    if not data:
        raise MalformedPacketError("the datagram is empty")
    if not data[0] & 0x80:
        return InvariantHeader(False, 0, data[1:], b"")
    buf = Buffer(data=data)
    try:
        buf.pull_uint8()
        version = buf.pull_uint32()
        dcid = buf.pull_bytes(buf.pull_uint8())
        scid = buf.pull_bytes(buf.pull_uint8())
    except BufferReadError:
        raise MalformedPacketError("the datagram ends within its long header") from None
    return InvariantHeader(True, version, dcid, scid)


@dataclass(slots=True)
class Packet:
    """A long-header packet of a supported version. `data` is the whole packet."""

    type: QuicPacketType
    version: int
    dcid: bytes
    scid: bytes
    token: bytes
    data: bytes
    protected_offset: int  # offset of the protected part in `data`

    def is_retry_for(self, dcid: bytes) -> bool:
        """Return whether this is a Retry whose sender has seen the Initial sent to that connection ID."""
        try:
            tag = get_retry_integrity_tag(self.data[:-16], dcid, version=self.version)
        except (CryptoError, ValueError):
            return False
        return self.type is QuicPacketType.RETRY and self.data[-16:] == tag


def parse_long_header_packets(data: bytes) -> list[Packet]:
    """Return the long-header packets at the start of a datagram, up to the first that cannot be parsed."""
    packets: list[Packet] = []
    while data and data[0] & 0x80 and len(packets) < MAX_PACKETS_PER_DATAGRAM:
        buf = Buffer(data=data)
        try:
            header = pull_quic_header(buf)
        except (BufferReadError, ValueError):
            break
        if header.version not in SUPPORTED_VERSIONS:
            break
        end = header.packet_length
        packets.append(
            Packet(
                header.packet_type,
                header.version,
                header.destination_cid,
                header.source_cid,
                header.token,
                data[:end],
                buf.tell(),
            )
        )
        data = data[end:]
    return packets


def encode_version_negotiation(header: InvariantHeader) -> bytes:
    """Return a Version Negotiation packet that answers a packet with this header."""
    return encode_quic_version_negotiation(
        source_cid=header.dcid,
        destination_cid=header.scid,
        supported_versions=[int(version) for version in SUPPORTED_VERSIONS],
    )


def encode_stateless_reset(token: bytes, trigger_bytes: int) -> bytes | None:
    """Return a stateless reset for a datagram of `trigger_bytes` bytes; None if that is too small.

    The reset is smaller than the datagram, so that two endpoints cannot answer each other's resets for ever.
    """
    size = min(trigger_bytes - 1, 42)
    if size < MIN_STATELESS_RESET_BYTES:
        return None
    random_bytes = bytearray(os.urandom(size - len(token)))
    random_bytes[0] = random_bytes[0] & 0x3F | 0x40
    return bytes(random_bytes) + token


def is_version_negotiation_for(data: bytes, version: int, dcid: bytes, scid: bytes) -> bool:
    """Return whether a server's datagram is a valid Version Negotiation for a client's Initial.

    It swaps the Initial's connection IDs, and its versions do not include that of the Initial (RFC 9000, 6.2).

    Args:
        data: the server's datagram.
        version: the version of the Initial.
        dcid: the Destination Connection ID of the Initial.
        scid: the Source Connection ID of the Initial.
    """
    try:
        header = parse_invariants(data)
    except MalformedPacketError:
        return False
    version_list = data[7 + len(header.dcid) + len(header.scid) :]
    versions = {
        int.from_bytes(version_list[start : start + 4], "big") for start in range(0, len(version_list) - 3, 4)
    }
    return (
        header.is_long
        and header.version == 0
        and (header.dcid, header.scid) == (scid, dcid)
        and bool(versions)
        and version not in versions
    )
