"""Networks of endpoints: UDP sockets on the loopback in real time, or no sockets and simulated time.

Both have one thread and deliver datagrams and run timers until a condition holds.
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
HOP = 0.0002  # seconds from one end to the other without sockets


class Endpoint(Protocol):
    """Something with an address. Its datagrams pass `link_in` and `link_out`."""

    address: Address
    link_in: Link
    link_out: Link

    def received(self, data: bytes, source: Address) -> None:
        """Handle a datagram."""

    def timer(self) -> float | None:
        """Return the time of the next timer in seconds, None if there is none."""

    def expired(self) -> None:
        """Run the timers that are due."""


class Net:
    """Endpoints, links and timers. Time only goes forward."""

    def __init__(self) -> None:
        """Create a network without endpoints."""
        self.ends: list[Endpoint] = []
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._count = count()

    def now(self) -> float:
        """Return the time in seconds."""
        raise NotImplementedError

    def bind(self, end: Endpoint) -> None:
        """Give an endpoint an address; one that has one gets another, as after a change of network."""
        raise NotImplementedError

    def drop(self, end: Endpoint) -> None:
        """Remove an endpoint."""
        if end in self.ends:
            self.ends.remove(end)

    def _carry(self, source: Endpoint, data: bytes, to: Address) -> None:
        raise NotImplementedError

    def _idle(self, until: float) -> None:
        """Let time pass, at most until then."""
        raise NotImplementedError

    def later(self, delay: float, call: Callable[[], None]) -> None:
        """Call `call` in `delay` seconds."""
        heappush(self._due, (self.now() + delay, next(self._count), call))

    def send(self, source: Endpoint, data: bytes, to: Address) -> None:
        """Send a datagram through the link of its source."""
        for delay, copy in source.link_out.pass_on(data):
            if delay > 0:
                self.later(delay, lambda copy=copy: self._carry(source, copy, to))  # type: ignore[misc]
            else:
                self._carry(source, copy, to)

    def arrive(self, end: Endpoint, data: bytes, source: Address) -> None:
        """Deliver a datagram through the link of its destination."""
        for delay, copy in end.link_in.pass_on(data):
            if delay > 0:
                self.later(delay, lambda copy=copy: end.received(copy, source))  # type: ignore[misc]
            else:
                end.received(copy, source)

    def step(self, most: float) -> None:
        """Do what is due, then let time pass until the next thing is, at most `most` seconds."""
        now = self.now()
        while self._due and self._due[0][0] <= now:
            heappop(self._due)[2]()
        for end in list(self.ends):
            at = end.timer()
            if at is not None and at <= now:
                end.expired()
        nexts = [at for end in self.ends if (at := end.timer()) is not None]
        if self._due:
            nexts.append(self._due[0][0])
        self._idle(max(now, min([now + most, *nexts])))

    def until(self, done: Callable[[], Any], within: float = 10.0) -> bool:
        """Go on until `done` holds; return whether it did within the time, in seconds."""
        end = self.now() + within
        while not done():
            if self.now() >= end:
                return False
            self.step(min(0.05, end - self.now()))
        return True

    def run(self, seconds: float) -> None:
        """Let time pass."""
        self.until(lambda: False, seconds)

    def close(self) -> None:
        """Remove all endpoints."""
        self.ends.clear()


class SocketNet(Net):
    """UDP sockets on the loopback, in real time."""

    def __init__(self) -> None:
        super().__init__()
        self._sockets: dict[int, tuple[socket.socket, Endpoint]] = {}
        self._epoll = select.epoll()

    def now(self) -> float:
        return time.monotonic()

    def bind(self, end: Endpoint) -> None:
        self.drop(end)
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(("127.0.0.1", 0))
        sock.setblocking(False)
        end.address = sock.getsockname()
        self._sockets[sock.fileno()] = sock, end
        self._epoll.register(sock, select.EPOLLIN)
        self.ends.append(end)

    def drop(self, end: Endpoint) -> None:
        super().drop(end)
        for fd, (sock, owner) in list(self._sockets.items()):
            if owner is end:
                self._epoll.unregister(sock)
                del self._sockets[fd]
                sock.close()

    def _carry(self, source: Endpoint, data: bytes, to: Address) -> None:
        for sock, owner in self._sockets.values():
            if owner is source:
                with suppress(OSError):  # lost, as on any network
                    sock.sendto(data, to)
                return

    def _idle(self, until: float) -> None:
        for fd, _ in self._epoll.poll(max(0.0, until - self.now())):
            if fd not in self._sockets:
                continue
            sock, end = self._sockets[fd]
            for _ in range(64):
                try:
                    data, source = sock.recvfrom(65536)
                except OSError:
                    break
                self.arrive(end, data, source)

    def close(self) -> None:
        for _, end in list(self._sockets.values()):
            self.drop(end)
        self._epoll.close()


class MemoryNet(Net):
    """No sockets and simulated time: the same run for the same seeds of its links."""

    def __init__(self) -> None:
        super().__init__()
        self._now = 1.8e9  # also Unix time, later than any retirement in a case
        self._ports = count(10000)
        self._by_address: dict[Address, Endpoint] = {}

    def now(self) -> float:
        return self._now

    def bind(self, end: Endpoint) -> None:
        self.drop(end)
        end.address = ("127.0.0.1", next(self._ports))
        self.claim(end, [end.address])
        self.ends.append(end)

    def claim(self, end: Endpoint, addresses: Iterable[Address]) -> None:
        """Give an endpoint more addresses."""
        for address in addresses:
            self._by_address[address] = end

    def drop(self, end: Endpoint) -> None:
        super().drop(end)
        self._by_address = {a: e for a, e in self._by_address.items() if e is not end}

    def _carry(self, source: Endpoint, data: bytes, to: Address) -> None:
        self.carry(data, source.address, to)

    def carry(self, data: bytes, source: Address, to: Address) -> None:
        """Deliver a datagram from `source`, whether or not an endpoint has that address."""

        def land() -> None:
            if (end := self._by_address.get(to)) is not None:
                self.arrive(end, data, source)

        self.later(HOP, land)

    def reaches(self, to: Address) -> bool:
        """Return whether an endpoint has the address."""
        return to in self._by_address

    def _idle(self, until: float) -> None:
        self._now = max(self._now, until)
