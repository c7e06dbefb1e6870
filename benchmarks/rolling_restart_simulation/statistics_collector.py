"""Collects the figures of the report: service given and lost, events, durations and snapshots."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Collection
from statistics import median

from benchmarks.rolling_restart_simulation.client import Client, ClientState
from benchmarks.rolling_restart_simulation.event_queue import EventQueue
from benchmarks.rolling_restart_simulation.model import (
    COUNTING_PERIOD,
    DURATION_SAMPLE_FROM,
    DURATION_SAMPLE_TO,
    PRIORITY_WEIGHTS,
    SESSION_GROUP_WORK,
    SIMULATION_DURATION,
    TIME_STEP,
)
from benchmarks.rolling_restart_simulation.report import CountedEvent, ServerUtilization, SimulationResult, Snapshot
from benchmarks.rolling_restart_simulation.server import Server, ServerPhase


class StatisticsCollector:
    """Collects the figures of one simulation."""

    def __init__(self, queue: EventQueue) -> None:
        """Start with all figures at zero; `queue` provides the current time."""
        self.crashes = 0
        self._queue = queue
        self._wanted = 0.0  # seconds of service, by priority weight
        self._served = 0.0
        self._lost = defaultdict[str, float](float)
        self._durations: list[float] = []
        self._snapshots: list[Snapshot] = []
        self._counts = [Counter[CountedEvent]() for _ in range(int(SIMULATION_DURATION / COUNTING_PERIOD))]

    def count(self, event: CountedEvent) -> None:
        """Count `event` in the current period."""
        period = min(len(self._counts) - 1, int(self._queue.now / COUNTING_PERIOD))
        self._counts[period][event] += 1

    def record_connection_end(self, client: Client) -> None:
        """Record how long the client's connection was open, if it began within the sample period."""
        if _is_sampled(client):
            self._durations.append(self._queue.now - client.connected_at)

    def record_step(self, clients: Collection[Client], servers: dict[int, Server]) -> None:
        """Add the service that each client received and lost in one time step."""
        now = self._queue.now
        timely = {
            index: [server.timely_fraction(now, class_index) for class_index in range(len(PRIORITY_WEIGHTS))]
            for index, server in servers.items()
        }
        for client in clients:
            wanted = PRIORITY_WEIGHTS[client.class_index] * TIME_STEP
            connected = client.state is ClientState.CONNECTED
            fraction = timely[client.server][client.class_index] if connected else 0.0
            self._wanted += wanted
            self._served += wanted * fraction
            if fraction < 1.0:
                self._lost[self._loss_cause(client, servers)] += wanted * (1 - fraction)

    def record_snapshot(self, servers: Collection[Server]) -> None:
        """Record the state of the fleet."""
        now = self._queue.now
        running = [server for server in servers if server.phase is ServerPhase.RUNNING]
        pairs = [count for server in servers for count in server.session_groups.values()]
        overloaded = sum(len(server.connections) for server in running if not server.timely_fraction(now, 0))
        snapshot = Snapshot(
            time=now,
            connections=sum(pairs),
            pairs=len(pairs),
            pairs_with_one_connection=pairs.count(1),
            pair_work=SESSION_GROUP_WORK * len(pairs),
            load=sum(server.load for server in servers),
            old_servers=_utilization([server for server in running if server.started_at < 0], now),
            new_servers=_utilization([server for server in running if server.started_at >= 0], now),
            overloaded_fraction=overloaded / max(1, sum(pairs)),
        )
        self._snapshots.append(snapshot)

    def result(self, clients: Collection[Client]) -> SimulationResult:
        """Return the figures; connections of `clients` that are still open count with their duration so far."""
        open_durations = [
            self._queue.now - client.connected_at
            for client in clients
            if client.state is ClientState.CONNECTED and _is_sampled(client)
        ]
        return SimulationResult(
            self._served / self._wanted,
            {cause: lost / self._wanted for cause, lost in self._lost.items()},
            self._snapshots,
            self._counts,
            median(self._durations + open_durations or [0.0]),
            self.crashes,
        )

    def _loss_cause(self, client: Client, servers: dict[int, Server]) -> str:
        if client.state is ClientState.CONNECTING:
            return str(ClientState.RECONNECTING.value)
        if client.state is not ClientState.CONNECTED:
            return str(client.state.value)
        server = servers[client.server]
        if server.is_hung(self._queue.now):
            return "hung"
        return "overrun" if server.capacity_fraction(self._queue.now) >= 1 else "cold"


def _is_sampled(client: Client) -> bool:
    return DURATION_SAMPLE_FROM <= client.connected_at < DURATION_SAMPLE_TO


def _utilization(servers: list[Server], now: float) -> ServerUtilization:
    if not servers:
        return ServerUtilization()
    return ServerUtilization(
        len(servers),
        median(server.demand() / server.capacity(now) for server in servers),
        median(server.demand() for server in servers),
    )
