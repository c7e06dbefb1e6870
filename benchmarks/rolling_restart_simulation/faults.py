"""Faults of a simulation: replaced servers, hung servers, restarting balancers and overload."""

from __future__ import annotations

from functools import partial

from aspensaddle.core.events import Outcome
from benchmarks.rolling_restart_simulation import model
from benchmarks.rolling_restart_simulation.balancer_connector import BalancerConnector, create_balancer
from benchmarks.rolling_restart_simulation.client import ClientState
from benchmarks.rolling_restart_simulation.client_lifecycle import ClientLifecycle
from benchmarks.rolling_restart_simulation.endpoint_publication import publish_drain, publish_new_server
from benchmarks.rolling_restart_simulation.frontend import Frontend
from benchmarks.rolling_restart_simulation.report import CountedEvent
from benchmarks.rolling_restart_simulation.server import Server, ServerPhase
from benchmarks.rolling_restart_simulation.state import SimulationState


class FaultInjector:
    """Schedules the faults of a simulation and carries them out."""

    def __init__(self, state: SimulationState, connector: BalancerConnector, clients: ClientLifecycle) -> None:
        """Create an injector without scheduled faults."""
        self._state = state
        self._connector = connector
        self._clients = clients

    def schedule_rolling_restart(self) -> None:
        """Schedule the replacement of half of the servers, hangs, and a restart of each balancer."""
        random, server_count = self._state.random, len(self._state.servers)
        order = random.sample(range(server_count), server_count)
        half = server_count // 2
        self._schedule_replacements(order[:half], random.uniform(*model.DRAIN_PUBLICATION_DELAY))
        self._schedule_hangs(order[half:][: max(1, server_count // model.SERVERS_PER_HANG)])
        self._schedule_balancer_restarts()

    def drop_connections_on_overload(self, server: Server) -> None:
        """Let a server with a long backlog drop its connections with the highest load."""
        now, capacity = self._state.now, server.capacity(self._state.now)
        overloaded = server.backlog > self._state.overload_drop_backlog * capacity
        if not overloaded or now < server.next_drop_at or server.is_hung(now):
            return
        server.next_drop_at = now + model.OVERLOAD_DROP_INTERVAL
        for client in sorted(server.connections.values(), key=lambda client: -client.load):
            if server.demand() <= model.UTILIZATION_AFTER_DROP * capacity:
                break
            self._state.statistics.count(CountedEvent.CONNECTION_LOST)
            self._clients.disconnect(client, Outcome.CONNECTION_LOST)

    def _schedule_replacements(self, servers: list[int], publication_delay: float) -> None:
        first_new_index = len(self._state.servers)
        for position, index in enumerate(servers):
            batch = position * model.REPLACEMENT_BATCHES // len(servers)
            start = model.REPLACEMENT_START + model.REPLACEMENT_DURATION * batch / (model.REPLACEMENT_BATCHES - 1)
            replacement = partial(self._replace_server, index, first_new_index + position, publication_delay)
            self._state.queue.schedule(start, replacement)

    def _schedule_hangs(self, servers: list[int]) -> None:
        for index in servers:
            server = self._state.servers[index]
            server.hangs_from = self._state.random.uniform(*model.HANG_START)
            server.hangs_until = server.hangs_from + model.HANG_DURATION

    def _schedule_balancer_restarts(self) -> None:
        count = len(self._state.frontends)
        for position, index in enumerate(self._state.random.sample(range(count), count)):
            batch = model.BALANCER_RESTART_BATCHES * position // count
            start = model.BALANCER_RESTART_START + model.BALANCER_RESTART_INTERVAL * batch
            self._state.queue.schedule(start, partial(self._stop_balancer, self._state.frontends[index]))

    def _replace_server(self, index: int, new_index: int, publication_delay: float) -> None:
        server = self._state.servers[index]
        server.phase = ServerPhase.DRAINING
        for client in list(server.connections.values()):
            self._state.statistics.count(CountedEvent.DRAINED)
            self._clients.disconnect(client, Outcome.CANCELLED)
        publication_time = self._state.now + publication_delay
        publish_drain(self._connector, server, publication_time)
        stop_time = publication_time + model.STOP_AFTER_DRAIN_PUBLICATION
        self._state.queue.schedule(stop_time, partial(self._stop_server, server))
        endpoint = server.endpoint
        new_server = self._state.add_server(new_index, endpoint.zone, endpoint.machine_type, self._state.now)
        publish_new_server(self._state, self._connector, new_server)

    def _stop_server(self, server: Server) -> None:
        server.phase = ServerPhase.STOPPED

    def _stop_balancer(self, frontend: Frontend) -> None:
        frontend.restarting = True
        for client in list(self._state.clients.values()):
            if client.frontend is not frontend:
                continue
            if client.state is ClientState.CONNECTED:
                self._state.statistics.count(CountedEvent.BALANCER_RESTART)
                self._clients.disconnect(client, Outcome.CANCELLED, notify_balancer=False)
            elif client.state is ClientState.CONNECTING:
                self._clients.abandon_request(client)
        restart_time = self._state.now + model.BALANCER_DOWNTIME
        self._state.queue.schedule(restart_time, partial(self._start_balancer, frontend))

    def _start_balancer(self, frontend: Frontend) -> None:
        frontend.restarting = False
        frontend.balancer = create_balancer(self._state.seed, frontend.index, 1, len(self._state.frontends))
        self._connector.start(frontend)
