"""Actions: the decisions of a `Balancer`, to be carried out by its driver. Times are in seconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias


class RejectReason(Enum):
    """Why a request was rejected. The values appear in the log and in the names of counters."""

    OVERLOAD = "overload"  # too many of the servers with connections are slow
    OVER_QUOTA = "over_quota"  # as OVERLOAD, for a tenant over its quota, which is rejected earlier
    RETRY_STORM = "retry_storm"  # the client reconnects while connections are being lost or capacity is missing
    SLOW_START_LIMIT = "slow_start_limit"  # only servers that are warming up were left, and their limit is reached
    AFFINITY_SERVER_WARMING_UP = "affinity_server_warming_up"  # the preferred server's slow start limit is reached
    NO_AVAILABLE_SERVER = "no_available_server"  # no server is ready, has capacity and is allowed for the request
    ENDPOINTS_UNCONFIRMED = "endpoints_unconfirmed"  # the endpoint list has not been refreshed for too long
    ATTEMPTS_EXHAUSTED = "attempts_exhausted"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    SHUTTING_DOWN = "shutting_down"


@dataclass(slots=True)
class StartAttempt:
    """Start an attempt. The attempts of a request are numbered from 0."""

    request_id: str
    server: int
    timeout: float


@dataclass(slots=True)
class Reject:
    """Final answer: the client may retry after `retry_after`.

    The request was not executed, or a retry is harmless.
    """

    request_id: str
    retry_after: float
    reason: RejectReason


@dataclass(slots=True)
class Fail:
    """Final answer: the request failed and may have been executed."""

    request_id: str


@dataclass(slots=True)
class CancelAttempt:
    """Cancel an attempt that is in progress."""

    request_id: str
    attempt: int


@dataclass(slots=True)
class Migrate:
    """Ask the client of an open connection to reconnect, and close it gracefully."""

    request_id: str


@dataclass(slots=True)
class CheckHealth:
    """Send a health check to a server."""

    server: int


@dataclass(slots=True)
class WatchEndpoints:
    """Start to watch the endpoint list at the discovery service."""


@dataclass(slots=True)
class SetTimer:
    """Start a timer that fires after `delay`."""

    timer: str
    delay: float


RequestAction: TypeAlias = StartAttempt | Reject | Fail | CancelAttempt | Migrate
Action: TypeAlias = RequestAction | CheckHealth | WatchEndpoints | SetTimer
