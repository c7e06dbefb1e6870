"""Decodes a discovery response from bytes into complete JSON values, without I/O or a clock."""

from __future__ import annotations

import re
from collections.abc import Iterator

import h11

from aspensaddle.discovery.errors import (
    IncompleteValueError,
    InvalidResponseError,
    ResponseStatusError,
    ValueTooLongError,
)
from aspensaddle.support.address import Address

MAX_VALUE_BYTES = 1 << 20
_JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class JsonValueSplitter:
    """Splits a byte stream into JSON values, each on one line or, indented, on several.

    A value ends with the line that closes its last bracket. An empty line between two values is a heartbeat and is
    returned as an empty value. Incomplete lines and the lines within a value do not count as activity: a
    sender that never completes a value counts as silent.
    """

    def __init__(self) -> None:
        self._partial_line = bytearray()
        self._lines: list[bytes] = []  # lines of the value that is not complete yet
        self._size = 0
        self._depth = 0

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield the values that this data completes; a heartbeat is an empty value.

        Raises:
            ValueTooLongError: If a value exceeds `MAX_VALUE_BYTES`.
        """
        self._partial_line += data
        while end := self._partial_line.find(b"\n") + 1:
            line = bytes(self._partial_line[:end])
            del self._partial_line[:end]
            if (value := self._add_line(line)) is not None:
                yield value
        if self._size + len(self._partial_line) > MAX_VALUE_BYTES:
            raise ValueTooLongError(MAX_VALUE_BYTES)

    def finish(self) -> bytes | None:
        """Return the last value, which may lack a line end, or None if there is none.

        Raises:
            IncompleteValueError: If the stream ended within a value.
            ValueTooLongError: If the value exceeds `MAX_VALUE_BYTES`.
        """
        value = self._add_line(bytes(self._partial_line)) if self._partial_line.strip() else None
        self._partial_line.clear()
        if self._lines:
            raise IncompleteValueError
        return value

    def _add_line(self, line: bytes) -> bytes | None:
        if not line.strip():
            return None if self._lines else b""
        self._size += len(line)
        if self._size > MAX_VALUE_BYTES:
            raise ValueTooLongError(MAX_VALUE_BYTES)
        self._depth += _nesting_change(line)
        self._lines.append(line)
        if self._depth > 0:
            return None
        value = b"".join(self._lines)
        self._lines = []
        self._size = self._depth = 0
        return value


class JsonStreamDecoder:
    """One HTTP call for a stream of JSON values.

    Attributes:
        complete: Whether the whole response was received.
    """

    def __init__(self, address: Address, target: str) -> None:
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_VALUE_BYTES)
        self._address = address
        self._target = target
        self._values = JsonValueSplitter()
        self.complete = False

    def request(self) -> bytes:
        """Return the bytes of the request."""
        host = f"{self._address[0]}:{self._address[1]}"
        headers = [("Host", host), ("Accept", "application/json")]
        head = self._http.send(h11.Request(method="GET", target=self._target, headers=headers))
        return (head or b"") + (self._http.send(h11.EndOfMessage()) or b"")

    def receive(self, data: bytes) -> Iterator[bytes]:
        """Yield the values that complete with this data; empty data is the end of the connection.

        Raises:
            DiscoveryError: If the response can't be used.
        """
        try:
            self._http.receive_data(data)
            while (event := self._http.next_event()) is not h11.NEED_DATA:
                yield from self._handle(event)
                if self.complete:
                    return
        except h11.RemoteProtocolError as error:
            raise InvalidResponseError(f"not HTTP, or incomplete: {error}") from None

    def _handle(self, event: object) -> Iterator[bytes]:
        if isinstance(event, h11.Response) and event.status_code != 200:
            raise ResponseStatusError(event.status_code)
        if isinstance(event, h11.Data):
            yield from self._values.feed(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            if (value := self._values.finish()) is not None:
                yield value
            self.complete = True
        elif not isinstance(event, h11.Response | h11.InformationalResponse):
            raise InvalidResponseError("the connection ended within the response")


def _nesting_change(line: bytes) -> int:
    """Return how many more brackets a line opens than it closes; those within strings do not count."""
    without_strings = _JSON_STRING.sub(b"", line)
    opened = without_strings.count(b"{") + without_strings.count(b"[")
    closed = without_strings.count(b"}") + without_strings.count(b"]")
    return opened - closed
