"""The UDP sockets of the front: one towards clients, and numbered ones towards runners, of which each serves a
path at every runner. All are watched by one epoll, so that none costs a task.
"""

from __future__ import annotations

import errno
import select
import socket
from collections.abc import Callable

import trio

from aspensaddle.frontends.quic.session import ClientAddress, Path, ServerAddress
from aspensaddle.support.address import Address
from aspensaddle.support.counters import Counters

DATAGRAM = 65536
BATCH = 64  # datagrams read of one socket in a go, lest one peer starve the rest
RECEIVE_BUFFER = 4 << 20  # asked for towards clients; the system may give less
IP_RECVERR, IPV6_RECVERR, MSG_ERRQUEUE = 11, 25, 0x2000  # linux/in.h, linux/in6.h, bits/socket.h


class UdpSockets:
    """`from_client(data, peer)`, `from_runner(data, slot, runner)` and `unreachable(slot, runner)` are called for
    what comes in.
    """

    def __init__(self, listen: Address, counters: Counters) -> None:
        self.counters = counters
        self.family = socket.AF_INET6 if ":" in listen[0] else socket.AF_INET
        self._client = self._udp()
        self._client.bind(listen)
        self._client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        self._slots: dict[int, socket.socket] = {}
        self._numbers: dict[int, int] = {}  # by descriptor
        self._epoll = select.epoll()
        self._epoll.register(self._client, select.EPOLLIN)
        self.from_client: Callable[[bytes, ClientAddress], None]
        self.from_runner: Callable[[bytes, int, ServerAddress], None]
        self.unreachable: Callable[[int, ServerAddress], None]

    def _udp(self) -> socket.socket:
        sock = socket.socket(self.family, socket.SOCK_DGRAM)
        sock.setblocking(False)
        return sock

    def close(self) -> None:
        for sock in (self._client, *self._slots.values()):
            sock.close()
        self._epoll.close()

    # ------------------------------------------------------------ out

    def open(self, slot: int) -> bool:
        if slot in self._slots:
            return True
        try:
            sock = self._udp()
        except OSError as e:
            self.counters.add(f"quic socket {errno.errorcode.get(e.errno or 0, 'failed')}")
            return False
        # Guards against waiting for a runner that is not there: its machine says so, and for a socket that talks
        # to several runners this tells which.
        if self.family == socket.AF_INET:
            sock.setsockopt(socket.IPPROTO_IP, IP_RECVERR, 1)
        else:
            sock.setsockopt(socket.IPPROTO_IPV6, IPV6_RECVERR, 1)
        self._slots[slot] = sock
        self._numbers[sock.fileno()] = slot
        self._epoll.register(sock, select.EPOLLIN)
        return True

    def to_client(self, data: bytes, peer: ClientAddress) -> None:
        try:
            self._client.sendto(data, peer)
        except OSError as e:
            self._not_sent(e)

    def to_runner(self, data: bytes, path: Path) -> None:
        sock = self._slots[path.slot]
        try:
            sock.sendto(data, path.runner)
        except OSError as e:
            if e.errno in (errno.EAGAIN, errno.ENOBUFS, errno.EMSGSIZE):
                self._not_sent(e)
                return
            # An error of an earlier datagram, perhaps to another runner, is told at the next use of the socket.
            self._errors(path.slot, sock)
            try:
                sock.sendto(data, path.runner)
            except OSError as again:
                self._not_sent(again)

    def _not_sent(self, e: OSError) -> None:
        self.counters.add(f"quic not sent {errno.errorcode.get(e.errno or 0, 'failed')}")

    # ------------------------------------------------------------ in

    async def wait(self) -> None:
        await trio.lowlevel.wait_readable(self._epoll.fileno())

    def read(self) -> int:
        """Read what has come, a batch of each socket at most; how many datagrams that was."""
        count = 0
        client = self._client.fileno()
        for fd, events in self._epoll.poll(0):
            if fd == client:
                count += self._read_client()
                continue
            slot = self._numbers[fd]
            sock = self._slots[slot]
            if events & select.EPOLLERR:
                self._errors(slot, sock)
            count += self._read_slot(slot, sock)
        return count

    def _read_client(self) -> int:
        receive, take = self._client.recvfrom, self.from_client
        for count in range(BATCH):
            try:
                data, peer = receive(DATAGRAM)
            except BlockingIOError:
                return count
            except OSError as e:
                self.counters.add(f"quic receive {errno.errorcode.get(e.errno or 0, 'failed')}")
                return count
            take(data, peer)
        return BATCH

    def _read_slot(self, slot: int, sock: socket.socket) -> int:
        receive, take = sock.recvfrom, self.from_runner
        for count in range(BATCH):
            try:
                data, runner = receive(DATAGRAM)
            except BlockingIOError:
                return count
            except OSError:
                self._errors(slot, sock)
                return count
            take(data, slot, runner[:2])
        return BATCH

    def _errors(self, slot: int, sock: socket.socket) -> None:
        """What the network said of datagrams that did not arrive (ip(7), IP_RECVERR): whom they were for."""
        for _ in range(BATCH):
            try:
                _, _, _, runner = sock.recvmsg(1, 512, MSG_ERRQUEUE)
            except OSError:
                return
            if runner:
                self.unreachable(slot, runner[:2])
