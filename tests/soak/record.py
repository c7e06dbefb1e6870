"""What the outside saw of a run: typed events with their times, in seconds since the run began."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass, field
from typing import TypeVar


@dataclass(frozen=True, slots=True)
class Event:
    """Something that happened at a time."""

    at: float


@dataclass(frozen=True, slots=True)
class ProcessStarted(Event):
    """A process of a balancer was started; `process` is its number in the run."""

    process: int
    balancer: str


@dataclass(frozen=True, slots=True)
class ProcessReady(Event):
    """It answered PING with PONG."""

    process: int


@dataclass(frozen=True, slots=True)
class SignalSent(Event):
    """A signal by its name; `is_planned_kill` where SIGKILL follows SIGTERM after the page's time."""

    process: int
    signal: str
    is_planned_kill: bool = False


@dataclass(frozen=True, slots=True)
class ProcessExited(Event):
    """It exited; `internal_errors` are those that its log counted."""

    process: int
    code: int
    internal_errors: int


@dataclass(frozen=True, slots=True)
class ProcessMeasured(Event):
    """What a process held, at some time and, with `is_quiet`, after all clients had left."""

    process: int
    descriptors: int
    memory_bytes: int
    is_quiet: bool = False


@dataclass(frozen=True, slots=True)
class RequestSent(Event):
    """The last byte of an OPEN was written. `wait` is its d in seconds.

    With `on_answered_connection` it was sent on a connection that had got its answer, and is owed none.
    """

    request_id: str
    process: int
    class_name: str
    wait: float
    adopted_server: str | None = None
    on_answered_connection: bool = False


@dataclass(frozen=True, slots=True)
class ResponseReceived(Event):
    """A whole line came as the answer."""

    request_id: str
    line: str


@dataclass(frozen=True, slots=True)
class ConnectionMoved(Event):
    """An open connection was sent MOVE."""

    request_id: str


@dataclass(frozen=True, slots=True)
class ConnectionStale(Event):
    """An open connection had brought nothing back for longer than the page allows."""

    request_id: str


@dataclass(frozen=True, slots=True)
class ConnectionEnded(Event):
    """A client's connection ended."""

    request_id: str
    by_client: bool
    was_reset: bool = False


@dataclass(frozen=True, slots=True)
class AttemptReceived(Event):
    """A server read the first byte of a first line at this time."""

    request_id: str
    server: str


@dataclass(frozen=True, slots=True)
class AttemptAnswered(Event):
    """A server decided on an attempt: the first word of its answer, or what it did instead."""

    request_id: str
    server: str
    answer: str


@dataclass(frozen=True, slots=True)
class ServerEndedConnection(Event):
    """A server ended an open connection."""

    request_id: str
    server: str


@dataclass(frozen=True, slots=True)
class ServerFault(Event):
    """A server misbehaves until `until`."""

    server: str
    fault: str
    until: float


@dataclass(frozen=True, slots=True)
class EndpointChanged(Event):
    """The list changed: active, leaving or left."""

    server: str
    state: str


@dataclass(frozen=True, slots=True)
class UpdateWritten(Event):
    """Discovery wrote to a balancer that a server is in a state."""

    balancer: str
    server: str
    state: str


@dataclass(frozen=True, slots=True)
class DiscoveryFault(Event):
    """Discovery misbehaves until `until`; it can be reached by nobody then, unless its watches only fall silent."""

    fault: str
    until: float


EventType = TypeVar("EventType", bound=Event)


@dataclass(slots=True)
class Record:
    """The events of one run, and how late the harness itself was, in seconds."""

    events: list[Event] = field(default_factory=list)
    harness_lag: float = 0.0
    has_crowd: bool = False
    started_at: float = field(default_factory=time.monotonic)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def now(self) -> float:
        """Return the seconds since the run began."""
        return time.monotonic() - self.started_at

    def add(self, event: Event) -> None:
        """Add an event, from any thread."""
        with self._lock:
            self.events.append(event)

    def of(self, kind: type[EventType]) -> list[EventType]:
        """Return the events of a kind, by time."""
        return sorted((event for event in self.events if isinstance(event, kind)), key=lambda event: event.at)
