"""Executes the schedule of one seed: starts processes and clients, applies the steps, and returns the record."""

from __future__ import annotations

import itertools
import os
import threading
import time
from pathlib import Path
from random import Random

from standins import SETTINGS

from .clients import BalancerPool, IdleClients, SoakClient
from .faults import apply_step
from .processes import SoakBalancer
from .record import ProcessMeasured, Record
from .schedule import Schedule
from .servers import BalancerDiscovery, DiscoveryState, SoakServer

MEASURE_INTERVAL_SECONDS = 1.0
LAG_CHECK_INTERVAL_SECONDS = 0.01
LISTEN_PORT = 8000
THREAD_TIMEOUT_SECONDS = 60.0  # for a balancer's start, a step or a balancer's termination


class Harness:
    """The servers, discovery, balancers, threads and record of one run."""

    def __init__(self, schedule: Schedule, folder: Path) -> None:
        self.schedule, self.deployment = schedule, schedule.deployment
        self.rng = Random(f"play {schedule.seed}")
        self.record = Record(has_idle_clients=schedule.deployment.idle_clients > 0)
        self.stop = threading.Event()
        self.pool = BalancerPool()
        zones = SETTINGS["failure-domains"][: self.deployment.zones]
        self.servers = [
            SoakServer(f"s-{number}", zones[number % len(zones)], self.record)
            for number in range(self.deployment.servers)
        ]
        self.discovery = DiscoveryState(self.servers, self.record)
        self.balancer_discoveries = [
            BalancerDiscovery(f"n{n}", self.discovery) for n in range(self.deployment.balancers)
        ]
        endpoint_list = {"rev": 1, "all": True, "targets": [server.endpoint_entry() for server in self.servers]}
        self.balancers = []
        for number, balancer_discovery in enumerate(self.balancer_discoveries):
            config = {
                "name": f"n{number}",
                "listen": f"{_loopback_network(schedule.seed)}.{number + 1}:{LISTEN_PORT}",
                "seed": f"{self.rng.getrandbits(64):016x}",
                "discovery": f"127.0.0.1:{balancer_discovery.address[1]}",
                "settings": self.deployment.settings(SETTINGS),
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.deployment.sockets},
                "known": endpoint_list,
            }
            self.balancers.append(SoakBalancer(folder, config, self))
        self.threads: list[threading.Thread] = []
        self._process_numbers = itertools.count(1)

    def next_process_number(self) -> int:
        """Return the number of the next balancer process of the run."""
        return next(self._process_numbers)

    def start_thread(self, target: object, *args: object) -> threading.Thread:
        """Start a thread that is joined at the end of the run."""
        thread = threading.Thread(target=target, args=args, daemon=True)  # type: ignore[arg-type]
        thread.start()
        self.threads.append(thread)
        return thread

    def start_adoptions(self, balancer: SoakBalancer) -> None:
        """Reconnect clients to a process that has just started; each names the server of its former connection."""
        target = balancer.target
        if target is None:
            return
        for _ in range(self.deployment.adopted_connections):
            client = SoakClient(self.pool, self.deployment, self.record, self.stop, Random(self.rng.random()))
            self.start_thread(client.run_connection, target, self.rng.choice(self.servers).uid)


def run_schedule(schedule: Schedule, folder: Path) -> Record:
    """Execute a schedule and return its record; the processes write their logs to the folder."""
    harness = Harness(schedule, folder)
    harness.start_thread(_watch_lag, harness)
    try:
        for thread in [harness.start_thread(balancer.start) for balancer in harness.balancers]:
            thread.join(THREAD_TIMEOUT_SECONDS)
        _run_clients(harness)
        _measure(harness, without_clients=True)
    finally:
        _shut_down(harness)
    return harness.record


def _loopback_network(seed: int) -> str:
    """Return a 24-bit prefix of loopback addresses that no concurrent run and no outgoing connection uses."""
    return f"127.{2 + seed % 250}.{1 + os.getpid() % 250}"


def _run_clients(harness: Harness) -> None:
    started_at = harness.record.now()
    steps = [harness.start_thread(apply_step, harness, step, started_at + step.at) for step in harness.schedule.steps]
    for balancer in harness.balancers:
        harness.start_adoptions(balancer)
    for _ in range(harness.deployment.clients):
        client = SoakClient(
            harness.pool, harness.deployment, harness.record, harness.stop, Random(harness.rng.random())
        )
        harness.start_thread(client.run)
    if harness.deployment.idle_clients:
        harness.start_thread(
            IdleClients(harness.pool, harness.deployment.idle_clients, harness.stop, Random(harness.rng.random())).run
        )
    while harness.record.now() < started_at + harness.schedule.seconds:
        time.sleep(MEASURE_INTERVAL_SECONDS)
        _measure(harness)
    for step in steps:
        step.join(THREAD_TIMEOUT_SECONDS)
    harness.stop.set()
    time.sleep(3.0)  # for pending requests and lingering closes to finish


def _measure(harness: Harness, *, without_clients: bool = False) -> None:
    for balancer in harness.balancers:
        if (measured := balancer.measure()) is not None:
            process, descriptors, memory = measured
            harness.record.add(ProcessMeasured(harness.record.now(), process, descriptors, memory, without_clients))


def _watch_lag(harness: Harness) -> None:
    """Record the largest scheduling delay of a harness thread."""
    while not harness.stop.is_set():
        due = time.monotonic() + LAG_CHECK_INTERVAL_SECONDS
        time.sleep(LAG_CHECK_INTERVAL_SECONDS)
        harness.record.harness_lag = max(harness.record.harness_lag, time.monotonic() - due)


def _shut_down(harness: Harness) -> None:
    harness.stop.set()
    for thread in [harness.start_thread(balancer.terminate) for balancer in harness.balancers]:
        thread.join(THREAD_TIMEOUT_SECONDS)
    for part in (*harness.balancer_discoveries, *harness.servers):
        part.close()
    for thread in harness.threads:
        thread.join(1.0)
