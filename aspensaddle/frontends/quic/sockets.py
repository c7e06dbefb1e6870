"""UDP sockets of the front end: one towards clients, and numbered ones (slots) towards servers.

Each slot carries one path to every server. One epoll instance watches all sockets, so a socket costs no task.
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
MAX_BATCH_DATAGRAMS = 64  # limit of datagrams read from one socket before the next, so that none is starved
RECEIVE_BUFFER_BYTES = 4 << 20  # requested for the client socket; the system may grant less
# Linux constants that the socket module lacks
IP_RECVERR = 11  # defined in linux/in.h
IPV6_RECVERR = 25  # defined in linux/in6.h
MSG_ERRQUEUE = 0x2000  # defined in bits/socket.h


class UdpSockets:
    """The sockets of the front end.

    Set the three callbacks before reading: `on_client_datagram(data, client_address)`,
    `on_server_datagram(data, slot, server_address)` and `on_unreachable_server(slot, server_address)`.
    """

    def __init__(self, listen: Address, counters: Counters) -> None:
        """Bind the client socket.

        Raises:
            OSError: the address is not available.
        """
        self.counters = counters
        self.family = socket.AF_INET6 if ":" in listen[0] else socket.AF_INET
        self._client = self._create_socket()
        self._client.bind(listen)
        self._client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._slots: dict[int, socket.socket] = {}
        self._slot_by_descriptor: dict[int, int] = {}
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
        """Close all sockets."""
        for sock in (self._client, *self._slots.values()):
            sock.close()
        self._epoll.close()

    # Sending

    def open_socket(self, slot: int) -> bool:
        """Open the socket of a slot unless it is open; return False if the system has no free descriptor."""
        if slot in self._slots:
            return True
        try:
            sock = self._create_socket()
        except OSError as error:
            self.counters.add(f"quic socket {errno.errorcode.get(error.errno or 0, 'failed')}")
            return False
        # With this option the system reports ICMP errors, and for which server they are although the socket is not
        # connected. So an attempt at a server that does not listen ends at once instead of timing out.
        if self.family == socket.AF_INET:
            sock.setsockopt(socket.IPPROTO_IP, IP_RECVERR, 1)
        else:
            sock.setsockopt(socket.IPPROTO_IPV6, IPV6_RECVERR, 1)
        self._slots[slot] = sock
        self._slot_by_descriptor[sock.fileno()] = slot
        self._epoll.register(sock, select.EPOLLIN)
        return True

    def send_to_client(self, data: bytes, client_address: ClientAddress) -> None:
        """Send a datagram to a client, or count why it could not be sent."""
        try:
            self._client.sendto(data, client_address)
        except OSError as error:
            self._count_send_error(error)

    def send_to_server(self, data: bytes, path: Path) -> None:
        """Send a datagram from the path's socket to its server, or count why it could not be sent."""
        sock = self._slots[path.slot]
        try:
            sock.sendto(data, path.server_address)
        except OSError as error:
            if error.errno in (errno.EAGAIN, errno.ENOBUFS, errno.EMSGSIZE):
                self._count_send_error(error)
                return
            # The system reports an error of an earlier datagram, maybe to another server, at the socket's next use.
            self._read_error_queue(path.slot, sock)
            try:
                sock.sendto(data, path.server_address)
            except OSError as second_error:
                self._count_send_error(second_error)

    def _count_send_error(self, error: OSError) -> None:
        self.counters.add(f"quic not sent {errno.errorcode.get(error.errno or 0, 'failed')}")

    # Receiving

    async def wait(self) -> None:
        """Wait until a socket is readable."""
        await trio.lowlevel.wait_readable(self._epoll.fileno())

    def read(self) -> int:
        """Read up to one batch from each readable socket; return the number of datagrams."""
        count = 0
        client_descriptor = self._client.fileno()
        for fd, events in self._epoll.poll(0):
            if fd == client_descriptor:
                count += self._read_client()
                continue
            slot = self._slot_by_descriptor[fd]
            sock = self._slots[slot]
            if events & select.EPOLLERR:
                self._read_error_queue(slot, sock)
            count += self._read_slot(slot, sock)
        return count

    def _read_client(self) -> int:
        receive, handle = self._client.recvfrom, self.on_client_datagram
        for count in range(MAX_BATCH_DATAGRAMS):
            try:
                data, client_address = receive(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return count
            except OSError as error:
                self.counters.add(f"quic receive {errno.errorcode.get(error.errno or 0, 'failed')}")
                return count
            handle(data, client_address)
        return MAX_BATCH_DATAGRAMS

    def _read_slot(self, slot: int, sock: socket.socket) -> int:
        receive, handle = sock.recvfrom, self.on_server_datagram
        for count in range(MAX_BATCH_DATAGRAMS):
            try:
                data, server_address = receive(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return count
            except OSError:
                self._read_error_queue(slot, sock)
                return count
            handle(data, slot, server_address[:2])
        return MAX_BATCH_DATAGRAMS

    def _read_error_queue(self, slot: int, sock: socket.socket) -> None:
        """Report the servers whose datagrams the network could not deliver (ip(7), IP_RECVERR)."""
        for _ in range(MAX_BATCH_DATAGRAMS):
            try:
                _, _, _, server_address = sock.recvmsg(1, 512, MSG_ERRQUEUE)
            except OSError:
                return
            if server_address:
                self.on_unreachable_server(slot, server_address[:2])
