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

MAX_DATAGRAM_BYTES = 65536
MAX_BATCH_DATAGRAMS = 64  # datagrams read of one socket in a go, lest one peer starve the rest
RECEIVE_BUFFER_BYTES = 4 << 20  # asked for towards clients; the system may give less
IP_RECVERR, IPV6_RECVERR, MSG_ERRQUEUE = 11, 25, 0x2000  # linux/in.h, linux/in6.h, bits/socket.h


class UdpSockets:
    """`from_client(data, peer)`, `from_runner(data, slot, runner)` and `unreachable(slot, runner)` are called for
    what comes in.
    """

    def __init__(self, listen: Address, counters: Counters) -> None:
        self.counters = counters
        self.family = socket.AF_INET6 if ":" in listen[0] else socket.AF_INET
        self._client = self._create_socket()
        self._client.bind(listen)
        self._client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._slots: dict[int, socket.socket] = {}
        self._slot_by_descriptor: dict[int, int] = {}  # by descriptor
        self._epoll = select.epoll()
        self._epoll.register(self._client, select.EPOLLIN)
        self.on_client_datagram: Callable[[bytes, ClientAddress], None]
        self.on_server_datagram: Callable[[bytes, int, ServerAddress], None]
        self.on_unreachable_server: Callable[[int, ServerAddress], None]

    def _create_socket(self) -> socket.socket:
        sock = socket.socket(self.family, socket.SOCK_DGRAM)
        sock.setblocking(False)
        return sock

    def close(self) -> None:
        for sock in (self._client, *self._slots.values()):
            sock.close()
        self._epoll.close()

    # ------------------------------------------------------------ out

    def open_socket(self, slot: int) -> bool:
        if slot in self._slots:
            return True
        try:
            sock = self._create_socket()
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
        self._slot_by_descriptor[sock.fileno()] = slot
        self._epoll.register(sock, select.EPOLLIN)
        return True

    def send_to_client(self, data: bytes, client_address: ClientAddress) -> None:
        try:
            self._client.sendto(data, client_address)
        except OSError as e:
            self._not_sent(e)

    def send_to_server(self, data: bytes, path: Path) -> None:
        sock = self._slots[path.slot]
        try:
            sock.sendto(data, path.server_address)
        except OSError as e:
            if e.errno in (errno.EAGAIN, errno.ENOBUFS, errno.EMSGSIZE):
                self._not_sent(e)
                return
            # An error of an earlier datagram, perhaps to another runner, is told at the next use of the socket.
            self._read_error_queue(path.slot, sock)
            try:
                sock.sendto(data, path.server_address)
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
            slot = self._slot_by_descriptor[fd]
            sock = self._slots[slot]
            if events & select.EPOLLERR:
                self._read_error_queue(slot, sock)
            count += self._read_slot(slot, sock)
        return count

    def _read_client(self) -> int:
        receive, take = self._client.recvfrom, self.on_client_datagram
        for count in range(MAX_BATCH_DATAGRAMS):
            try:
                data, client_address = receive(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return count
            except OSError as e:
                self.counters.add(f"quic receive {errno.errorcode.get(e.errno or 0, 'failed')}")
                return count
            take(data, client_address)
        return MAX_BATCH_DATAGRAMS

    def _read_slot(self, slot: int, sock: socket.socket) -> int:
        receive, take = sock.recvfrom, self.on_server_datagram
        for count in range(MAX_BATCH_DATAGRAMS):
            try:
                data, server_address = receive(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return count
            except OSError:
                self._read_error_queue(slot, sock)
                return count
            take(data, slot, server_address[:2])
        return MAX_BATCH_DATAGRAMS

    def _read_error_queue(self, slot: int, sock: socket.socket) -> None:
        """What the network said of datagrams that did not arrive (ip(7), IP_RECVERR): whom they were for."""
        for _ in range(MAX_BATCH_DATAGRAMS):
            try:
                _, _, _, server_address = sock.recvmsg(1, 512, MSG_ERRQUEUE)
            except OSError:
                return
            if server_address:
                self.on_unreachable_server(slot, server_address[:2])
