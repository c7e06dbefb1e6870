"""The state that all parts of a simulation share."""

from __future__ import annotations

from collections.abc import Callable
from itertools import accumulate
from random import Random

from aspensaddle.core.events import Endpoint
from benchmarks.rolling_restart_simulation.client import Client
from benchmarks.rolling_restart_simulation.event_queue import EventQueue
from benchmarks.rolling_restart_simulation.frontend import Frontend
from benchmarks.rolling_restart_simulation.model import (
    ACTUAL_CORE_SPEEDS,
    BALANCER_CLOCK_START,
    CORES_PER_SERVER,
    INITIAL_CAPACITY_FRACTIONS,
    MEAN_CLIENT_DURATION,
    OVERLOAD_DROP_BACKLOG,
    RETRY_AFTER_COMPLIANCE,
    SESSION_GROUP_COUNT,
    SETUP_WORK,
    SLOW_START_DURATIONS,
    ZONE_IMBALANCE,
)
from benchmarks.rolling_restart_simulation.server import Server
from benchmarks.rolling_restart_simulation.statistics_collector import StatisticsCollector


class SimulationState:
    """Random numbers, time, clients, servers and front ends of one simulation.

    All parts use the same random generator, so the order of draws determines the figures of a seed.
    """

    def __init__(self, seed: int, client_count: int) -> None:
        """Draw the random properties of this simulation."""
        self.seed = seed
        self.random = Random(seed)
        self.queue = EventQueue()
        self.statistics = StatisticsCollector(self.queue)
        self.clients: dict[int, Client] = {}
        self.servers: dict[int, Server] = {}
        self.frontends: list[Frontend] = []
        self.endpoints: dict[int, Endpoint] = {}  # the discovery service's endpoint list
        self.arrival_rate = client_count / MEAN_CLIENT_DURATION  # new clients per second
        self.setup_work = self.random.uniform(*SETUP_WORK)
        self.overload_drop_backlog = self.random.uniform(*OVERLOAD_DROP_BACKLOG)
        self.retry_after_compliance = self.random.uniform(*RETRY_AFTER_COMPLIANCE)
        group_count = self.random.randint(*SESSION_GROUP_COUNT)
        self.cumulative_group_weights = list(accumulate(1 / (group + 2) for group in range(group_count)))
        self.first_zone_fraction = 0.5 * (1 + self.random.uniform(*ZONE_IMBALANCE))

    @property
    def now(self) -> float:
        """The simulated time in seconds."""
        return self.queue.now

    def add_server(self, index: int, zone: int, machine_type: int, started_at: float | None = None) -> Server:
        """Add a server that starts at `started_at`; without it, one that started long before the simulation."""
        listed_start_time = 0.0 if started_at is None else BALANCER_CLOCK_START + started_at
        endpoint = Endpoint(
            index, zone, weight=CORES_PER_SERVER, started_at=listed_start_time, machine_type=machine_type
        )
        server = Server(endpoint, self.random.uniform(*ACTUAL_CORE_SPEEDS[machine_type]))
        if started_at is not None:
            server.started_at = started_at
            server.initial_capacity_fraction = self.random.uniform(*INITIAL_CAPACITY_FRACTIONS[machine_type])
            server.slow_start_duration = self.random.uniform(*SLOW_START_DURATIONS[machine_type])
        self.servers[index] = server
        return server

    def schedule_for_client(self, client: Client, delay: float, callback: Callable[[Client], None]) -> None:
        """Run `callback` in `delay` seconds, unless the client's state has changed by then."""
        version = client.state_version

        def run() -> None:
            if client.state_version == version:
                callback(client)

        self.queue.schedule(self.now + delay, run)
