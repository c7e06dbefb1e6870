"""Record of a run: typed events seen from outside the balancers, with times in seconds since the run began."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass, field
from typing import TypeVar


@dataclass(frozen=True, slots=True)
class Event:
    """An event and its time."""

    at: float


@dataclass(frozen=True, slots=True)
class ProcessStarted(Event):
    """A balancer process was started; `process` is its number in the run."""

    process: int
    balancer: str


@dataclass(frozen=True, slots=True)
class ProcessReady(Event):
    """A process answered PING with PONG for the first time."""

    process: int


@dataclass(frozen=True, slots=True)
class SignalSent(Event):
    """A signal was sent; `is_planned_kill` marks the SIGKILL that follows SIGTERM after the documented time."""

    process: int
    signal: str
    is_planned_kill: bool = False


@dataclass(frozen=True, slots=True)
class ProcessExited(Event):
    """A process exited; `internal_errors` is the number of internal errors in its log."""

    process: int
    code: int
    internal_errors: int


@dataclass(frozen=True, slots=True)
class ProcessMeasured(Event):
    """Resource usage of a process; `without_clients` marks a sample that was taken after all clients had left."""

    process: int
    descriptors: int
    memory_bytes: int
    without_clients: bool = False


@dataclass(frozen=True, slots=True)
class RequestSent(Event):
    """The last byte of an OPEN was written. `deadline` is its field d, in seconds.

    With `after_response` it was sent on a connection that had already received its response; none is due.
    """

    request_id: str
    process: int
    class_name: str
    deadline: float
    adopted_server: str | None = None
    after_response: bool = False


@dataclass(frozen=True, slots=True)
class ResponseReceived(Event):
    """A client received a complete line as the response."""

    request_id: str
    line: str


@dataclass(frozen=True, slots=True)
class ConnectionMigrated(Event):
    """A client received MOVE on an established connection."""

    request_id: str


@dataclass(frozen=True, slots=True)
class ConnectionStale(Event):
    """An established connection has echoed nothing for longer than PROTOCOL allows."""

    request_id: str


@dataclass(frozen=True, slots=True)
class ConnectionEnded(Event):
    """A client connection ended; `by_client` tells whether the client closed it."""

    request_id: str
    by_client: bool
    was_reset: bool = False


@dataclass(frozen=True, slots=True)
class AttemptReceived(Event):
    """A server received the first byte of a request line."""

    request_id: str
    server: str


@dataclass(frozen=True, slots=True)
class AttemptHandled(Event):
    """A server handled an attempt; `outcome` is the first word of its response, or the fault injected instead."""

    request_id: str
    server: str
    outcome: str


@dataclass(frozen=True, slots=True)
class ServerEndedConnection(Event):
    """A server ended an established connection."""

    request_id: str
    server: str


@dataclass(frozen=True, slots=True)
class ServerFault(Event):
    """A fault of a server began, and lasts until `until`."""

    server: str
    fault: str
    until: float


@dataclass(frozen=True, slots=True)
class EndpointChanged(Event):
    """The state of a server in the endpoint list changed to active, leaving or left."""

    server: str
    state: str


@dataclass(frozen=True, slots=True)
class EndpointUpdateSent(Event):
    """Discovery sent the state of a server to a balancer."""

    balancer: str
    server: str
    state: str


@dataclass(frozen=True, slots=True)
class DiscoveryFault(Event):
    """A fault of discovery began, and lasts until `until`; unless it is `silent`, no balancer can fetch the list."""

    fault: str
    until: float


EventType = TypeVar("EventType", bound=Event)


@dataclass(slots=True)
class Record:
    """The events of one run; `harness_lag` is the largest scheduling delay of the harness itself, in seconds."""

    events: list[Event] = field(default_factory=list)
    harness_lag: float = 0.0
    has_idle_clients: bool = False
    started_at: float = field(default_factory=time.monotonic)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def now(self) -> float:
        """Return the time in seconds since the run began."""
        return time.monotonic() - self.started_at

    def add(self, event: Event) -> None:
        """Add an event; safe to call from any thread."""
        with self._lock:
            self.events.append(event)

    def events_of(self, event_type: type[EventType]) -> list[EventType]:
        """Return the events of a type, sorted by time."""
        return sorted((event for event in self.events if isinstance(event, event_type)), key=lambda event: event.at)
