"""Applies the steps of a schedule: signals to balancers, faults of servers and of discovery."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from .record import DiscoveryFault, ServerFault
from .schedule import BALANCER_ACTIONS, SERVER_ACTIONS, Step

if TYPE_CHECKING:
    from .harness import Harness
    from .processes import SoakBalancer
    from .servers import SoakServer

MIN_ABSENCE_SECONDS = 1.0  # shortest time for which a server stays out of the endpoint list
FIRST_REVISION = 1
DELAY_BEFORE_DRAIN_SECONDS = 1.0
ACCEPT_DELAY_SECONDS = 1.4  # the kernel retransmits a SYN 1 and 3 s after the first one


def apply_step(harness: Harness, step: Step, at: float) -> None:
    """Wait until the time `at` of the record, and apply the step."""
    time.sleep(max(0.0, at - harness.record.now()))
    if step.action in BALANCER_ACTIONS:
        _apply_balancer_step(harness, step)
    elif step.action in SERVER_ACTIONS:
        _apply_server_step(harness, step)
    else:
        _apply_discovery_step(harness, step)


def _apply_balancer_step(harness: Harness, step: Step) -> None:
    balancers = harness.balancers if step.action == "rolling_restart" else [harness.balancers[step.target]]
    for balancer in balancers:
        with balancer.disruption_lock:
            _apply_to_balancer(harness, balancer, step.action)


def _apply_to_balancer(harness: Harness, balancer: SoakBalancer, action: str) -> None:
    if action == "reload_twice":
        balancer.reload_twice()
        return
    if action == "kill":
        balancer.kill_outright()
    else:
        if action == "reload_and_restart":
            balancer.reload_twice()
        balancer.terminate(twice=action == "restart_twice")
    if action == "terminate_during_start":
        balancer.terminate_during_start()
    balancer.start()
    harness.start_adoptions(balancer)


def _apply_server_step(harness: Harness, step: Step) -> None:
    server = harness.servers[step.target]
    with server.disruption_lock:
        if step.action.startswith("drain"):
            _drain(harness, server, step)
        elif step.action == "delayed_accepts_and_drain":
            _drain_with_delayed_accepts(harness, server, step)
        elif step.action == "leave":
            _leave(harness, server, step)
        else:
            harness.record.add(
                ServerFault(harness.record.now(), server.uid, step.action, harness.record.now() + step.seconds)
            )
            server.fault = step.action
            time.sleep(step.seconds)
            server.fault = ""


def _drain(harness: Harness, server: SoakServer, step: Step) -> None:
    """Drain a server; after the step's time it leaves, and returns as a new process."""
    harness.discovery.change(server, "leaving")
    if step.action == "drain_and_migrate":
        server.end_connections(by_migration=True)
    time.sleep(step.seconds)
    _leave(harness, server, step)


def _drain_with_delayed_accepts(harness: Harness, server: SoakServer, step: Step) -> None:
    """Let connections that were started right before a drain be accepted after the drain grace."""
    fillers = server.pause_accepts()
    time.sleep(DELAY_BEFORE_DRAIN_SECONDS)
    harness.discovery.change(server, "leaving")
    time.sleep(ACCEPT_DELAY_SECONDS)
    server.resume_accepts(fillers)
    time.sleep(ACCEPT_DELAY_SECONDS)
    _leave(harness, server, step)


def _leave(harness: Harness, server: SoakServer, step: Step) -> None:
    harness.discovery.change(server, "left")
    server.end_connections(by_migration=False)
    time.sleep(max(MIN_ABSENCE_SECONDS, step.seconds))
    server.started_ms = int(time.time() * 1000)
    harness.discovery.change(server, "active")


def _apply_discovery_step(harness: Harness, step: Step) -> None:
    discovery = harness.discovery
    if step.action == "lower_revision":
        discovery.end_watches(FIRST_REVISION)
        return
    with discovery.disruption_lock:
        harness.record.add(DiscoveryFault(harness.record.now(), step.action, harness.record.now() + step.seconds))
        discovery.fault = step.action
        if step.action != "silent":
            discovery.end_watches()
        time.sleep(step.seconds)
        discovery.fault = ""
