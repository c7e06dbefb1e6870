"""TCP connections and listeners for trio."""

from __future__ import annotations

import errno
import socket

import trio

from aspensaddle.support.address import Address

LISTEN_BACKLOG = 512
NO_DESCRIPTORS = frozenset({errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM})


def family(address: Address) -> socket.AddressFamily:
    """Return the address family of an address."""
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


async def connect(address: Address) -> trio.SocketStream:
    """Connect to an address.

    Raises:
        OSError: If the connection fails.
    """
    sock = trio.socket.socket(family(address))
    try:
        await sock.connect(address)
        return trio.SocketStream(sock)
    except BaseException:
        sock.close()
        raise


class Listener:
    """A listening socket whose accept queue is drained without a wait between two connections."""

    def __init__(self, address: Address) -> None:
        self._socket = socket.create_server(address, family=family(address), backlog=LISTEN_BACKLOG)
        self._socket.setblocking(False)

    @property
    def address(self) -> Address:
        """Where the socket listens."""
        host, port, *_ = self._socket.getsockname()
        return host, port

    async def wait(self) -> None:
        """Wait for a connection.

        Raises:
            trio.ClosedResourceError: If the listener is closed.
        """
        if self._socket.fileno() < 0:
            raise trio.ClosedResourceError
        await trio.lowlevel.wait_readable(self._socket)

    def accept(self) -> trio.SocketStream | None:
        """Return the next queued connection, or None.

        Raises:
            OSError: If the system can't accept it.
        """
        try:
            accepted, _ = self._socket.accept()
        except BlockingIOError:
            return None
        return trio.SocketStream(trio.socket.from_stdlib_socket(accepted))

    def close(self) -> None:
        """Close the socket; connections that are queued are lost."""
        if self._socket.fileno() >= 0:
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()
