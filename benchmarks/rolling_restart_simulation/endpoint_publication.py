"""Publishes servers that start, drain or crash in the discovery service's endpoint list."""

from aspensaddle.core.events import Endpoint, ServerState
from benchmarks.rolling_restart_simulation.balancer_connector import BalancerConnector
from benchmarks.rolling_restart_simulation.model import (
    CRASH_DETECTION_DELAY,
    NEW_SERVER_PUBLICATION_DELAY,
    REMOVAL_AFTER_DRAIN_PUBLICATION,
)
from benchmarks.rolling_restart_simulation.server import Server
from benchmarks.rolling_restart_simulation.state import SimulationState


def publish_crash(state: SimulationState, connector: BalancerConnector, server: Server) -> None:
    """Remove a crashed server from the list, after the delay until the crash is detected."""
    publication_time = state.now + state.random.uniform(*CRASH_DETECTION_DELAY)
    connector.publish(_with_state(server.endpoint, ServerState.GONE), publication_time)


def publish_drain(connector: BalancerConnector, server: Server, publication_time: float) -> None:
    """List a server as draining from `publication_time` on, and remove it `REMOVAL_AFTER_DRAIN_PUBLICATION` later."""
    connector.publish(_with_state(server.endpoint, ServerState.DRAINING), publication_time)
    removal_time = publication_time + REMOVAL_AFTER_DRAIN_PUBLICATION
    connector.publish(_with_state(server.endpoint, ServerState.GONE), removal_time)


def publish_new_server(state: SimulationState, connector: BalancerConnector, server: Server) -> None:
    """List a server that has just started, after some delay."""
    connector.publish(server.endpoint, state.now + state.random.uniform(*NEW_SERVER_PUBLICATION_DELAY))


def _with_state(endpoint: Endpoint, state: ServerState) -> Endpoint:
    return Endpoint(endpoint.server, endpoint.zone, 0, state, endpoint.weight, machine_type=endpoint.machine_type)
