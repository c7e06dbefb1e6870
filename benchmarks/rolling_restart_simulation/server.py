"""A simulated server: its capacity, its load and how it answers."""

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

LONG_AGO, NEVER = -1e9, 1e9  # s of simulated time
MIN_IDLE_FRACTION = 0.05  # bounds the queueing time of a message


class ServerPhase(Enum):
    """What a server does with connections."""

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
    backlog: float = 0.0  # work not done yet
    setup_work: float = 0.0  # work of connection setups not done yet
    load: float = 0.0  # of its connections, work per second
    next_drop_at: float = 0.0
    connections: dict[int, Client] = field(default_factory=dict)
    session_groups: Counter[int] = field(default_factory=Counter)
    attempt_times: deque[float] = field(default_factory=deque)

    def is_down(self) -> bool:
        """Return whether connections to it are refused."""
        return self.phase in (ServerPhase.STOPPED, ServerPhase.CRASHED)

    def is_hung(self, now: float) -> bool:
        """Return whether it neither works nor answers at `now`."""
        return self.hangs_from <= now < self.hangs_until

    def capacity_fraction(self, now: float) -> float:
        """Return the part of its capacity that is available; less than 1 during its slow start."""
        progress = min(1.0, max(0.0, now - self.started_at) / self.slow_start_duration)
        return self.initial_capacity_fraction + (1 - self.initial_capacity_fraction) * progress

    def capacity(self, now: float) -> float:
        """Return the work that it can do per second."""
        return USABLE_CAPACITY_FRACTION * CORES_PER_SERVER * self.core_speed * self.capacity_fraction(now)

    def demand(self) -> float:
        """Return the work per second that it is asked for; connection setups are spread over a second."""
        return max(0.0, self.load) + SESSION_GROUP_WORK * len(self.session_groups) + self.setup_work

    def message_latency(self, now: float) -> float:
        """Return the seconds that a message waits."""
        if self.is_hung(now):
            return now - self.hangs_from
        capacity = self.capacity(now)
        queueing = MESSAGE_WORK / max(MIN_IDLE_FRACTION, 1 - self.demand() / capacity)
        return queueing + self.backlog / capacity

    def timely_fraction(self, now: float, class_index: int) -> float:
        """Return the part of a request class's messages that is answered in time."""
        capacity = self.capacity(now)
        if self.is_hung(now) or self.backlog > MAX_TIMELY_BACKLOG[class_index] * capacity:
            return 0.0
        return min(1.0, max(0.0, (1 - self.demand() / capacity) / (1 - TIMELY_UTILIZATION)))

    def record_attempt(self, now: float, setup_work: float) -> None:
        """Take on the work of a connection setup."""
        self.setup_work += setup_work
        self.attempt_times.append(now)
        while self.attempt_times[0] < now - OVERLOAD_WINDOW:
            self.attempt_times.popleft()

    def is_overrun_by_attempts(self, now: float) -> bool:
        """Return whether it gets so many attempts during its slow start that it crashes."""
        if now >= self.started_at + self.slow_start_duration:
            return False
        listed_speed = LISTED_CORE_SPEEDS[self.endpoint.machine_type]
        listed_capacity = CORES_PER_SERVER * listed_speed * self.capacity_fraction(now)
        rate = OVERLOAD_MULTIPLE * listed_capacity / self.slow_start_duration
        expected = rate * OVERLOAD_WINDOW / MEAN_CONNECTION_LOAD
        return len(self.attempt_times) > expected + 2 * sqrt(expected) + 2

    def add_connection(self, client: Client) -> None:
        """Hold the client's connection."""
        self.connections[client.key] = client
        self.load += client.load
        self.session_groups[client.session_group] += 1

    def remove_connection(self, client: Client) -> None:
        """Let go of the client's connection."""
        del self.connections[client.key]
        self.load -= client.load
        self.session_groups[client.session_group] -= 1
        if not self.session_groups[client.session_group]:
            del self.session_groups[client.session_group]

    def work_for_step(self, now: float) -> None:
        """Work for a time step, if it does not hang; what exceeds the capacity adds to the backlog."""
        if self.is_hung(now):
            return
        self.backlog = max(0.0, self.backlog + (self.demand() - self.capacity(now)) * TIME_STEP)
        self.setup_work -= self.setup_work * TIME_STEP
