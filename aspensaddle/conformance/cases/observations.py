"""Observations that several cases make."""

from aspensaddle.conformance.testbed import Testbed
from aspensaddle.frontends.quic.initial import InitialKeys
from aspensaddle.frontends.quic.packets import parse_invariants, parse_long_header_packets


def close_error_code(datagram: bytes, dcid: bytes) -> int | None:
    """Return the error code of the CONNECTION_CLOSE in a server's Initial, or None if there is none.

    `dcid` is the connection ID from which the client derived its Initial keys.
    """
    for packet in parse_long_header_packets(datagram):
        frames = InitialKeys(dcid).decrypt(packet, from_client=False)
        if frames is not None and frames.close_code is not None:
            return frames.close_code
    return None


def opens_connection(testbed: Testbed, datagram: bytes) -> bool:
    """Send a datagram and return whether it opens a connection: whether a server receives its Initial."""
    dcid = parse_invariants(datagram).dcid
    testbed.raw_endpoint().send(datagram, testbed.address)
    testbed.run(0.15)
    return any(dcid in server.records.first_seen_at for server in testbed.servers)
