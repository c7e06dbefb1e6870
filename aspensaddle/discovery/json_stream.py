"""What comes of discovery's answer, from octets to whole values. Free of I/O and time."""

from __future__ import annotations

import re
from collections.abc import Iterator

import h11

from aspensaddle.support.address import Address

MOST = 1 << 20  # bytes of one value at most
_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class DiscoveryError(Exception):
    """A call failed or a watch broke."""


class Values:
    """Cuts a stream into JSON values, each on one line or, indented, over several.

    A value ends with the line that closes its last bracket. An empty line between two values is one too: it says
    that the sender lives. Half a line, blanks without an end, and the lines within a value say nothing: a sender
    that never comes to an end is silent.
    """

    def __init__(self) -> None:
        self._line = bytearray()  # the one that has no end yet
        self._lines: list[bytes] = []  # of the value that is not whole yet
        self._size = self._depth = 0

    def feed(self, data: bytes) -> Iterator[bytes]:
        """The values that are whole by now; an empty line is an empty one."""
        self._line += data
        while end := self._line.find(b"\n") + 1:
            line = bytes(self._line[:end])
            del self._line[:end]
            if (value := self._take(line)) is not None:
                yield value
        if self._size + len(self._line) > MOST:
            raise DiscoveryError(f"a list is longer than {MOST} bytes")

    def end(self) -> bytes | None:
        """The stream has ended: its last value, which needs no line's end."""
        value = self._take(bytes(self._line)) if self._line.strip() else None
        self._line.clear()
        if self._lines:
            raise DiscoveryError("the answer ends within a list")
        return value

    def _take(self, line: bytes) -> bytes | None:
        if not line.strip():
            return None if self._lines else b""
        self._size += len(line)
        if self._size > MOST:
            raise DiscoveryError(f"a list is longer than {MOST} bytes")
        bare = _STRING.sub(b"", line)  # a bracket within a string is none
        self._depth += bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")
        self._lines.append(line)
        if self._depth > 0:
            return None
        value = b"".join(self._lines)
        self._lines, self._size, self._depth = [], 0, 0
        return value


class Answer:
    """One call's answer over HTTP: its values as they become whole."""

    def __init__(self, address: Address, target: str) -> None:
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MOST)
        self._address, self._target = address, target
        self._values = Values()
        self.whole = False  # it has ended as it said that it would

    def ask(self) -> bytes:
        host = f"{self._address[0]}:{self._address[1]}"
        head = self._http.send(
            h11.Request(method="GET", target=self._target, headers=[("Host", host), ("Accept", "application/json")])
        )
        return (head or b"") + (self._http.send(h11.EndOfMessage()) or b"")

    def receive(self, data: bytes) -> Iterator[bytes]:
        """What has come, nothing at the end. Raises where it is no answer, or none that can be used."""
        try:
            self._http.receive_data(data)
            while (event := self._http.next_event()) is not h11.NEED_DATA:
                if isinstance(event, h11.Response) and event.status_code != 200:
                    raise DiscoveryError(f"status {event.status_code}")
                if isinstance(event, h11.Data):
                    yield from self._values.feed(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    if (value := self._values.end()) is not None:
                        yield value
                    self.whole = True
                    return
                elif not isinstance(event, h11.Response | h11.InformationalResponse):
                    raise DiscoveryError("the connection ended")
        except h11.RemoteProtocolError as e:
            raise DiscoveryError(f"not HTTP, or cut: {e}") from None
