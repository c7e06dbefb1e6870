"""An endpoint that sends packets made by hand."""

from __future__ import annotations

from aspensaddle.conformance.link import Link
from aspensaddle.conformance.net import Address, Net


class RawEndpoint:
    """An endpoint without a protocol: it sends whatever it is given and keeps what comes."""

    def __init__(self, net: Net) -> None:
        """Take an address in `net`."""
        self.net, self.address = net, ("", 0)
        self.link_in, self.link_out = Link(), Link()
        self.got: list[bytes] = []
        self.sent: list[bytes] = []
        net.bind(self)

    def send(self, data: bytes, to: Address) -> None:
        """Send a datagram."""
        self.sent.append(data)
        self.net.send(self, data, to)

    def received(self, data: bytes, source: Address) -> None:
        """Keep a datagram."""
        self.got.append(data)

    def timer(self) -> float | None:
        """Return None: it has no timers."""
        return None

    def expired(self) -> None:
        """Do nothing: it has no timers."""

    def close(self) -> None:
        """Take it off the network."""
        self.net.drop(self)
