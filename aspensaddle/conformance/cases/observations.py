"""What several cases look for."""

from aspensaddle.conformance.testbed import Testbed
from aspensaddle.frontends.quic.initial import InitialKeys
from aspensaddle.frontends.quic.packets import parse_invariants, parse_long_header_packets


def close_error_code(datagram: bytes, dcid: bytes) -> int | None:
    """Return the error code of the CONNECTION_CLOSE in a server's Initial, None if there is none."""
    for packet in parse_long_header_packets(datagram):
        frames = InitialKeys(dcid).decrypt(packet, from_client=False)
        if frames is not None and frames.close_code is not None:
            return frames.close_code
    return None


def opens_connection(testbed: Testbed, datagram: bytes) -> bool:
    """Send a datagram and return whether it opens a connection: some server receives its Initial."""
    dcid = parse_invariants(datagram).dcid
    testbed.raw_endpoint().send(datagram, testbed.address)
    testbed.run(0.15)
    return any(dcid in r.records.first_seen_at for r in testbed.servers)
