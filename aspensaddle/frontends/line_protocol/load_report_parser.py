"""Parser of a server's LOAD lines, which report the connection's load or the server's latency.

The protocol uses the word LOAD for both. A load is that of the connection, in microseconds of work per second. A
latency is that of messages at the server, in milliseconds, and is reported once a second on one connection of each
balancer. The parser distinguishes them by their values:

- The first value of a connection, right after its UP, is its load.
- No message takes longer than the longest deadline of a request class, since a server with more work queued drops
  connections. A value that exceeds this deadline, read as milliseconds, is a load.
- A smaller value is a latency if it is below `MIN_LOAD_RATIO` of the previous load, or if the server's last such
  value came a second ago. Otherwise it counts as a load, which is corrected if a value one second later shows that it
  was a latency.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from aspensaddle.core.settings import Settings

MIN_LOAD_RATIO = 0.05  # a load rarely drops at once below this part of the previous load
LATENCY_INTERVAL_SECONDS = 1.0  # time between two latency reports of a server
LATENCY_INTERVAL_TOLERANCE_SECONDS = 0.1
MAX_REPORTED_VALUE = 1e12
MICROSECONDS_PER_SECOND = 1e6
MILLISECONDS_PER_SECOND = 1e3


@dataclass(frozen=True, slots=True)
class ConnectionLoad:
    """Load of a connection, in seconds of a standard core per second."""

    load: float


@dataclass(frozen=True, slots=True)
class ServerLatency:
    """Latency of a message at the server, in seconds."""

    latency: float


LoadLineReport: TypeAlias = ConnectionLoad | ServerLatency


class LatencySchedule:
    """Time of one server's last value, on any connection, that may be a latency."""

    __slots__ = ("last_at",)

    def __init__(self) -> None:
        """Start without a value."""
        self.last_at = float("-inf")

    def record(self, now: float) -> bool:
        """Record a value; return whether it came one interval after the previous one."""
        elapsed, self.last_at = now - self.last_at, now
        return abs(elapsed - LATENCY_INTERVAL_SECONDS) <= LATENCY_INTERVAL_TOLERANCE_SECONDS


class LoadReportParser:
    """Parser of the LOAD lines of one connection.

    Attributes:
        load: Load of the connection as last reported.
    """

    __slots__ = ("_first_value_until", "_load_before", "_max_latency_ms", "_schedule", "load")

    def __init__(self, settings: Settings, schedule: LatencySchedule, established_at: float) -> None:
        """Create a parser for a connection, established at a time in seconds, to the server of `schedule`."""
        self.load = 0.0
        self._load_before: float | None = None  # the load before the last one, if that may have been a latency
        self._schedule = schedule
        longest_deadline = max(request_class.deadline for request_class in settings.classes)
        self._max_latency_ms = MILLISECONDS_PER_SECOND * longest_deadline if settings.servers_report_latency else 0.0
        self._first_value_until = established_at + min(
            request_class.message_latency_objective for request_class in settings.classes
        )

    def parse(self, line: bytes, now: float) -> tuple[LoadLineReport, ...]:
        """Return the reports in a LOAD line, none if its value is invalid or out of range."""
        try:
            value = float(line.split()[1])
        except (IndexError, ValueError):
            return ()
        if not 0 <= value < MAX_REPORTED_VALUE:
            return ()
        if value >= self._max_latency_ms or now <= self._first_value_until:
            return self._take_load(value, None)
        on_schedule = self._schedule.record(now)
        if not on_schedule and value >= MIN_LOAD_RATIO * self.load * MICROSECONDS_PER_SECOND:
            return self._take_load(value, self.load)
        latency = ServerLatency(value / MILLISECONDS_PER_SECOND)
        if on_schedule and self._load_before is not None:
            self.load, self._load_before = self._load_before, None
            return ConnectionLoad(self.load), latency
        return (latency,)

    def _take_load(self, value: float, load_before: float | None) -> tuple[LoadLineReport, ...]:
        self.load, self._load_before = value / MICROSECONDS_PER_SECOND, load_before
        return (ConnectionLoad(self.load),)
