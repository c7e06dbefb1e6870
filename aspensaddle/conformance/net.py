"""Networks: UDP sockets on the loopback interface in real time, or simulated time without sockets.

Both run in one thread, and deliver datagrams and run timers until a condition holds. An endpoint is anything with a
UDP address here: a client, a server or a front end.
"""

from __future__ import annotations

import select
import socket
import time
from collections.abc import Callable, Iterable
from contextlib import suppress
from heapq import heappop, heappush
from itertools import count
from typing import Any, Protocol

from aspensaddle.conformance.link import Link

Address = tuple[str, int]
HOP_DELAY_SECONDS = 0.0002  # delay between two endpoints of a network without sockets


class Endpoint(Protocol):
    """A client, server or front end with a UDP address. Its datagrams pass through `link_in` and `link_out`."""

    address: Address
    link_in: Link
    link_out: Link

    def handle_datagram(self, data: bytes, source: Address) -> None:
        """Handle a datagram."""

    def next_timer(self) -> float | None:
        """Return the time of the next timer in seconds, or None if there is none."""

    def run_timers(self) -> None:
        """Run the timers that are due."""


class Net:
    """Delivers datagrams between endpoints, through their links, and runs their timers."""

    def __init__(self) -> None:
        """Create a network without endpoints."""
        self.endpoints: list[Endpoint] = []
        self._scheduled_calls: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()

    def now(self) -> float:
        """Return the time in seconds, which never decreases."""
        raise NotImplementedError

    def bind(self, endpoint: Endpoint) -> None:
        """Give an endpoint an address, or another one, as after a change of network."""
        raise NotImplementedError

    def remove(self, endpoint: Endpoint) -> None:
        """Remove an endpoint and its addresses, if it has any."""
        if endpoint in self.endpoints:
            self.endpoints.remove(endpoint)

    def _transmit(self, source: Endpoint, data: bytes, destination: Address) -> None:
        raise NotImplementedError

    def _wait_until(self, until: float) -> None:
        """Wait until the time `until`, or less long if a datagram arrives."""
        raise NotImplementedError

    def call_later(self, delay: float, callback: Callable[[], None]) -> None:
        """Call `callback` in `delay` seconds."""
        heappush(self._scheduled_calls, (self.now() + delay, next(self._sequence), callback))

    def send(self, source: Endpoint, data: bytes, destination: Address) -> None:
        """Send a datagram through the outgoing link of its source."""
        for delay, copy in source.link_out.transmit(data):
            if delay > 0:
                self.call_later(delay, lambda copy=copy: self._transmit(source, copy, destination))  # type: ignore[misc]
            else:
                self._transmit(source, copy, destination)

    def deliver(self, endpoint: Endpoint, data: bytes, source: Address) -> None:
        """Deliver a datagram through the incoming link of its destination."""
        for delay, copy in endpoint.link_in.transmit(data):
            if delay > 0:
                self.call_later(delay, lambda copy=copy: endpoint.handle_datagram(copy, source))  # type: ignore[misc]
            else:
                endpoint.handle_datagram(copy, source)

    def step(self, max_seconds: float) -> None:
        """Run the calls and timers that are due, then wait for the next one, for at most `max_seconds`."""
        now = self.now()
        while self._scheduled_calls and self._scheduled_calls[0][0] <= now:
            heappop(self._scheduled_calls)[2]()
        for endpoint in list(self.endpoints):
            due_at = endpoint.next_timer()
            if due_at is not None and due_at <= now:
                endpoint.run_timers()
        next_times = [due_at for endpoint in self.endpoints if (due_at := endpoint.next_timer()) is not None]
        if self._scheduled_calls:
            next_times.append(self._scheduled_calls[0][0])
        self._wait_until(max(now, min([now + max_seconds, *next_times])))

    def run_until(self, condition: Callable[[], Any], timeout: float = 10.0) -> bool:
        """Run the network until `condition` holds; return whether it did within `timeout` seconds."""
        stop_at = self.now() + timeout
        while not condition():
            if self.now() >= stop_at:
                return False
            self.step(min(0.05, stop_at - self.now()))
        return True

    def run(self, seconds: float) -> None:
        """Run the network for some seconds."""
        self.run_until(lambda: False, seconds)

    def close(self) -> None:
        """Remove all endpoints and close their sockets."""
        self.endpoints.clear()


class SocketNet(Net):
    """UDP sockets on the loopback interface, in real time."""

    def __init__(self) -> None:
        """Create a network without endpoints."""
        super().__init__()
        self._sockets: dict[int, tuple[socket.socket, Endpoint]] = {}
        self._epoll = select.epoll()

    def now(self) -> float:
        """Return the time of the monotonic clock."""
        return time.monotonic()

    def bind(self, endpoint: Endpoint) -> None:
        """Give an endpoint a socket of its own on a free port."""
        self.remove(endpoint)
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(("127.0.0.1", 0))
        sock.setblocking(False)
        endpoint.address = sock.getsockname()
        self._sockets[sock.fileno()] = sock, endpoint
        self._epoll.register(sock, select.EPOLLIN)
        self.endpoints.append(endpoint)

    def remove(self, endpoint: Endpoint) -> None:
        """Remove an endpoint and close its socket."""
        super().remove(endpoint)
        for fd, (sock, owner) in list(self._sockets.items()):
            if owner is endpoint:
                self._epoll.unregister(sock)
                del self._sockets[fd]
                sock.close()

    def _transmit(self, source: Endpoint, data: bytes, destination: Address) -> None:
        for sock, owner in self._sockets.values():
            if owner is source:
                with suppress(OSError):  # the datagram is lost, as on any network
                    sock.sendto(data, destination)
                return

    def _wait_until(self, until: float) -> None:
        for fd, _ in self._epoll.poll(max(0.0, until - self.now())):
            if fd not in self._sockets:
                continue
            sock, endpoint = self._sockets[fd]
            for _ in range(64):
                try:
                    data, source = sock.recvfrom(65536)
                except OSError:
                    break
                self.deliver(endpoint, data, source)

    def close(self) -> None:
        """Remove all endpoints and close their sockets."""
        for _, endpoint in list(self._sockets.values()):
            self.remove(endpoint)
        self._epoll.close()


class MemoryNet(Net):
    """Simulated time without sockets. With the same seeds of its links, it runs the same way."""

    def __init__(self) -> None:
        """Create a network without endpoints."""
        super().__init__()
        self._now = 1.8e9  # starts at this Unix time, later than every `retire_at` of the cases
        self._ports = count(10000)
        self._by_address: dict[Address, Endpoint] = {}

    def now(self) -> float:
        """Return the simulated time."""
        return self._now

    def bind(self, endpoint: Endpoint) -> None:
        """Give an endpoint an address with a new port."""
        self.remove(endpoint)
        endpoint.address = ("127.0.0.1", next(self._ports))
        self.add_addresses(endpoint, [endpoint.address])
        self.endpoints.append(endpoint)

    def add_addresses(self, endpoint: Endpoint, addresses: Iterable[Address]) -> None:
        """Give an endpoint more addresses."""
        for address in addresses:
            self._by_address[address] = endpoint

    def remove(self, endpoint: Endpoint) -> None:
        """Remove an endpoint and its addresses."""
        super().remove(endpoint)
        self._by_address = {address: other for address, other in self._by_address.items() if other is not endpoint}

    def _transmit(self, source: Endpoint, data: bytes, destination: Address) -> None:
        self.transmit(data, source.address, destination)

    def transmit(self, data: bytes, source: Address, destination: Address) -> None:
        """Carry a datagram from `source` to `destination`; it is lost if no endpoint has that address."""

        def arrive() -> None:
            if (endpoint := self._by_address.get(destination)) is not None:
                self.deliver(endpoint, data, source)

        self.call_later(HOP_DELAY_SECONDS, arrive)

    def has_address(self, destination: Address) -> bool:
        """Return whether an endpoint has the address."""
        return destination in self._by_address

    def _wait_until(self, until: float) -> None:
        self._now = max(self._now, until)
