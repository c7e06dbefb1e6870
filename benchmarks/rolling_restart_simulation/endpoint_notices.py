"""Tells the discovery service about servers that start, drain or crash."""

from aspensaddle.core.events import Endpoint, ServerState
from benchmarks.rolling_restart_simulation.balancer_connector import BalancerConnector
from benchmarks.rolling_restart_simulation.model import (
    CRASH_NOTICE_DELAY,
    NEW_SERVER_NOTICE_DELAY,
    REMOVAL_AFTER_DRAIN_NOTICE,
)
from benchmarks.rolling_restart_simulation.server import Server
from benchmarks.rolling_restart_simulation.state import SimulationState


def publish_crash(state: SimulationState, connector: BalancerConnector, server: Server) -> None:
    """Remove a crashed server from the list, once its silence is noticed."""
    notice_time = state.now + state.random.uniform(*CRASH_NOTICE_DELAY)
    connector.publish(_with_state(server.endpoint, ServerState.GONE), notice_time)


def publish_drain(connector: BalancerConnector, server: Server, notice_time: float) -> None:
    """List a server as draining from `notice_time` on, and remove it some time later."""
    connector.publish(_with_state(server.endpoint, ServerState.DRAINING), notice_time)
    removal_time = notice_time + REMOVAL_AFTER_DRAIN_NOTICE
    connector.publish(_with_state(server.endpoint, ServerState.GONE), removal_time)


def publish_new_server(state: SimulationState, connector: BalancerConnector, server: Server) -> None:
    """List a server that has just started, after some delay."""
    connector.publish(server.endpoint, state.now + state.random.uniform(*NEW_SERVER_NOTICE_DELAY))


def _with_state(endpoint: Endpoint, state: ServerState) -> Endpoint:
    return Endpoint(endpoint.server, endpoint.zone, 0, state, endpoint.weight, machine_type=endpoint.machine_type)
