"""TCP connections and listeners for trio."""

from __future__ import annotations

import errno
import socket

import trio

from aspensaddle.support.address import Address

LISTEN_BACKLOG = 4096  # connections; the system's own limit (Linux: net.core.somaxconn) takes precedence
# Errors of a system that is out of file descriptors or memory.
DESCRIPTOR_SHORTAGE_ERRNOS = frozenset({errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM})


def address_family(address: Address) -> socket.AddressFamily:
    """Return the address family of an address."""
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


async def connect(address: Address) -> trio.SocketStream:
    """Connect to an address.

    Raises:
        OSError: If the connection fails.
    """
    sock = trio.socket.socket(address_family(address))
    try:
        await sock.connect(address)
        return trio.SocketStream(sock)
    except BaseException:
        sock.close()
        raise


class Listener:
    """A listening socket. All queued connections can be accepted without waiting between them."""

    def __init__(self, address: Address) -> None:
        self._socket = socket.create_server(address, family=address_family(address), backlog=LISTEN_BACKLOG)
        self._socket.setblocking(False)

    @property
    def address(self) -> Address:
        """The address on which the socket listens."""
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
            OSError: If the operating system fails to accept it.
        """
        try:
            accepted, _ = self._socket.accept()
        except BlockingIOError:
            return None
        return trio.SocketStream(trio.socket.from_stdlib_socket(accepted))

    def close(self) -> None:
        """Close the socket. Connections in its accept queue are reset."""
        if self._socket.fileno() >= 0:
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()
