"""Errors of the line protocol's connections and lines."""

from __future__ import annotations


class LineProtocolError(Exception):
    """Base of the errors of this front end."""


class ConnectionBrokenError(LineProtocolError):
    """A connection was reset or can no longer be used.

    Attributes:
        operation: What was attempted on the connection, such as "receive" or "send".
    """

    def __init__(self, operation: str) -> None:
        """Note the operation that failed."""
        super().__init__(f"connection broken during {operation}")
        self.operation = operation


class LineTooLongError(LineProtocolError):
    """A line is longer than the protocol allows.

    Attributes:
        length: Bytes of the line that have arrived.
        limit: Bytes that a line may have, its end included.
    """

    def __init__(self, length: int, limit: int) -> None:
        """Note the length and the limit, in bytes."""
        super().__init__(f"line of {length} bytes or more, at most {limit} are allowed")
        self.length = length
        self.limit = limit


class InvalidOpenError(LineProtocolError):
    """The first line of a client is not a valid OPEN, or not allowed now.

    Attributes:
        reason: What is wrong with it.
    """

    def __init__(self, reason: str) -> None:
        """Note what is wrong."""
        super().__init__(reason)
        self.reason = reason
