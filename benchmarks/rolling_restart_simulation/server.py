"""A simulated server: its capacity, load and response times."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from enum import Enum
from math import sqrt

from aspensaddle.core.events import Endpoint
from benchmarks.rolling_restart_simulation.client import Client
from benchmarks.rolling_restart_simulation.model import (
    CORES_PER_SERVER,
    LISTED_CORE_SPEEDS,
    MAX_TIMELY_BACKLOG,
    MEAN_CONNECTION_LOAD,
    MESSAGE_WORK,
    OVERLOAD_MULTIPLE,
    OVERLOAD_WINDOW,
    SESSION_GROUP_WORK,
    TIME_STEP,
    TIMELY_UTILIZATION,
    USABLE_CAPACITY_FRACTION,
)

LONG_AGO = -1e9  # seconds of simulated time
NEVER = 1e9  # seconds of simulated time
MIN_IDLE_FRACTION = 0.05  # limits the queueing time of a message


class ServerPhase(Enum):
    """Whether a server accepts and keeps connections."""

    RUNNING = "running"
    DRAINING = "draining"
    STOPPED = "stopped"
    CRASHED = "crashed"


@dataclass(slots=True, eq=False)
class Server:
    """One server. Times are seconds of simulated time, work is seconds of a standard core."""

    endpoint: Endpoint
    core_speed: float
    started_at: float = LONG_AGO
    initial_capacity_fraction: float = 1.0
    slow_start_duration: float = 1.0
    phase: ServerPhase = ServerPhase.RUNNING
    hangs_from: float = NEVER
    hangs_until: float = NEVER
    backlog: float = 0.0  # outstanding work
    setup_work: float = 0.0  # outstanding work of connection setups
    load: float = 0.0  # work per second of the connections
    next_drop_at: float = 0.0
    connections: dict[int, Client] = field(default_factory=dict)
    session_groups: Counter[int] = field(default_factory=Counter)
    attempt_times: deque[float] = field(default_factory=deque)

    def is_down(self) -> bool:
        """Return whether connection attempts are refused, as the process has ended."""
        return self.phase in (ServerPhase.STOPPED, ServerPhase.CRASHED)

    def is_hung(self, now: float) -> bool:
        """Return whether the server does no work and sends no responses at `now`."""
        return self.hangs_from <= now < self.hangs_until

    def capacity_fraction(self, now: float) -> float:
        """Return the available fraction of the full capacity; less than 1 during slow start."""
        progress = min(1.0, max(0.0, now - self.started_at) / self.slow_start_duration)
        return self.initial_capacity_fraction + (1 - self.initial_capacity_fraction) * progress

    def capacity(self, now: float) -> float:
        """Return the work that the server can do per second."""
        return USABLE_CAPACITY_FRACTION * CORES_PER_SERVER * self.core_speed * self.capacity_fraction(now)

    def demand(self) -> float:
        """Return the requested work per second; connection setups are spread over about a second."""
        return max(0.0, self.load) + SESSION_GROUP_WORK * len(self.session_groups) + self.setup_work

    def message_latency(self, now: float) -> float:
        """Return the seconds that a message waits."""
        if self.is_hung(now):
            return now - self.hangs_from
        capacity = self.capacity(now)
        queueing = MESSAGE_WORK / max(MIN_IDLE_FRACTION, 1 - self.demand() / capacity)
        return queueing + self.backlog / capacity

    def timely_fraction(self, now: float, class_index: int) -> float:
        """Return the fraction of a request class's messages that are answered in time."""
        capacity = self.capacity(now)
        if self.is_hung(now) or self.backlog > MAX_TIMELY_BACKLOG[class_index] * capacity:
            return 0.0
        return min(1.0, max(0.0, (1 - self.demand() / capacity) / (1 - TIMELY_UTILIZATION)))

    def record_attempt(self, now: float, setup_work: float) -> None:
        """Add the work of a connection setup and record its time."""
        self.setup_work += setup_work
        self.attempt_times.append(now)
        while self.attempt_times[0] < now - OVERLOAD_WINDOW:
            self.attempt_times.popleft()

    def is_overloaded_by_attempts(self, now: float) -> bool:
        """Return whether so many attempts arrive during slow start that the server crashes."""
        if now >= self.started_at + self.slow_start_duration:
            return False
        listed_speed = LISTED_CORE_SPEEDS[self.endpoint.machine_type]
        listed_capacity = CORES_PER_SERVER * listed_speed * self.capacity_fraction(now)
        rate = OVERLOAD_MULTIPLE * listed_capacity / self.slow_start_duration
        expected = rate * OVERLOAD_WINDOW / MEAN_CONNECTION_LOAD
        return len(self.attempt_times) > expected + 2 * sqrt(expected) + 2

    def add_connection(self, client: Client) -> None:
        """Add the client's connection and load."""
        self.connections[client.key] = client
        self.load += client.load
        self.session_groups[client.session_group] += 1

    def remove_connection(self, client: Client) -> None:
        """Remove the client's connection and load."""
        del self.connections[client.key]
        self.load -= client.load
        self.session_groups[client.session_group] -= 1
        if not self.session_groups[client.session_group]:
            del self.session_groups[client.session_group]

    def process_step(self, now: float) -> None:
        """Process one time step of work, unless the server hangs; work beyond the capacity adds to the backlog."""
        if self.is_hung(now):
            return
        self.backlog = max(0.0, self.backlog + (self.demand() - self.capacity(now)) * TIME_STEP)
        self.setup_work -= self.setup_work * TIME_STEP
