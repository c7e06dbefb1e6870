"""Plays the schedule of one seed: starts the processes, makes the trouble, and returns the record."""

from __future__ import annotations

import itertools
import os
import threading
import time
from pathlib import Path
from random import Random

from standins import SETTINGS

from .clients import Crowd, Front, SoakClient
from .faults import make_trouble
from .processes import BalancerProcess
from .record import ProcessMeasured, Record
from .schedule import Schedule
from .servers import BalancerDiscovery, DiscoveryState, SoakServer

MEASURE_SECONDS = 1.0
LAG_CHECK_SECONDS = 0.01
LISTEN_PORT = 8000
END_SECONDS = 60.0  # for all threads of a run to end


class Run:
    """The parts of one run."""

    def __init__(self, schedule: Schedule, folder: Path) -> None:
        self.schedule, self.deployment = schedule, schedule.deployment
        self.draw = Random(f"play {schedule.seed}")
        self.record = Record(has_crowd=schedule.deployment.crowd > 0)
        self.stop = threading.Event()
        self.front = Front()
        zones = SETTINGS["failure-domains"][: self.deployment.zones]
        self.servers = [
            SoakServer(f"s-{number}", zones[number % len(zones)], self.record)
            for number in range(self.deployment.servers)
        ]
        self.discovery = DiscoveryState(self.servers, self.record)
        self.agents = [BalancerDiscovery(f"n{n}", self.discovery) for n in range(self.deployment.balancers)]
        known = {"rev": 1, "all": True, "targets": [server.target() for server in self.servers]}
        self.balancers = []
        for number, agent in enumerate(self.agents):
            config = {
                "name": f"n{number}",
                "listen": f"{_own_network(schedule.seed)}.{number + 1}:{LISTEN_PORT}",
                "seed": f"{self.draw.getrandbits(64):016x}",
                "discovery": f"127.0.0.1:{agent.address[1]}",
                "settings": self.deployment.settings(SETTINGS),
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.deployment.sockets},
                "known": known,
            }
            self.balancers.append(BalancerProcess(folder, config, self))
        self.threads: list[threading.Thread] = []
        self._processes = itertools.count(1)

    def next_process(self) -> int:
        """Return the number of the next process of the run."""
        return next(self._processes)

    def start_thread(self, target: object, *args: object) -> threading.Thread:
        """Start a thread that the end of the run waits for."""
        thread = threading.Thread(target=target, args=args, daemon=True)  # type: ignore[arg-type]
        thread.start()
        self.threads.append(thread)
        return thread

    def adopt(self, balancer: BalancerProcess) -> None:
        """Clients return to a process that has just started, naming the servers where they were."""
        target = balancer.target
        if target is None:
            return
        for _ in range(self.deployment.adopted):
            client = SoakClient(self.front, self.deployment, self.record, self.stop, Random(self.draw.random()))
            self.start_thread(client.live_once, target, self.draw.choice(self.servers).uid)


def play(schedule: Schedule, folder: Path) -> Record:
    """Play a run; the logs of the processes stay in the folder."""
    run = Run(schedule, folder)
    run.start_thread(_watch_lag, run)
    try:
        for thread in [run.start_thread(balancer.start) for balancer in run.balancers]:
            thread.join(END_SECONDS)
        _play_clients(run)
        _measure(run, is_quiet=True)
    finally:
        _end(run)
    return run.record


def _own_network(seed: int) -> str:
    """Return three octets of loopback addresses that no run beside this one and no outgoing connection uses."""
    return f"127.{2 + seed % 250}.{1 + os.getpid() % 250}"


def _play_clients(run: Run) -> None:
    begun = run.record.now()
    steps = [run.start_thread(make_trouble, run, step, begun + step.at) for step in run.schedule.steps]
    for balancer in run.balancers:
        run.adopt(balancer)
    for _ in range(run.deployment.clients):
        client = SoakClient(run.front, run.deployment, run.record, run.stop, Random(run.draw.random()))
        run.start_thread(client.run)
    if run.deployment.crowd:
        run.start_thread(Crowd(run.front, run.deployment.crowd, run.stop, Random(run.draw.random())).run)
    while run.record.now() < begun + run.schedule.seconds:
        time.sleep(MEASURE_SECONDS)
        _measure(run)
    for step in steps:
        step.join(END_SECONDS)
    run.stop.set()
    time.sleep(3.0)  # until waiting and lingering connections are over


def _measure(run: Run, *, is_quiet: bool = False) -> None:
    for balancer in run.balancers:
        if (measured := balancer.measure()) is not None:
            process, descriptors, memory = measured
            run.record.add(ProcessMeasured(run.record.now(), process, descriptors, memory, is_quiet))


def _watch_lag(run: Run) -> None:
    """Note how late a thread of the harness comes to its turn."""
    while not run.stop.is_set():
        due = time.monotonic() + LAG_CHECK_SECONDS
        time.sleep(LAG_CHECK_SECONDS)
        run.record.harness_lag = max(run.record.harness_lag, time.monotonic() - due)


def _end(run: Run) -> None:
    run.stop.set()
    for thread in [run.start_thread(balancer.terminate) for balancer in run.balancers]:
        thread.join(END_SECONDS)
    for part in (*run.agents, *run.servers):
        part.close()
    for thread in run.threads:
        thread.join(1.0)
