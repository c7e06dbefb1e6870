"""QUIC packets as a balancer sees them: the invariants of RFC 8999, the headers of RFC 9000 (17) and 9369 (3.2)."""

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
MIN_INITIAL_DATAGRAM_BYTES = 1200  # octets at least of a datagram with a client's Initial
MIN_STATELESS_RESET_BYTES = 21  # octets of a stateless reset
MIN_CLIENT_CHOSEN_DCID_BYTES = 8  # octets of an id that a client makes up (RFC 9000, 7.2)
MAX_PACKETS_PER_DATAGRAM = 8  # in a datagram


class MalformedPacketError(Exception):
    """A datagram that is no QUIC."""


@dataclass(slots=True)
class InvariantHeader:
    """What RFC 8999 says of a datagram's first packet, for every version there will be."""

    long: bool
    version: int
    dcid: bytes  # with a short header: all that follows the first octet
    scid: bytes


def parse_invariants(data: bytes) -> InvariantHeader:
    if not data:
        raise MalformedPacketError("empty")
    if not data[0] & 0x80:
        return InvariantHeader(False, 0, data[1:], b"")
    buf = Buffer(data=data)
    try:
        buf.pull_uint8()
        version = buf.pull_uint32()
        dcid = buf.pull_bytes(buf.pull_uint8())
        scid = buf.pull_bytes(buf.pull_uint8())
    except BufferReadError:
        raise MalformedPacketError("cut short") from None
    return InvariantHeader(True, version, dcid, scid)


@dataclass(slots=True)
class Packet:
    """One long-header packet of a known version."""

    type: QuicPacketType
    version: int
    dcid: bytes
    scid: bytes
    token: bytes
    data: bytes
    protected_offset: int  # where the protected part begins

    def is_retry_for(self, dcid: bytes) -> bool:
        """Whether this is a Retry whose sender has seen the Initial sent to that id."""
        try:
            tag = get_retry_integrity_tag(self.data[:-16], dcid, version=self.version)
        except (CryptoError, ValueError):
            return False
        return self.type is QuicPacketType.RETRY and self.data[-16:] == tag


def parse_long_header_packets(data: bytes) -> list[Packet]:
    """The long-header packets at the start of a datagram. What can't be read ends the list."""
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


def encode_version_negotiation(seen: InvariantHeader) -> bytes:
    return encode_quic_version_negotiation(
        source_cid=seen.dcid, destination_cid=seen.scid, supported_versions=[int(v) for v in SUPPORTED_VERSIONS]
    )


def encode_stateless_reset(token: bytes, trigger: int) -> bytes | None:
    """A reset smaller than the datagram that calls for it, so that two of its kind can't answer each other
    for ever; None where there is no room.
    """
    size = min(trigger - 1, 42)
    if size < MIN_STATELESS_RESET_BYTES:
        return None
    noise = bytearray(os.urandom(size - len(token)))
    noise[0] = noise[0] & 0x3F | 0x40
    return bytes(noise) + token


def is_version_negotiation_for(data: bytes, version: int, dcid: bytes, scid: bytes) -> bool:
    """Whether a server's datagram is a Version Negotiation for the client's Initial that had these fields: the
    ids come back the other way round and the version is not among those offered (RFC 9000, 6.2).
    """
    try:
        seen = parse_invariants(data)
    except MalformedPacketError:
        return False
    offered = data[7 + len(seen.dcid) + len(seen.scid) :]
    versions = {int.from_bytes(offered[i : i + 4], "big") for i in range(0, len(offered) - 3, 4)}
    return (
        seen.long
        and seen.version == 0
        and (seen.dcid, seen.scid) == (scid, dcid)
        and bool(versions)
        and version not in versions
    )
