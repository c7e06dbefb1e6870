"""To which connection ID of its client a server sends on a path. No I/O.

Later connection IDs of clients are issued in encrypted packets, so they are known only from the headers of what the
server sends. A short header has no length of the connection ID, but all packets to one begin the same way.
"""

from __future__ import annotations

from dataclasses import dataclass

PREFIX_BYTES = 4  # a shorter connection ID is followed by bytes that differ in each packet


def destination_prefix(data: bytes) -> bytes:
    """Return the start of the connection ID that a datagram is sent to; empty if that is too short."""
    if not data or not data[0] & 0x80:
        return data[1 : 1 + PREFIX_BYTES]
    has_length = len(data) > 5 and data[5] >= PREFIX_BYTES
    return data[6 : 6 + PREFIX_BYTES] if has_length else b""


@dataclass(slots=True)
class ClientConnectionId:
    """The start of the connection ID that a server uses for its client on one path."""

    known_prefix: bytes = b""  # empty while it is not known
    _latest_prefix: bytes = b""

    def record(self, data: bytes) -> None:
        """Learn from a datagram of the server: two that begin the same way show the connection ID."""
        prefix = destination_prefix(data)
        if prefix and prefix == self._latest_prefix:
            self.known_prefix = prefix
        self._latest_prefix = prefix

    @classmethod
    def of(cls, connection_id: bytes) -> ClientConnectionId:
        """Return the connection ID that a client has stated, if it is long enough."""
        return cls(connection_id[:PREFIX_BYTES] if len(connection_id) >= PREFIX_BYTES else b"")

    def forget(self) -> None:
        """Forget the connection ID: the server is about to use another one."""
        self.known_prefix = self._latest_prefix = b""
