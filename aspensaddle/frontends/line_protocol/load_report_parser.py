"""Parser of a server's LOAD lines, which report the connection's load or the server's latency.

The protocol has one word for both: the load of the connection, in microseconds of work per second, and the latency
of messages at the server, in milliseconds, once a second on one connection of each balancer. They are told apart by
their values:

- The first figure of a connection, right after its UP, is its load.
- No message takes longer than the longest deadline of a class, since a server with more work queued drops
  connections. A figure above it, read as milliseconds, is a load.
- A smaller figure is a latency if it is below `MIN_LOAD_RATIO` of the load before, or if the server's last such
  figure came a second ago. Otherwise it is taken as a load, and that is corrected if the next second shows that it
  was a latency.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from aspensaddle.core.settings import Settings

MIN_LOAD_RATIO = 0.05  # of the load before: a load rarely falls to less
LATENCY_INTERVAL_SECONDS = 1.0  # between two latencies of a server
LATENCY_INTERVAL_TOLERANCE_SECONDS = 0.1
MAX_FIGURE = 1e12
MICROSECONDS_PER_SECOND = 1e6
MILLISECONDS_PER_SECOND = 1e3


@dataclass(frozen=True, slots=True)
class ConnectionLoad:
    """The connection's load, in seconds of a standard core per second."""

    load: float


@dataclass(frozen=True, slots=True)
class ServerLatency:
    """The time that a message takes at the server, in seconds."""

    latency: float


LoadLineReport: TypeAlias = ConnectionLoad | ServerLatency


class LatencySchedule:
    """Time of one server's last figure that may be a latency, on any connection."""

    __slots__ = ("last_at",)

    def __init__(self) -> None:
        """Start without a figure."""
        self.last_at = float("-inf")

    def record(self, now: float) -> bool:
        """Note a figure; return whether it came one interval after the one before."""
        passed, self.last_at = now - self.last_at, now
        return abs(passed - LATENCY_INTERVAL_SECONDS) <= LATENCY_INTERVAL_TOLERANCE_SECONDS


class LoadReportParser:
    """Parser of the LOAD lines of one connection.

    Attributes:
        load: The connection's load as last reported.
    """

    __slots__ = ("_first_figure_until", "_load_before", "_max_latency_ms", "_schedule", "load")

    def __init__(self, settings: Settings, schedule: LatencySchedule, established_at: float) -> None:
        """Start for a connection established at a time in seconds, to the server of `schedule`."""
        self.load = 0.0
        self._load_before: float | None = None  # replaced by a load that may have been a latency
        self._schedule = schedule
        longest_deadline = max(request_class.deadline for request_class in settings.classes)
        self._max_latency_ms = MILLISECONDS_PER_SECOND * longest_deadline if settings.servers_report_latency else 0.0
        self._first_figure_until = established_at + min(
            request_class.message_latency_objective for request_class in settings.classes
        )

    def parse(self, line: bytes, now: float) -> tuple[LoadLineReport, ...]:
        """Return what a LOAD line reports; nothing if it has no figure in range."""
        try:
            figure = float(line.split()[1])
        except (IndexError, ValueError):
            return ()
        if not 0 <= figure < MAX_FIGURE:
            return ()
        if figure >= self._max_latency_ms or now <= self._first_figure_until:
            return self._take_load(figure, None)
        on_schedule = self._schedule.record(now)
        if not on_schedule and figure >= MIN_LOAD_RATIO * self.load * MICROSECONDS_PER_SECOND:
            return self._take_load(figure, self.load)
        latency = ServerLatency(figure / MILLISECONDS_PER_SECOND)
        if on_schedule and self._load_before is not None:
            self.load, self._load_before = self._load_before, None
            return ConnectionLoad(self.load), latency
        return (latency,)

    def _take_load(self, figure: float, load_before: float | None) -> tuple[LoadLineReport, ...]:
        self.load, self._load_before = figure / MICROSECONDS_PER_SECOND, load_before
        return (ConnectionLoad(self.load),)
