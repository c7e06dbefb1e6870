"""Successive processes of one balancer, all with the same name and address."""

from __future__ import annotations

import os
import signal
import subprocess
import threading
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

from standins import BalancerProcess

from .clients import Target
from .record import ProcessExited, ProcessReady, ProcessStarted, SignalSent

if TYPE_CHECKING:
    from .harness import Harness

POLL_INTERVAL_SECONDS = 0.01
READY_TIMEOUT_SECONDS = 15.0  # longer than the documented limit, which is checked on the record
SIGNAL_INTERVAL_SECONDS = 0.03  # between two signals of one step
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class SoakBalancer(BalancerProcess):
    """Runs the program as the platform does, and records its signals, starts and exits."""

    def __init__(self, folder: Path, config: dict[str, Any], harness: Harness) -> None:
        self.name: str = config["name"]
        host, port = config["listen"].split(":")
        self.address = (host, int(port))
        self.folder = folder / self.name
        self.folder.mkdir(parents=True)
        self.max_descriptors, self.startup_code, self.environ, self.config = (
            config["limits"]["sockets"],
            "",
            {},
            config,
        )
        self.harness = harness
        self.disruption_lock = threading.Lock()  # held while one step is applied
        self.target: Target | None = None
        self.configure()
        for part in ("quic", "store"):
            (self.folder / f"{part}.toml").write_text("enabled = false\n")

    def spawn(self) -> None:
        """Start a process without waiting for it."""
        self.number = self.harness.next_process_number()
        self.log = self.folder / f"log-{self.number}"
        super().spawn()
        self.harness.record.add(ProcessStarted(self.harness.record.now(), self.number, self.name))

    def start(self) -> None:
        """Start a process, and send clients to it once it answers PING."""
        self.spawn()
        give_up_at = time.monotonic() + READY_TIMEOUT_SECONDS
        while time.monotonic() < give_up_at and self.process.poll() is None:
            if self._ready():
                self.harness.record.add(ProcessReady(self.harness.record.now(), self.number))
                self.target = Target(self.number, self.address)
                self.harness.pool.add(self.target)
                return
            time.sleep(POLL_INTERVAL_SECONDS)

    def signal(self, number: signal.Signals, *, is_planned_kill: bool = False) -> None:
        """Record a signal and send it to the process."""
        self.harness.record.add(SignalSent(self.harness.record.now(), self.number, number.name, is_planned_kill))
        self.process.send_signal(number)

    def reload_twice(self) -> None:
        """Change the configuration and send SIGHUP, twice."""
        for _ in range(2):
            limits = {**self.config["settings"]["limits"], "max-retry-after": self.harness.rng.choice([0.5, 1.0])}
            self.configure(settings={**self.config["settings"], "limits": limits})
            self.signal(signal.SIGHUP)
            time.sleep(SIGNAL_INTERVAL_SECONDS)

    def terminate(self, *, twice: bool = False) -> int:
        """Send SIGTERM, and SIGKILL at the earliest time that PROTOCOL allows; return the exit code."""
        if self.process.poll() is not None:
            return self._record_exit()
        self.signal(signal.SIGTERM)
        kill_at = time.monotonic() + self.harness.deployment.kill_after
        time.sleep(SIGNAL_INTERVAL_SECONDS)
        if twice:
            self.signal(signal.SIGTERM)
        # New connections still arrive during this time.
        time.sleep(self.harness.rng.uniform(0.2, 0.4) - SIGNAL_INTERVAL_SECONDS)
        self.harness.pool.remove(self.number)
        self._wait_until(kill_at)
        if self.process.poll() is None:
            self.signal(signal.SIGKILL, is_planned_kill=True)
        return self._record_exit()

    def terminate_during_start(self) -> None:
        """Start a process, and send it SIGTERM while it is starting."""
        self.spawn()
        time.sleep(self.harness.rng.uniform(0.05, 0.5))
        self.signal(signal.SIGTERM)
        self._wait_until(time.monotonic() + READY_TIMEOUT_SECONDS)
        self._record_exit()

    def kill_outright(self) -> None:
        """Send SIGKILL without SIGTERM; clients keep connecting to the process for up to 1.5 s."""
        self.signal(signal.SIGKILL)
        self._record_exit()
        time.sleep(self.harness.rng.uniform(0.5, 1.5))
        self.harness.pool.remove(self.number)

    def measure(self) -> tuple[int, int, int] | None:
        """Return the process number, open descriptors and resident bytes, or None if the process has exited."""
        try:
            pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
            return self.number, self.descriptors(), pages * PAGE_BYTES
        except (OSError, IndexError):
            return None

    def _wait_until(self, at: float) -> None:
        try:
            self.process.wait(max(0.0, at - time.monotonic()))
        except subprocess.TimeoutExpired:
            return

    def _record_exit(self) -> int:
        code = self.process.wait()
        if not any(event.process == self.number for event in self.harness.record.events_of(ProcessExited)):
            errors = len(self.events("internal_error"))
            self.harness.record.add(ProcessExited(self.harness.record.now(), self.number, code, errors))
        return code
