"""Makes the trouble of a schedule: signals to balancers, faults of servers and of discovery."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from .record import DiscoveryFault, ServerFault
from .schedule import BALANCER_ACTIONS, SERVER_ACTIONS, Step

if TYPE_CHECKING:
    from .player import Run
    from .processes import BalancerProcess
    from .servers import SoakServer

RETURN_SECONDS = 1.0  # at least, before a server that left comes back
FIRST_REVISION = 1
LATE_BEFORE_DRAIN_SECONDS = 1.0
LATE_SECONDS = 1.4  # the system tries a connection again 1 and 3 s after its first try


def make_trouble(run: Run, step: Step, at: float) -> None:
    """Wait for a time of the record, and do what the step says."""
    time.sleep(max(0.0, at - run.record.now()))
    if step.action in BALANCER_ACTIONS:
        _trouble_balancers(run, step)
    elif step.action in SERVER_ACTIONS:
        _trouble_server(run, step)
    else:
        _trouble_discovery(run, step)


def _trouble_balancers(run: Run, step: Step) -> None:
    balancers = run.balancers if step.action == "rolling_restart" else [run.balancers[step.target]]
    for balancer in balancers:
        with balancer.lock:
            _trouble_balancer(run, balancer, step.action)


def _trouble_balancer(run: Run, balancer: BalancerProcess, action: str) -> None:
    if action == "reload_twice":
        balancer.reload_twice()
        return
    if action == "kill":
        balancer.kill_outright()
    else:
        if action == "reload_and_restart":
            balancer.reload_twice()
        balancer.terminate(twice=action == "restart_twice")
    if action == "early":
        balancer.terminate_early()
    balancer.start()
    run.adopt(balancer)


def _trouble_server(run: Run, step: Step) -> None:
    server = run.servers[step.target]
    with server.trouble:
        if step.action.startswith("drain"):
            _drain(run, server, step)
        elif step.action == "late_and_drain":
            _drain_with_late_connections(run, server, step)
        elif step.action == "leave":
            _leave(run, server, step)
        else:
            run.record.add(ServerFault(run.record.now(), server.uid, step.action, run.record.now() + step.seconds))
            server.fault = step.action
            time.sleep(step.seconds)
            server.fault = ""


def _drain(run: Run, server: SoakServer, step: Step) -> None:
    """A drain, until the server leaves and comes back as a new process."""
    run.discovery.change(server, "leaving")
    if step.action == "drain_and_send_away":
        server.end_connections(by_move=True)
    time.sleep(step.seconds)
    _leave(run, server, step)


def _drain_with_late_connections(run: Run, server: SoakServer, step: Step) -> None:
    """Connections that were begun right before a drain come up after its grace."""
    fillers = server.pause_accepts()
    time.sleep(LATE_BEFORE_DRAIN_SECONDS)
    run.discovery.change(server, "leaving")
    time.sleep(LATE_SECONDS)
    server.resume_accepts(fillers)
    time.sleep(LATE_SECONDS)
    _leave(run, server, step)


def _leave(run: Run, server: SoakServer, step: Step) -> None:
    run.discovery.change(server, "left")
    server.end_connections(by_move=False)
    time.sleep(max(RETURN_SECONDS, step.seconds))
    server.started_ms = int(time.time() * 1000)
    run.discovery.change(server, "active")


def _trouble_discovery(run: Run, step: Step) -> None:
    discovery = run.discovery
    if step.action == "lower_revision":
        discovery.end_watches(FIRST_REVISION)
        return
    with discovery.trouble:
        run.record.add(DiscoveryFault(run.record.now(), step.action, run.record.now() + step.seconds))
        discovery.fault = step.action
        if step.action != "silent":
            discovery.end_watches()
        time.sleep(step.seconds)
        discovery.fault = ""
