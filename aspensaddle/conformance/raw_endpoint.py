"""An endpoint for packets that a case builds itself."""

from __future__ import annotations

from aspensaddle.conformance.link import Link
from aspensaddle.conformance.net import Address, Net


class RawEndpoint:
    """An endpoint without a protocol: it sends any bytes and stores the datagrams that it receives."""

    def __init__(self, net: Net) -> None:
        """Bind to an address in `net`."""
        self.net, self.address = net, ("", 0)
        self.link_in, self.link_out = Link(), Link()
        self.received_datagrams: list[bytes] = []
        self.sent_datagrams: list[bytes] = []
        net.bind(self)

    def send(self, data: bytes, destination: Address) -> None:
        """Send a datagram."""
        self.sent_datagrams.append(data)
        self.net.send(self, data, destination)

    def handle_datagram(self, data: bytes, source: Address) -> None:
        """Store a datagram."""
        self.received_datagrams.append(data)

    def next_timer(self) -> float | None:
        """Return None: it has no timers."""
        return None

    def run_timers(self) -> None:
        """Do nothing: it has no timers."""

    def close(self) -> None:
        """Remove the endpoint from the network."""
        self.net.remove(self)
