"""Lines of text over a trio stream, and connections that end well."""

from __future__ import annotations

import os
import socket
import struct
from contextlib import suppress

import trio

from aspensaddle.frontends.line_protocol.errors import ConnectionBrokenError, LineTooLongError

LINE = 4096  # bytes of a line at most, its end included
CHUNK = 4096
LINGER = 65536  # bytes read at most after the last answer


class Link:
    """One TCP connection with a buffer for what has come of a line."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self._buffer = bytearray()
        self.ended = False  # the other side has ended its sending
        self.answered = False  # something was sent, or begun to be
        self.sending_ended = False  # this side has

    async def fill(self) -> bool:
        """Read some more; False at the end."""
        if self.ended:
            return False
        try:
            data = await self.stream.receive_some(CHUNK)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            raise ConnectionBrokenError("receive") from None
        return self._take(bytes(data))

    def look(self) -> bool:
        """Read what has come, without a wait, as far as there is room for it; False where the other side has
        ended its sending or reset the connection. A look at the wire itself: a task that reads may come to an
        end later than another task to its next step."""
        while not self.ended and len(self._buffer) < LINE + CHUNK:
            try:
                data = os.read(self.stream.socket.fileno(), CHUNK)
            except BlockingIOError:
                break
            except OSError:
                data = b""
            self._take(data)
        return not self.ended

    def _take(self, data: bytes) -> bool:
        self._buffer += data
        self.ended = not data
        return bool(data)

    def take_lines(self) -> bytes:
        """All whole lines that have come."""
        end = self._buffer.rfind(b"\n") + 1
        if len(self._buffer) - end >= LINE:
            raise LineTooLongError(len(self._buffer) - end, LINE)
        lines = bytes(self._buffer[:end])
        del self._buffer[:end]
        return lines

    def take_rest(self) -> bytes:
        """What stands after the last whole line."""
        rest = bytes(self._buffer)
        self._buffer.clear()
        return rest

    async def line(self) -> bytes | None:
        """The next line with its end, or None where the connection ends before it."""
        while (end := self._buffer.find(b"\n") + 1) == 0:
            if len(self._buffer) >= LINE:
                raise LineTooLongError(len(self._buffer), LINE)
            if not await self.fill():
                return None
        if end > LINE:
            raise LineTooLongError(end, LINE)
        line = bytes(self._buffer[:end])
        del self._buffer[:end]
        return line

    def holds(self, words: tuple[bytes, ...]) -> bool:
        """Whether a whole line that has come begins with one of the words."""
        return bool(self._buffer) and any(line.startswith(words) for line in bytes(self._buffer).split(b"\n")[:-1])

    @property
    def buffered(self) -> int:
        return len(self._buffer)

    async def send(self, data: bytes) -> None:
        """What the system takes at once is sent before anything else can happen in this process."""
        self.answered = True
        try:
            with suppress(BlockingIOError):
                data = data[os.write(self.stream.socket.fileno(), data) :]
            if data:
                await self.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            raise ConnectionBrokenError("send") from None

    async def end_sending(self) -> None:
        self.sending_ended = True
        try:
            await self.stream.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            raise ConnectionBrokenError("end of sending") from None

    async def linger(self, scope: trio.CancelScope) -> None:
        """Close so that what was sent arrives: a close over unread bytes would reset the connection and may take
        the last line with it. So the sending is ended first, and then read on until the other side has ended
        too, or `scope` is over. But only so much: guards against one that sends without end, at full speed, and
        would have this process do nothing else."""
        with suppress(ConnectionBrokenError), scope:
            await self.end_sending()
            most = LINGER
            while most > 0 and await self.fill():
                most -= len(self._buffer)
                self._buffer.clear()
        self._buffer.clear()
        with suppress(OSError):
            self.look()  # what came in the moment in which the reading was ended
        self.close()

    def close(self) -> None:
        self.stream.socket.close()

    def reset(self) -> None:
        """Close as a process that died would."""
        with suppress(trio.ClosedResourceError, OSError):
            self.stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close()
