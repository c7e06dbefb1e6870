"""Actions: what a `Balancer` decides. Times are seconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias


class RejectReason(Enum):
    """Why a request was rejected, as the log and the counters name it."""

    OVERLOAD = "overload"  # too many of the servers that hold connections are slow
    OVER_QUOTA = "over_quota"  # the same, for a tenant over its quota, which is rejected sooner
    RETRY_STORM = "retry_storm"  # the client reconnects while connections are being lost or capacity is missing
    SLOW_START_LIMIT = "slow_start_limit"  # only servers that are warming up were left, and their limit is reached
    AFFINITY_SERVER_WARMING_UP = "affinity_server_warming_up"  # the preferred server has reached its limit
    NO_AVAILABLE_SERVER = "no_available_server"  # no server is ready, has capacity and may be sent this
    ENDPOINTS_UNCONFIRMED = "endpoints_unconfirmed"  # the list could not be refreshed for too long
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
    """Final answer: not executed, or a retry is harmless. The client may retry after `retry_after`."""

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
    """Watch the endpoint list at discovery from now on."""


@dataclass(slots=True)
class SetTimer:
    """Fire a timer after `delay`."""

    timer: str
    delay: float


RequestAction: TypeAlias = StartAttempt | Reject | Fail | CancelAttempt | Migrate
Action: TypeAlias = RequestAction | CheckHealth | WatchEndpoints | SetTimer
