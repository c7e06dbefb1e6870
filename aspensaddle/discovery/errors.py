"""Errors of a discovery call. Each names the part of the call that failed and carries what was seen."""

from __future__ import annotations


class DiscoveryError(Exception):
    """A discovery call failed or its watch broke."""


class DiscoveryConnectionError(DiscoveryError):
    """The connection to the discovery service failed.

    Attributes:
        reason: What the system reported.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason or "the connection broke")
        self.reason = reason


class ConnectTimeoutError(DiscoveryError):
    """The connection was not established in time.

    Attributes:
        timeout_seconds: How long it was waited for.
    """

    def __init__(self, timeout_seconds: float) -> None:
        super().__init__(f"the connection was not established within {timeout_seconds} s")
        self.timeout_seconds = timeout_seconds


class WatchTimeoutError(DiscoveryError):
    """No complete value and no heartbeat arrived in time."""

    def __init__(self) -> None:
        super().__init__("no complete line arrived in time")


class ResponseStatusError(DiscoveryError):
    """The service answered with a status other than 200.

    Attributes:
        status: The HTTP status.
    """

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status}")
        self.status = status


class InvalidResponseError(DiscoveryError):
    """The response is not valid HTTP, or ended before its announced length.

    Attributes:
        reason: What is wrong with it.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class ValueTooLongError(DiscoveryError):
    """A JSON value exceeds the size limit.

    Attributes:
        limit_bytes: The limit.
    """

    def __init__(self, limit_bytes: int) -> None:
        super().__init__(f"an endpoint list is longer than {limit_bytes} bytes")
        self.limit_bytes = limit_bytes


class IncompleteValueError(DiscoveryError):
    """The response ended within a JSON value."""

    def __init__(self) -> None:
        super().__init__("the response ends within an endpoint list")
