"""Events: the input of a `Balancer`. Times are in seconds, loads in standard core seconds per second."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias


class ServerState(Enum):
    """State of a server in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class EndpointUpdateScope(Enum):
    """What an update of the endpoint list contains."""

    INCREMENTAL = "incremental"
    COMPLETE = "complete"
    CACHED = "cached"  # the complete list, saved before a restart
    FAILED = "failed"  # a call to discovery failed or the watch broke


@dataclass(slots=True)
class Endpoint:
    """One server of the endpoint list.

    `weight` is the listed size or share, `started_at` the start in Unix time (0: long ago), `machine_type` an index
    into the machine types of the settings (-1: none of them).
    """

    server: int
    zone: int = 0
    cell: int = 0
    state: ServerState = ServerState.READY
    weight: float = 1.0
    started_at: float = 0.0
    machine_type: int = -1


class Outcome(Enum):
    """How an attempt ended. Some outcomes prove that the server did not execute the request."""

    OK = ("ok", False)
    ERROR = ("error", False)
    REJECTED = ("rejected", True)
    TIMED_OUT = ("timed_out", False)
    UNREACHABLE = ("unreachable", True)
    CONNECTION_LOST = ("connection_lost", False)
    CANCELLED = ("cancelled", False)
    NOT_SENT = ("not_sent", True)

    def __init__(self, label: str, known_not_executed: bool) -> None:
        """Store the label for logs and counters, and whether the request is known not to have been executed."""
        self.label = label
        self.known_not_executed = known_not_executed


@dataclass(slots=True)
class LoadReport:
    """A server's report of its load from all balancers together.

    `utilization` is its requested load divided by its current capacity, `connections` the number of its connections.
    """

    utilization: float
    connections: float


@dataclass(slots=True)
class Started:
    """The balancer starts. Always the first event."""


@dataclass(slots=True)
class EndpointListConfirmed:
    """The endpoint list is current, or the discovery service cannot be reached."""


@dataclass(slots=True)
class EndpointsChanged:
    """The endpoint list changed, or could not be fetched."""

    scope: EndpointUpdateScope
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(slots=True)
class Request:
    """A client's request for a connection. It must get exactly one final answer.

    `time_left` is the time until its deadline, `load_hint` the load that the client expects, `affinity_key` a key of
    the client, `retried_by_client` whether the client retries an earlier request, `reconnecting` whether the client
    was connected before. `client_request_id` is the id that the client gave the request, where `request_id` is
    another one; by it a repetition is recognized.
    """

    request_id: str
    class_index: int
    time_left: float
    tenant: int = 0
    affinity_key: int | None = None
    load_hint: float | None = None
    session_group: int | None = None
    retried_by_client: bool = False
    reconnecting: bool = False
    client_request_id: str = ""

    @property
    def repetition_id(self) -> str:
        """The id by which a repetition of the request is recognized."""
        return self.client_request_id or self.request_id


@dataclass(slots=True)
class ConnectionAdopted:
    """A connection that was already open when this balancer started."""

    request: Request
    server: int


@dataclass(slots=True)
class ConnectionEstablished:
    """An attempt established its connection, `latency` seconds after the start of the attempt."""

    request_id: str
    attempt: int
    server: int
    latency: float


@dataclass(slots=True)
class AttemptEnded:
    """An attempt, or the connection that it established, ended. `finished`: the request has its final answer."""

    request_id: str
    attempt: int
    server: int
    outcome: Outcome
    latency: float = 0.0
    finished: bool = False


@dataclass(slots=True)
class ClientDisconnected:
    """The client disconnected and needs no answer."""

    request_id: str


@dataclass(slots=True)
class HealthCheckCompleted:
    """A health check ended, with or without an answer, after `latency` seconds."""

    server: int
    outcome: Outcome
    latency: float = 0.0
    report: LoadReport | None = None


@dataclass(slots=True)
class ConnectionLoadReported:
    """The load of an open connection changed to `load`."""

    request_id: str
    server: int
    load: float


@dataclass(slots=True)
class ServerLatencyReported:
    """A message currently takes `latency` seconds at a server, as reported for the connection of a request."""

    request_id: str
    server: int
    latency: float


@dataclass(slots=True)
class TimerFired:
    """A timer set by `SetTimer` is due."""

    timer: str


Event: TypeAlias = (
    Started
    | EndpointsChanged
    | EndpointListConfirmed
    | Request
    | ConnectionAdopted
    | ConnectionEstablished
    | AttemptEnded
    | ClientDisconnected
    | HealthCheckCompleted
    | ConnectionLoadReported
    | ServerLatencyReported
    | TimerFired
)
