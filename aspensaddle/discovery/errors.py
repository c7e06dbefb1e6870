"""Errors of a discovery call: one class for each kind of failure, with its details as attributes."""

from __future__ import annotations

from enum import Enum


class FailureReason(Enum):
    """Why a call failed, as the log and the counters name it."""

    UNREACHABLE = "unreachable"  # the connection was not established: the service is down or cut off
    REJECTED = "rejected"  # the service responds with an error status: it is down, or overloaded
    CONNECTION_LOST = "connection_lost"
    SILENT = "silent"
    INVALID_RESPONSE = "invalid_response"
    INTERNAL_ERROR = "internal_error"  # an exception that no code expected


class DiscoveryError(Exception):
    """A discovery call failed or its watch broke.

    Attributes:
        failure_reason: Why the call failed.
    """

    failure_reason = FailureReason.INVALID_RESPONSE


class DiscoveryConnectionError(DiscoveryError):
    """The connection to the discovery service failed.

    Attributes:
        reason: The operating system's error message.
        was_connected: Whether the connection had been established.
    """

    def __init__(self, reason: str, *, was_connected: bool) -> None:
        super().__init__(reason or "the connection broke")
        self.reason = reason
        self.was_connected = was_connected
        self.failure_reason = FailureReason.CONNECTION_LOST if was_connected else FailureReason.UNREACHABLE


class ConnectTimeoutError(DiscoveryError):
    """The connection was not established in time.

    Attributes:
        timeout_seconds: How long the balancer waited.
    """

    failure_reason = FailureReason.UNREACHABLE

    def __init__(self, timeout_seconds: float) -> None:
        super().__init__(f"the connection was not established within {timeout_seconds} s")
        self.timeout_seconds = timeout_seconds


class WatchTimeoutError(DiscoveryError):
    """No complete value and no heartbeat arrived in time."""

    failure_reason = FailureReason.SILENT

    def __init__(self) -> None:
        super().__init__("no complete line arrived in time")


class ResponseStatusError(DiscoveryError):
    """The service responded with a status other than 200.

    Attributes:
        status: The HTTP status.
    """

    failure_reason = FailureReason.REJECTED

    def __init__(self, status: int) -> None:
        super().__init__(f"the service responded with HTTP status {status}")
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
