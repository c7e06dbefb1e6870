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
        """Create the error for the operation that failed."""
        super().__init__(f"connection broken during {operation}")
        self.operation = operation


class LineTooLongError(LineProtocolError):
    """A line is longer than the protocol allows.

    Attributes:
        length: Bytes of the line received so far.
        limit: Bytes allowed in a line, its end included.
    """

    def __init__(self, length: int, limit: int) -> None:
        """Create the error; both arguments are in bytes."""
        super().__init__(f"line of {length} bytes or more, at most {limit} are allowed")
        self.length = length
        self.limit = limit


class InvalidOpenError(LineProtocolError):
    """The first line of a client is not a valid OPEN, or is not allowed now.

    Attributes:
        reason: What is wrong with it.
    """

    def __init__(self, reason: str) -> None:
        """Create the error with the reason."""
        super().__init__(reason)
        self.reason = reason
