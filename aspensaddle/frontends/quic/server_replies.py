"""What a server's first datagrams in an attempt say. No I/O.

Only packets that the keys of the client's Initial decrypt, or that prove in another way that the server has seen it,
say anything.
"""

from __future__ import annotations

from dataclasses import dataclass

from aspensaddle.frontends.quic.packets import is_version_negotiation_for, parse_long_header_packets
from aspensaddle.frontends.quic.session import SetupState


@dataclass(frozen=True, slots=True)
class Redirected:
    """The server sent a Retry or a Version Negotiation; the client continues to the connection ID `dcid`."""

    dcid: bytes


@dataclass(frozen=True, slots=True)
class Closed:
    """The server closed the connection with the transport error code `code`."""

    code: int


@dataclass(frozen=True, slots=True)
class Accepted:
    """The server accepted the connection and uses the connection ID `scid`."""

    scid: bytes


ServerReply = Redirected | Closed | Accepted


def read_server_reply(setup: SetupState, data: bytes) -> ServerReply | None:
    """Return what a server's datagram says; None if it says nothing or is not authentic."""
    if is_version_negotiation_for(data, setup.version, setup.dcid, setup.scid):
        return Redirected(setup.dcid)
    for packet in parse_long_header_packets(data):
        if packet.is_retry_for(setup.dcid):
            return Redirected(packet.scid)
        frames = setup.flight.keys.decrypt(packet, from_client=False)
        if frames is None:
            continue
        if frames.close_code is not None:
            return Closed(frames.close_code)
        if frames.crypto:
            return Accepted(packet.scid)
    return None
