"""The UDP socket of a replica: sends and receives authenticated messages, which may be lost, duplicated or late."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator

import trio

from aspensaddle.store.messages import (
    MAX_DATAGRAM_BYTES,
    AuthenticatedMessage,
    Body,
    decode_datagram,
    encode_datagram,
)
from aspensaddle.support.address import Address
from aspensaddle.support.counters import Counters
from aspensaddle.support.json_fields import DecodeError

RECEIVE_BUFFER_BYTES = 1 << 20  # wanted; the system may allow less
MAX_DATAGRAMS_PER_READ = 64  # limit of datagrams read before other tasks run
MAX_READ_SECONDS = 0.005  # time limit of the same, with the answers


def unix_ms() -> int:
    """Return Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


class DatagramTransport:
    """One UDP socket under the shared key of the store."""

    def __init__(self, node: str, key: bytes, counters: Counters) -> None:
        """Create a transport without a socket.

        Args:
            node: The node name that its messages carry.
            key: The shared key.
            counters: Counts its datagrams.
        """
        self._node = node
        self._key = key
        self._counters = counters

    def bind(self, address: Address) -> None:
        """Open the socket and bind it.

        Raises:
            OSError: If the address can't be bound.
        """
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._socket.setblocking(False)
        self._socket.bind(address)

    async def wait_readable(self) -> None:
        """Wait until a datagram has arrived."""
        await trio.lowlevel.wait_readable(self._socket)

    def receive(self) -> Iterator[tuple[AuthenticatedMessage, Address]]:
        """Yield the messages that have arrived, and where each came from; at most for `MAX_READ_SECONDS`."""
        deadline = time.monotonic() + MAX_READ_SECONDS
        for _ in range(MAX_DATAGRAMS_PER_READ):
            try:
                data, address = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:  # an ICMP error after an earlier send: that peer is unreachable
                continue
            try:
                message = decode_datagram(self._key, unix_ms(), data)
            except DecodeError:
                self._counters.add("store_datagrams_rejected")
                continue
            self._counters.add("store_datagrams_received")
            yield message, address[:2]
            if time.monotonic() >= deadline:
                return

    def send(self, body: Body, address: Address) -> None:
        """Send a message; one that can't be sent counts as lost."""
        data = encode_datagram(self._key, self._node, unix_ms(), body)
        if len(data) > MAX_DATAGRAM_BYTES:  # this is not expected, since the size of every body is limited
            self._counters.add("store_datagrams_too_large")
            return
        try:
            self._socket.sendto(data, address)
            self._counters.add("store_datagrams_sent")
        except OSError:
            self._counters.add("store_datagrams_failed")
