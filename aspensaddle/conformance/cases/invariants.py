"""RFC 8999: what holds for every version of QUIC."""

import os

from aspensaddle.conformance.packet_builder import long_header_packet, short_header_packet
from aspensaddle.conformance.suite import case
from aspensaddle.conformance.testbed import Testbed
from aspensaddle.frontends.quic.packets import parse_invariants

STRANGE = 0x1A2A3A4A  # a version that nobody has (RFC 9000, 15)


def _negotiation(testbed: Testbed, dcid: bytes, scid: bytes) -> tuple[bytes, bytes]:
    """What is asked and what comes back for a version that is not known."""
    raw, data = testbed.raw_endpoint(), long_header_packet(STRANGE, dcid, scid, bytes(1200))
    raw.send(data, testbed.address)
    testbed.wait(lambda: raw.got, "a Version Negotiation")
    return data, raw.got[0]


@case("8999-6", "An unknown version in a whole datagram is answered with a Version Negotiation, ids swapped")
def negotiation_swaps_ids(testbed: Testbed) -> None:
    _, answer = _negotiation(testbed, b"dest-id!", b"source")
    seen = parse_invariants(answer)
    testbed.check(
        (seen.version, seen.dcid, seen.scid) == (0, b"source", b"dest-id!"), "version 0 and the ids swapped"
    )


@case("8999-6", "A Version Negotiation lists the versions there are, and not the one that was asked for")
def negotiation_lists_versions(testbed: Testbed) -> None:
    _, answer = _negotiation(testbed, b"dest-id!", b"source")
    listed = answer[7 + 8 + 6 :]
    versions = {int.from_bytes(listed[i : i + 4], "big") for i in range(0, len(listed), 4)}
    testbed.check(
        {1, 0x6B3343CF} <= versions and STRANGE not in versions, f"1 and 2, not the strange one: {versions}"
    )


@case("8999-5.1", "Ids of unknown versions may have 255 octets and come back whole")
def negotiation_with_long_ids(testbed: Testbed) -> None:
    dcid, scid = os.urandom(255), os.urandom(255)
    asked, answer = _negotiation(testbed, dcid, scid)
    seen = parse_invariants(answer)
    testbed.check((seen.dcid, seen.scid) == (scid, dcid) and len(answer) <= len(asked), "whole, and no larger")


@case("8999-6", "A Version Negotiation is never answered with one")
def negotiation_not_answered(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    raw.send(long_header_packet(0, b"dest-id!", b"source", b"\x1a\x2a\x3a\x4a" + bytes(1200)), testbed.address)
    testbed.expect_silence([raw], "a Version Negotiation")


@case("9000-6.1", "A small datagram of an unknown version is not answered")
def small_unknown_version(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    raw.send(long_header_packet(STRANGE, b"dest-id!", b"source", bytes(600)), testbed.address)
    testbed.expect_silence([raw], "a small datagram")


@case("8999-5.1", "A long header cut within its ids is dropped")
def cut_long_header(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    for data in (b"\xc3", b"\xc3\0\0\0\1", b"\xc3\0\0\0\1\x08abc", b"\xc3\0\0\0\1\x02ab\xffabc"):
        raw.send(data, testbed.address)
    testbed.expect_silence([raw], "cut headers")
    testbed.check(testbed.counted("quic malformed") >= 4, "all are counted as malformed")


@case("8999-5.2", "A short header goes by its id alone, whatever its other bits are (also RFC 9287)")
def short_header_by_id_alone(testbed: Testbed) -> None:
    raw, server = testbed.raw_endpoint(), testbed.servers[1]
    for first in (0x40, 0x00, 0x7F):
        raw.send(short_header_packet(server.issue(), first=first), testbed.address)
    testbed.wait(lambda: testbed.reached(raw) == ["s-1"] * 3, "all three at the runner that the id names")


@case("8999-5", "Datagrams too short for any header, or empty, are dropped")
def no_header(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    for data in (b"", b"\0", b"\x40", b"\x80", b"\xff"):
        raw.send(data, testbed.address)
    testbed.expect_silence([raw], "no header")


@case("9000-5.2.2", "A short header with an id of no configuration is dropped and counted")
def foreign_short_header(testbed: Testbed) -> None:
    raw = testbed.raw_endpoint()
    raw.send(b"\x41" + b"\x7f" + bytes(60), testbed.address)
    testbed.expect_silence([raw], "an id of nobody's")
    testbed.check(testbed.counted("quic unroutable") == 1, "it is counted")
