"""UDP sockets of the front end: one towards clients, and numbered ones (slots) towards servers.

Each slot carries one path to every server. One epoll instance watches all sockets, so a socket costs no task.
"""

from __future__ import annotations

import errno
import math
import select
import socket
import struct
import time
from collections.abc import Callable, Iterable

import trio

from aspensaddle.frontends.quic.delivery import MAX_QUOTE_BYTES, DeliveryFailure, FailureReason
from aspensaddle.frontends.quic.session import ClientAddress, Path, ServerAddress
from aspensaddle.support.address import Address
from aspensaddle.support.counters import Counters

MAX_DATAGRAM_BYTES = 65536
MAX_BATCH_DATAGRAMS = 64  # limit of datagrams read from one socket before the next, so that none is starved
MAX_BATCH_SECONDS = 0.003  # time after which the next socket is read; an Initial costs far more than other datagrams
RECEIVE_BUFFER_BYTES = 4 << 20  # requested for the client socket; the system may grant less
# Linux constants that the socket module lacks
IP_RECVERR = 11  # defined in linux/in.h
IPV6_RECVERR = 25  # defined in linux/in6.h
MSG_ERRQUEUE = 0x2000  # defined in bits/socket.h
# struct sock_extended_err in linux/errqueue.h: errno, origin, type, code, padding, info and data
EXTENDED_ERROR = struct.Struct("=IBBBBII")
MAX_ANCILLARY_BYTES = 512
ICMP_ORIGIN, ICMPV6_ORIGIN = 2, 3
# Destination Unreachable: its type, the code of a closed port, and that of a datagram that is too large (RFC 792)
ICMP_UNREACHABLE, ICMP_PORT_CODE, ICMP_TOO_LARGE_CODE = 3, 3, 4
ICMPV6_UNREACHABLE, ICMPV6_PORT_CODE = 1, 4  # the same; RFC 4443 has a type of its own for large datagrams


def parse_failure_reason(ancillary: Iterable[tuple[int, int, bytes]]) -> FailureReason | None:
    """Return why a datagram was not delivered, from the ancillary data of an entry of a socket's error queue.

    None if the entry is about something else: a local error, or an ICMP message of another type.
    """
    for level, kind, data in ancillary:
        is_error = (level, kind) in ((socket.IPPROTO_IP, IP_RECVERR), (socket.IPPROTO_IPV6, IPV6_RECVERR))
        if not is_error or len(data) < EXTENDED_ERROR.size:
            continue
        _, origin, icmp_type, code, *_ = EXTENDED_ERROR.unpack_from(data)
        if (origin, icmp_type) == (ICMP_ORIGIN, ICMP_UNREACHABLE) and code != ICMP_TOO_LARGE_CODE:
            return FailureReason.PORT_CLOSED if code == ICMP_PORT_CODE else FailureReason.UNREACHABLE
        if (origin, icmp_type) == (ICMPV6_ORIGIN, ICMPV6_UNREACHABLE):
            return FailureReason.PORT_CLOSED if code == ICMPV6_PORT_CODE else FailureReason.UNREACHABLE
    return None


class UdpSockets:
    """The sockets of the front end.

    Set the three callbacks before reading: `on_client_datagram(data, client_address)`,
    `on_server_datagram(data, slot, server_address)` and `on_delivery_failure(slot, server_address, failure)`.
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
        self.on_delivery_failure: Callable[[int, ServerAddress, DeliveryFailure], None]
        self._delivery_failures: list[tuple[int, ServerAddress, DeliveryFailure]] = []  # not reported yet

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

    def send_to_server(self, data: bytes, path: Path) -> bool:
        """Send a datagram from the path's socket to its server; if it could not be sent, count why and return False.

        Reports of undelivered datagrams that come to light are kept until `report_delivery_failures`, since one of
        them may end the attempt or session that is sending.
        """
        sock = self._slots[path.slot]
        try:
            sock.sendto(data, path.server_address)
            return True
        except OSError as error:
            if error.errno in (errno.EAGAIN, errno.ENOBUFS, errno.EMSGSIZE):
                self._count_send_error(error)
                return False
        # The system reports an error of an earlier datagram, maybe to another server, at the socket's next use.
        self._read_error_queue(path.slot, sock)
        try:
            sock.sendto(data, path.server_address)
            return True
        except OSError as second_error:
            self._count_send_error(second_error)
            return False

    def _count_send_error(self, error: OSError) -> None:
        self.counters.add(f"quic not sent {errno.errorcode.get(error.errno or 0, 'failed')}")

    # Receiving

    async def wait(self) -> None:
        """Wait until a socket is readable."""
        await trio.lowlevel.wait_readable(self._epoll.fileno())

    def read(self, deadline: float = math.inf) -> int:
        """Read up to one batch from each readable socket; return the number of datagrams.

        Args:
            deadline: `time.monotonic` after which no further socket is read in this call.
        """
        count = 0
        client_descriptor = self._client.fileno()
        for fd, events in self._epoll.poll(0):
            if count and time.monotonic() >= deadline:
                break
            if fd == client_descriptor:
                count += self._read_client()
                continue
            slot = self._slot_by_descriptor[fd]
            sock = self._slots[slot]
            if events & select.EPOLLERR:
                self._read_error_queue(slot, sock)
            count += self._read_slot(slot, sock)
        self.report_delivery_failures()
        return count

    def report_delivery_failures(self) -> None:
        """Report the datagrams that the network could not deliver, as far as they are known."""
        while self._delivery_failures:
            self.on_delivery_failure(*self._delivery_failures.pop(0))

    def _read_client(self) -> int:
        receive, handle = self._client.recvfrom, self.on_client_datagram
        batch_end = time.monotonic() + MAX_BATCH_SECONDS
        for count in range(MAX_BATCH_DATAGRAMS):
            try:
                data, client_address = receive(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return count
            except OSError as error:
                self.counters.add(f"quic receive {errno.errorcode.get(error.errno or 0, 'failed')}")
                return count
            handle(data, client_address)
            if time.monotonic() >= batch_end:
                return count + 1
        return MAX_BATCH_DATAGRAMS

    def _read_slot(self, slot: int, sock: socket.socket) -> int:
        receive, handle = sock.recvfrom, self.on_server_datagram
        batch_end = time.monotonic() + MAX_BATCH_SECONDS
        for count in range(MAX_BATCH_DATAGRAMS):
            try:
                data, server_address = receive(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return count
            except OSError:
                self._read_error_queue(slot, sock)
                return count
            handle(data, slot, server_address[:2])
            if time.monotonic() >= batch_end:
                return count + 1
        return MAX_BATCH_DATAGRAMS

    def _read_error_queue(self, slot: int, sock: socket.socket) -> None:
        """Read which datagrams the network could not deliver (ip(7), IP_RECVERR)."""
        for _ in range(MAX_BATCH_DATAGRAMS):
            try:
                quote, ancillary, _, server_address = sock.recvmsg(MAX_QUOTE_BYTES, MAX_ANCILLARY_BYTES, MSG_ERRQUEUE)
            except OSError:
                return
            reason = parse_failure_reason(ancillary)
            if reason is not None and server_address:
                self._delivery_failures.append((slot, server_address[:2], DeliveryFailure(reason, quote)))
