"""The behaviour of simulated clients: arrive, request, connect, report load, reconnect and leave."""

from __future__ import annotations

from bisect import bisect
from functools import partial
from math import exp

from aspensaddle.core.actions import StartAttempt
from aspensaddle.core.events import (
    AttemptEnded,
    ClientDisconnected,
    ConnectionAdopted,
    ConnectionEstablished,
    ConnectionLoadReported,
    Outcome,
    Request,
)
from benchmarks.rolling_restart_simulation import model
from benchmarks.rolling_restart_simulation.balancer_connector import BalancerConnector
from benchmarks.rolling_restart_simulation.client import Client, ClientState
from benchmarks.rolling_restart_simulation.endpoint_publication import publish_crash
from benchmarks.rolling_restart_simulation.frontend import Frontend
from benchmarks.rolling_restart_simulation.report import CountedEvent
from benchmarks.rolling_restart_simulation.server import Server, ServerPhase
from benchmarks.rolling_restart_simulation.state import SimulationState


class ClientLifecycle:
    """Simulates the clients, and carries out the balancers' actions on their requests."""

    def __init__(self, state: SimulationState, connector: BalancerConnector) -> None:
        """Register as the handler of the connector's actions."""
        self._state = state
        self._connector = connector
        connector.handler = self

    def schedule_arrival(self) -> None:
        """Schedule the arrival of the next client; each arrival schedules the one after it."""
        self._state.queue.schedule(
            self._state.now + self._state.random.expovariate(self._state.arrival_rate), self._arrive
        )

    def create_client(self) -> Client:
        """Create a client that has sent no request yet."""
        state, random = self._state, self._state.random
        key = state.queue.next_number()
        class_index = int(random.random() >= model.FIRST_CLASS_FRACTION)
        relative_load = model.RELATIVE_LOADS[class_index]
        usual_load = (
            model.MEAN_CONNECTION_LOAD
            * relative_load
            * exp(random.gauss(0.0, model.LOAD_SIGMA) - model.LOAD_SIGMA**2 / 2)
        )
        zone = int(random.random() >= state.first_zone_fraction)
        group_weights = state.cumulative_group_weights
        session_group = bisect(group_weights, random.random() * group_weights[-1])
        wanted_until = state.now + random.expovariate(1 / model.MEAN_CLIENT_DURATION)
        honours_retry_after = random.random() < state.retry_after_compliance
        client = Client(
            key, class_index, zone, session_group, usual_load, usual_load, wanted_until, honours_retry_after
        )
        state.clients[key] = client
        state.queue.schedule(wanted_until, partial(self._leave, client))
        return client

    def request(self, client: Client) -> None:
        """Send the client's request to a front end."""
        request = self._prepare_request(client)
        self._connector.deliver(client.current_frontend, request)

    def adopt(self, client: Client, server: int) -> None:
        """Give the client a connection to `server` that was open before the simulation began."""
        request = self._prepare_request(client)
        client.server, client.attempt = server, 0
        self._connector.deliver(client.current_frontend, ConnectionAdopted(request, server))
        self._connected(client)

    def disconnect(self, client: Client, outcome: Outcome, notify_balancer: bool = True) -> None:
        """End the client's connection while the client still needs it; the client reconnects."""
        self._close_connection(client)
        server = self._state.servers[client.server]
        client.state = ClientState.SERVER_CRASHED if server.phase is ServerPhase.CRASHED else ClientState.RECONNECTING
        client.reconnecting = True
        if notify_balancer:
            self._connector.deliver(client.current_frontend, self._connection_ended_event(client, outcome))
        migrated = outcome is Outcome.CANCELLED and server.phase is ServerPhase.RUNNING
        delay = model.MIGRATION_RECONNECT_DELAY if migrated else model.RECONNECT_DELAY
        self._state.schedule_for_client(client, self._state.random.uniform(*delay), self.request)

    def abandon_request(self, client: Client) -> None:
        """Let the client send a new request, as its front end has stopped."""
        client.change_state(ClientState.RECONNECTING)
        delay = self._state.random.uniform(*model.RECONNECT_DELAY)
        self._state.schedule_for_client(client, delay, self.request)

    # Actions of the balancers

    def start_attempt(self, client: Client, action: StartAttempt) -> None:
        """Connect the client to the action's server, if that server accepts the connection."""
        state, server = self._state, self._state.servers[action.server]
        state.statistics.count(CountedEvent.ATTEMPT)
        client.state_version += 1
        client.attempt += 1
        client.server, client.attempt_started_at = action.server, state.now
        if server.is_down() or server.is_hung(state.now):
            delay = model.CONNECT_TIMEOUT if server.is_hung(state.now) else model.TIME_STEP
            self._schedule_failure(client, min(action.timeout, delay), Outcome.UNREACHABLE)
            return
        if server.phase is ServerPhase.DRAINING:
            self._schedule_failure(client, model.TIME_STEP, Outcome.REJECTED)
            return
        server.record_attempt(state.now, state.setup_work)
        if server.is_overloaded_by_attempts(state.now):
            self._crash(server)
        latency = model.CONNECT_LATENCY + server.backlog / server.capacity(state.now)
        if latency > action.timeout:
            self._schedule_failure(client, action.timeout, Outcome.TIMED_OUT)
        else:
            state.schedule_for_client(client, latency, self._attempt_succeeded)

    def migrate(self, client: Client) -> None:
        """Ask the client to reconnect."""
        self._state.statistics.count(CountedEvent.MIGRATION)
        self._state.schedule_for_client(
            client, model.MIGRATION_LATENCY, lambda client: self.disconnect(client, Outcome.CANCELLED)
        )

    def reject(self, client: Client, retry_after: float) -> None:
        """Let the client retry later; after some rejections it sends a new request after a longer pause."""
        random = self._state.random
        self._state.statistics.count(CountedEvent.REJECTION)
        client.change_state(ClientState.REJECTED)
        client.rejections += 1
        delay = retry_after
        if not (client.honours_retry_after and retry_after):
            delay = random.uniform(*model.RETRY_BACKOFF) * 2 ** (client.rejections - 1)
        if client.rejections > model.MAX_CONSECUTIVE_RETRIES:
            client.rejections = 0
            client.failed_requests += 1
            doublings = min(client.failed_requests - 1, model.MAX_BACKOFF_DOUBLINGS)
            delay = random.uniform(*model.REQUEST_BACKOFF) * 2**doublings
        self._state.schedule_for_client(client, delay, self.request)

    # Internal methods

    def _arrive(self) -> None:
        self.schedule_arrival()
        self.request(self.create_client())

    def _prepare_request(self, client: Client) -> Request:
        client.frontend = self._choose_frontend(client)
        client.request_id = f"{client.key}.{self._state.queue.next_number()}"
        client.attempt = -1
        client.change_state(ClientState.CONNECTING)
        return Request(
            client.request_id,
            client.class_index,
            model.DEADLINES[client.class_index],
            affinity_key=client.key,
            session_group=client.session_group,
            retried_by_client=client.rejections > 0,
            reconnecting=client.reconnecting,
        )

    def _choose_frontend(self, client: Client) -> Frontend:
        available = [frontend for frontend in self._state.frontends if not frontend.restarting]
        local = [frontend for frontend in available if frontend.zone == client.zone]
        candidates = local or available
        return self._state.random.choices(candidates, [frontend.weight for frontend in candidates])[0]

    def _schedule_failure(self, client: Client, delay: float, outcome: Outcome) -> None:
        self._state.schedule_for_client(client, delay, lambda client: self._attempt_failed(client, outcome))

    def _attempt_failed(self, client: Client, outcome: Outcome) -> None:
        latency = self._state.now - client.attempt_started_at
        event = AttemptEnded(client.request_id, client.attempt, client.server, outcome, latency)
        self._connector.deliver(client.current_frontend, event)

    def _attempt_succeeded(self, client: Client) -> None:
        server = self._state.servers[client.server]
        if server.is_down() or server.is_hung(self._state.now):
            self._attempt_failed(client, Outcome.UNREACHABLE)
            return
        latency = self._state.now - client.attempt_started_at
        event = ConnectionEstablished(client.request_id, client.attempt, client.server, latency)
        self._connector.deliver(client.current_frontend, event)
        self._connected(client)
        if server.phase is ServerPhase.DRAINING:
            self._state.statistics.count(CountedEvent.DRAINED)
            self.disconnect(client, Outcome.CANCELLED)

    def _connected(self, client: Client) -> None:
        client.change_state(ClientState.CONNECTED)
        client.connected_at = self._state.now
        client.rejections = client.failed_requests = 0
        self._state.servers[client.server].add_connection(client)
        client.current_frontend.connections[client.server][client.key] = client
        self._state.schedule_for_client(client, model.REPORT_LATENCY, self._report_load)

    def _report_load(self, client: Client) -> None:
        server, random = self._state.servers[client.server], self._state.random
        hung = server.is_hung(self._state.now)
        if not hung and client.load_changes_at <= self._state.now:
            client.load_changes_at = self._state.now + random.uniform(*model.LOAD_REPORT_INTERVAL)
            change = exp(random.gauss(0.0, model.LOAD_CHANGE_SIGMA) - model.LOAD_CHANGE_SIGMA**2 / 2)
            load = min(model.MAX_CONNECTION_LOAD, client.usual_load * change)
            server.load, client.load = server.load + load - client.load, load
        self._state.schedule_for_client(client, random.uniform(*model.LOAD_REPORT_INTERVAL), self._report_load)
        if not hung:  # a hung server reports nothing
            event = ConnectionLoadReported(client.request_id, client.server, client.load)
            self._connector.deliver(client.current_frontend, event)

    def _close_connection(self, client: Client) -> None:
        client.state_version += 1
        self._state.servers[client.server].remove_connection(client)
        client.current_frontend.connections[client.server].pop(client.key, None)
        self._state.statistics.record_connection_end(client)

    def _leave(self, client: Client) -> None:
        if client.state is ClientState.CONNECTED:
            self._close_connection(client)
            self._connector.deliver(client.current_frontend, self._connection_ended_event(client, Outcome.OK))
        elif client.state is ClientState.CONNECTING and not client.current_frontend.restarting:
            self._connector.deliver(client.current_frontend, ClientDisconnected(client.request_id))
        client.change_state(ClientState.DONE)
        del self._state.clients[client.key]

    def _crash(self, server: Server) -> None:
        server.phase = ServerPhase.CRASHED
        self._state.statistics.crashes += 1
        for client in list(server.connections.values()):
            self._state.statistics.count(CountedEvent.CONNECTION_LOST)
            self.disconnect(client, Outcome.CONNECTION_LOST)
        publish_crash(self._state, self._connector, server)

    @staticmethod
    def _connection_ended_event(client: Client, outcome: Outcome) -> AttemptEnded:
        return AttemptEnded(client.request_id, client.attempt, client.server, outcome, 0.0, True)
