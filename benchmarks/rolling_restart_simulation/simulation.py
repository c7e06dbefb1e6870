"""Sets up the simulated fleet and advances it step by step."""

from __future__ import annotations

from math import exp

from aspensaddle.core.events import ServerLatencyReported
from benchmarks.rolling_restart_simulation import model
from benchmarks.rolling_restart_simulation.balancer_connector import ZONE_COUNT, BalancerConnector, create_balancer
from benchmarks.rolling_restart_simulation.client_lifecycle import ClientLifecycle
from benchmarks.rolling_restart_simulation.faults import FaultInjector
from benchmarks.rolling_restart_simulation.frontend import Frontend
from benchmarks.rolling_restart_simulation.initial_placement import place_initial_clients
from benchmarks.rolling_restart_simulation.report import SimulationResult
from benchmarks.rolling_restart_simulation.server import ServerPhase
from benchmarks.rolling_restart_simulation.state import SimulationState


class Simulation:
    """One simulated fleet with real balancers."""

    def __init__(
        self, seed: int, balancer_count: int, server_count: int, client_count: int, with_faults: bool = True
    ) -> None:
        """Set up a fleet in operation; `with_faults` schedules a rolling restart."""
        self._state = SimulationState(seed, client_count)
        self._connector = BalancerConnector(self._state)
        self._clients = ClientLifecycle(self._state, self._connector)
        self._faults = FaultInjector(self._state, self._connector, self._clients)
        self._add_servers(server_count)
        self._add_frontends(balancer_count)
        place_initial_clients(self._state, self._clients, client_count)
        self._clients.schedule_arrival()
        if with_faults:
            self._faults.schedule_rolling_restart()

    def run(self) -> SimulationResult:
        """Run to the end and return the figures."""
        state, statistics = self._state, self._state.statistics
        snapshot_times = list(model.SNAPSHOT_TIMES)
        for step in range(1, round(model.SIMULATION_DURATION / model.TIME_STEP) + 1):
            state.queue.run_until(step * model.TIME_STEP)
            self._advance_servers()
            self._report_latencies(step)
            statistics.record_step(state.clients.values(), state.servers)
            if snapshot_times and state.now >= snapshot_times[0] - model.TIME_STEP / 2:
                snapshot_times.pop(0)
                statistics.record_snapshot(state.servers.values())
        return statistics.result(state.clients.values())

    def _add_servers(self, count: int) -> None:
        fast_count = round(model.FAST_SERVER_FRACTION * count)
        for index in range(count):
            server = self._state.add_server(index, index % ZONE_COUNT, 0 if index < fast_count else 1)
            self._state.endpoints[index] = server.endpoint

    def _add_frontends(self, count: int) -> None:
        for index in range(count):
            weight = exp(self._state.random.gauss(0.0, model.FRONTEND_WEIGHT_SIGMA))
            balancer = create_balancer(self._state.seed, index, 0, count)
            frontend = Frontend(index, index % ZONE_COUNT, weight, balancer)
            self._state.frontends.append(frontend)
            self._connector.start(frontend)

    def _advance_servers(self) -> None:
        for server in list(self._state.servers.values()):
            if server.phase in (ServerPhase.RUNNING, ServerPhase.DRAINING):
                server.process_step(self._state.now)
                self._faults.drop_connections_on_overload(server)

    def _report_latencies(self, step: int) -> None:
        """Report messages that wait at hung servers to some of the balancers, in turn."""
        for frontend in self._state.frontends[step % model.LATENCY_REPORT_STEPS :: model.LATENCY_REPORT_STEPS]:
            if not frontend.restarting:
                self._report_hung_servers(frontend)

    def _report_hung_servers(self, frontend: Frontend) -> None:
        now = self._state.now
        for index, connections in list(frontend.connections.items()):
            server = self._state.servers[index]
            if connections and server.is_hung(now):
                client = next(iter(connections.values()))
                event = ServerLatencyReported(client.request_id, index, server.message_latency(now))
                self._connector.deliver(frontend, event)
