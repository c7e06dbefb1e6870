"""Delivers events to the balancers and hands their actions to the simulated clients."""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from typing import Protocol

from aspensaddle.core.actions import Action, Fail, Migrate, Reject, SetTimer, StartAttempt
from aspensaddle.core.balancer import Balancer
from aspensaddle.core.events import (
    Endpoint,
    EndpointsChanged,
    EndpointUpdateScope,
    Event,
    ServerState,
    Started,
    TimerFired,
)
from benchmarks.rolling_restart_simulation.client import Client
from benchmarks.rolling_restart_simulation.frontend import Frontend
from benchmarks.rolling_restart_simulation.model import BALANCER_CLOCK_START, ENDPOINT_UPDATE_SPREAD, SETTINGS
from benchmarks.rolling_restart_simulation.state import SimulationState

ZONE_COUNT = SETTINGS.zone_count


class ActionHandler(Protocol):
    """Carries out what a balancer decides on a client's request."""

    def start_attempt(self, client: Client, action: StartAttempt) -> None:
        """Connect the client to a server."""

    def migrate(self, client: Client) -> None:
        """Ask the client to reconnect."""

    def reject(self, client: Client, retry_after: float) -> None:
        """Report a rejected or failed request to the client; `retry_after` in seconds, 0 without Retry-After."""


def create_balancer(seed: int, index: int, restarts: int, balancer_count: int) -> Balancer:
    """Create the balancer of front end `index`; `restarts` is how often it has been restarted."""
    settings = replace(SETTINGS, zone=index % ZONE_COUNT, balancer_index=index, balancer_count=balancer_count)
    return Balancer(settings, 100_003 * seed + 1_000 * restarts + index)


class BalancerConnector:
    """Connects the balancers to the simulation."""

    def __init__(self, state: SimulationState) -> None:
        """Create a connector; its `handler` has to be set before the first event."""
        self.handler: ActionHandler | None = None
        self._state = state

    def start(self, frontend: Frontend) -> None:
        """Start the front end's balancer, with the current endpoint list."""
        self.deliver(frontend, Started())
        endpoints = tuple(self._state.endpoints.values())
        self.deliver(frontend, EndpointsChanged(EndpointUpdateScope.CACHED, endpoints))

    def deliver(self, frontend: Frontend, event: Event) -> None:
        """Deliver an event and carry out the resulting actions."""
        for action in frontend.balancer.handle(BALANCER_CLOCK_START + self._state.now, event):
            if isinstance(action, SetTimer):
                fire = partial(self._fire_timer, frontend, frontend.balancer, action.timer)
                self._state.queue.schedule(self._state.now + action.delay, fire)
            else:
                self._handle_request_action(action)

    def publish(self, endpoint: Endpoint, time: float) -> None:
        """Change an endpoint of the list at `time`; each balancer gets the change some time later."""
        self._state.queue.schedule(time, partial(self._change_list, endpoint))
        for frontend in self._state.frontends:
            delivery_time = time + self._state.random.uniform(0.0, ENDPOINT_UPDATE_SPREAD)
            self._state.queue.schedule(delivery_time, partial(self._deliver_endpoint, frontend, endpoint))

    def _handle_request_action(self, action: Action) -> None:
        assert self.handler is not None
        if not isinstance(action, StartAttempt | Reject | Fail | Migrate):
            return
        client = self._state.clients.get(int(action.request_id.split(".")[0]))
        if client is None or client.request_id != action.request_id:
            return
        if isinstance(action, StartAttempt):
            self.handler.start_attempt(client, action)
        elif isinstance(action, Migrate):
            self.handler.migrate(client)
        else:
            self.handler.reject(client, action.retry_after if isinstance(action, Reject) else 0.0)

    def _fire_timer(self, frontend: Frontend, balancer: Balancer, timer: str) -> None:
        if frontend.balancer is balancer and not frontend.restarting:
            self.deliver(frontend, TimerFired(timer))

    def _change_list(self, endpoint: Endpoint) -> None:
        self._state.endpoints[endpoint.server] = endpoint
        if endpoint.state is ServerState.GONE:
            del self._state.endpoints[endpoint.server]

    def _deliver_endpoint(self, frontend: Frontend, endpoint: Endpoint) -> None:
        if not frontend.restarting:
            self.deliver(frontend, EndpointsChanged(EndpointUpdateScope.INCREMENTAL, (endpoint,)))
