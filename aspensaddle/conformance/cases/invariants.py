"""RFC 8999: the properties that all versions of QUIC have."""

import os

from aspensaddle.conformance.packet_builder import long_header_packet, short_header_packet
from aspensaddle.conformance.suite import case
from aspensaddle.conformance.testbed import Testbed
from aspensaddle.frontends.quic.packets import parse_invariants

UNKNOWN_VERSION = 0x1A2A3A4A  # reserved, so that no endpoint supports it (RFC 9000, 15)


def _request_version_negotiation(testbed: Testbed, dcid: bytes, scid: bytes) -> tuple[bytes, bytes]:
    """Send a packet of an unknown version; return it and the response."""
    raw, data = testbed.raw_endpoint(), long_header_packet(UNKNOWN_VERSION, dcid, scid, bytes(1200))
    raw.send(data, testbed.address)
    testbed.wait(lambda: raw.received_datagrams, "a Version Negotiation")
    return data, raw.received_datagrams[0]


@case("8999-6", "A full-size datagram of an unknown version gets a Version Negotiation with swapped connection IDs")
def negotiation_swaps_cids(testbed: Testbed) -> None:
    _, response = _request_version_negotiation(testbed, b"dest-id!", b"source")
    header = parse_invariants(response)
    testbed.check(
        (header.version, header.dcid, header.scid) == (0, b"source", b"dest-id!"),
        "version 0 and swapped connection IDs",
    )


@case("8999-6", "A Version Negotiation lists the supported versions, and not the version of the client")
def negotiation_lists_versions(testbed: Testbed) -> None:
    _, response = _request_version_negotiation(testbed, b"dest-id!", b"source")
    version_list = response[7 + 8 + 6 :]
    versions = {int.from_bytes(version_list[i : i + 4], "big") for i in range(0, len(version_list), 4)}
    testbed.check(
        {1, 0x6B3343CF} <= versions and UNKNOWN_VERSION not in versions,
        f"versions 1 and 2 without the unknown one, not {versions}",
    )


@case("8999-5.1", "Connection IDs of unknown versions may have 255 bytes and are returned unchanged")
def negotiation_with_long_cids(testbed: Testbed) -> None:
    dcid, scid = os.urandom(255), os.urandom(255)
    packet, response = _request_version_negotiation(testbed, dcid, scid)
    header = parse_invariants(response)
    testbed.check(
        (header.dcid, header.scid) == (scid, dcid) and len(response) <= len(packet),
        "unchanged connection IDs in a response no larger than the packet",
    )


@case("8999-6", "A Version Negotiation gets no response")
def negotiation_without_response(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    raw.send(long_header_packet(0, b"dest-id!", b"source", b"\x1a\x2a\x3a\x4a" + bytes(1200)), testbed.address)
    testbed.expect_silence([raw], "a Version Negotiation")


@case("9000-6.1", "A small datagram of an unknown version gets no response")
def small_unknown_version(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    raw.send(long_header_packet(UNKNOWN_VERSION, b"dest-id!", b"source", bytes(600)), testbed.address)
    testbed.expect_silence([raw], "a small datagram")


@case("8999-5.1", "A long header that is truncated within its connection IDs is dropped")
def truncated_long_header(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    for data in (b"\xc3", b"\xc3\0\0\0\1", b"\xc3\0\0\0\1\x08abc", b"\xc3\0\0\0\1\x02ab\xffabc"):
        raw.send(data, testbed.address)
    testbed.expect_silence([raw], "truncated headers")
    testbed.check(testbed.counter_increase("quic malformed") >= 4, "all of them counted as malformed")


@case("8999-5.2", "A short header is routed by its connection ID alone, whatever its other bits are (also RFC 9287)")
def short_header_routed_by_cid_alone(testbed: Testbed) -> None:
    raw, server = testbed.raw_endpoint(), testbed.servers[1]
    for first in (0x40, 0x00, 0x7F):
        raw.send(short_header_packet(server.issue(), first=first), testbed.address)
    testbed.wait(
        lambda: testbed.servers_reached(raw) == ["s-1"] * 3,
        "all three datagrams at the server that the connection ID names",
    )


@case("8999-5", "Datagrams too short for any header, or empty, are dropped")
def datagram_without_header(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    for data in (b"", b"\0", b"\x40", b"\x80", b"\xff"):
        raw.send(data, testbed.address)
    testbed.expect_silence([raw], "datagrams without a header")


@case("9000-5.2.2", "A short header with a connection ID of no configuration is dropped and counted")
def short_header_of_no_configuration(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    raw.send(b"\x41" + b"\x7f" + bytes(60), testbed.address)
    testbed.expect_silence([raw], "a connection ID of no configuration")
    testbed.check(testbed.counter_increase("quic unroutable") == 1, "one datagram counted as unroutable")
