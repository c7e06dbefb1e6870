"""TCP connection that carries lines of text, with the ways to close it."""

from __future__ import annotations

import os
import socket
import struct
from contextlib import suppress

import trio

from aspensaddle.frontends.line_protocol.errors import ConnectionBrokenError, LineTooLongError

MAX_LINE_BYTES = 4096  # limit of a line, its end included
READ_CHUNK_BYTES = 4096
MAX_LINGER_BYTES = 65536  # limit of the bytes read during a lingering close


def first_word(line: bytes) -> bytes:
    """Return the first word of a line, empty for a blank one."""
    return line.split(None, 1)[0] if line.strip() else b""


class Link:
    """TCP connection with a buffer of received bytes.

    Attributes:
        stream: The connection.
        ended: Whether the peer has ended its sending or reset the connection.
        response_started: Whether anything was sent, even in part.
        sending_ended: Whether this side has ended its sending.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        """Wrap an open connection."""
        self.stream = stream
        self._buffer = bytearray()
        self.ended = False
        self.response_started = False
        self.sending_ended = False

    @property
    def buffered(self) -> int:
        """Number of bytes in the buffer."""
        return len(self._buffer)

    async def receive(self) -> bool:
        """Wait for more bytes; return False once the peer has ended its sending.

        Raises:
            ConnectionBrokenError: The connection was reset or closed.
        """
        if self.ended:
            return False
        try:
            data = await self.stream.receive_some(READ_CHUNK_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            raise ConnectionBrokenError("receive") from None
        return self._append(bytes(data))

    def poll(self) -> bool:
        """Read what has arrived without waiting, up to the buffer limit; return whether the peer is connected.

        Reads from the socket directly, since a task that waits in `receive` may run later than the caller.
        """
        while not self.ended and len(self._buffer) < MAX_LINE_BYTES + READ_CHUNK_BYTES:
            try:
                data = os.read(self.stream.socket.fileno(), READ_CHUNK_BYTES)
            except BlockingIOError:
                break
            except OSError:
                data = b""
            self._append(data)
        return not self.ended

    def _append(self, data: bytes) -> bool:
        self._buffer += data
        self.ended = not data
        return bool(data)

    def take_lines(self) -> bytes:
        """Remove all complete lines from the buffer and return them.

        Raises:
            LineTooLongError: The incomplete line after them is too long already.
        """
        end = self._buffer.rfind(b"\n") + 1
        if len(self._buffer) - end >= MAX_LINE_BYTES:
            raise LineTooLongError(len(self._buffer) - end, MAX_LINE_BYTES)
        lines = bytes(self._buffer[:end])
        del self._buffer[:end]
        return lines

    def take_rest(self) -> bytes:
        """Remove everything from the buffer and return it."""
        rest = bytes(self._buffer)
        self._buffer.clear()
        return rest

    async def read_line(self) -> bytes | None:
        """Return the next line with its line end, or None if the connection ends first.

        Raises:
            ConnectionBrokenError: The connection was reset or closed.
            LineTooLongError: The line is too long.
        """
        while (end := self._buffer.find(b"\n") + 1) == 0:
            if len(self._buffer) >= MAX_LINE_BYTES:
                raise LineTooLongError(len(self._buffer), MAX_LINE_BYTES)
            if not await self.receive():
                return None
        if end > MAX_LINE_BYTES:
            raise LineTooLongError(end, MAX_LINE_BYTES)
        line = bytes(self._buffer[:end])
        del self._buffer[:end]
        return line

    def has_line_starting_with(self, words: tuple[bytes, ...]) -> bool:
        """Return whether a complete buffered line starts with one of the words."""
        return bool(self._buffer) and any(line.startswith(words) for line in bytes(self._buffer).split(b"\n")[:-1])

    async def send(self, data: bytes) -> None:
        """Send all of `data`. What the kernel accepts at once is written before any other task runs.

        Raises:
            ConnectionBrokenError: The connection was reset or closed.
        """
        self.response_started = True
        try:
            with suppress(BlockingIOError):
                data = data[os.write(self.stream.socket.fileno(), data) :]
            if data:
                await self.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            raise ConnectionBrokenError("send") from None

    async def end_sending(self) -> None:
        """Shut down this side's sending.

        Raises:
            ConnectionBrokenError: The connection was reset or closed.
        """
        self.sending_ended = True
        try:
            await self.stream.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            raise ConnectionBrokenError("end of sending") from None

    async def close_lingering(self, scope: trio.CancelScope) -> None:
        """Shut down sending, read until the peer has ended or `scope` is cancelled, and close.

        Closing with unread bytes would reset the connection, and the peer could lose the last line. The number of
        bytes read is limited, so that a peer that never stops sending cannot occupy this process.
        """
        with suppress(ConnectionBrokenError), scope:
            await self.end_sending()
            remaining = MAX_LINGER_BYTES
            while remaining > 0 and await self.receive():
                remaining -= len(self._buffer)
                self._buffer.clear()
        self._buffer.clear()
        with suppress(OSError):
            self.poll()  # reads what has arrived since the last read
        self.close()

    def close(self) -> None:
        """Close the connection at once."""
        self.stream.socket.close()

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        with suppress(trio.ClosedResourceError, OSError):
            self.stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close()
