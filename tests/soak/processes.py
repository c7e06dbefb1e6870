"""The processes of one balancer: one after another, with the same name and address."""

from __future__ import annotations

import os
import signal
import subprocess
import threading
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

from standins import Program

from .clients import Target
from .record import ProcessExited, ProcessReady, ProcessStarted, SignalSent

if TYPE_CHECKING:
    from .player import Run

POLL_SECONDS = 0.01
READY_TIMEOUT_SECONDS = 15.0  # beyond the promise, which the record is checked for
SERIES_SECONDS = 0.03  # between two signals of a series
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class BalancerProcess(Program):
    """The program as the platform runs it, with what the outside sees written down."""

    def __init__(self, folder: Path, config: dict[str, Any], run: Run) -> None:
        self.name: str = config["name"]
        host, port = config["listen"].split(":")
        self.address = (host, int(port))
        self.folder = folder / self.name
        self.folder.mkdir(parents=True)
        self.files, self.patch, self.environ, self.body = config["limits"]["sockets"], "", {}, config
        self.run = run
        self.lock = threading.Lock()  # one trouble at a time
        self.target: Target | None = None
        self.configure()
        for part in ("quic", "store"):
            (self.folder / f"{part}.toml").write_text("enabled = false\n")

    def spawn(self) -> None:
        """Start a process without waiting for it."""
        self.number = self.run.next_process()
        self.log = self.folder / f"log-{self.number}"
        super().spawn()
        self.run.record.add(ProcessStarted(self.run.record.now(), self.number, self.name))

    def start(self) -> None:
        """Start a process, and have the front take it in once it answers."""
        self.spawn()
        give_up_at = time.monotonic() + READY_TIMEOUT_SECONDS
        while time.monotonic() < give_up_at and self.process.poll() is None:
            if self._ready():
                self.run.record.add(ProcessReady(self.run.record.now(), self.number))
                self.target = Target(self.number, self.address)
                self.run.front.add(self.target)
                return
            time.sleep(POLL_SECONDS)

    def signal(self, number: signal.Signals, *, is_planned_kill: bool = False) -> None:
        """Send a signal."""
        self.run.record.add(SignalSent(self.run.record.now(), self.number, number.name, is_planned_kill))
        self.process.send_signal(number)

    def reload_twice(self) -> None:
        """Two SIGHUPs, each after a change of the configuration."""
        for _ in range(2):
            limits = {**self.body["settings"]["limits"], "max-retry-after": self.run.draw.choice([0.5, 1.0])}
            self.configure(settings={**self.body["settings"], "limits": limits})
            self.signal(signal.SIGHUP)
            time.sleep(SERIES_SECONDS)

    def terminate(self, *, twice: bool = False) -> int:
        """SIGTERM, and SIGKILL at the earliest that the page allows; return the exit code."""
        if self.process.poll() is not None:
            return self._record_exit()
        self.signal(signal.SIGTERM)
        kill_at = time.monotonic() + self.run.deployment.kill_after
        time.sleep(SERIES_SECONDS)
        if twice:
            self.signal(signal.SIGTERM)
        time.sleep(self.run.draw.uniform(0.2, 0.4) - SERIES_SECONDS)  # new connections keep coming
        self.run.front.remove(self.number)
        self._wait_until(kill_at)
        if self.process.poll() is None:
            self.signal(signal.SIGKILL, is_planned_kill=True)
        return self._record_exit()

    def terminate_early(self) -> None:
        """Start a process and end it while it starts."""
        self.spawn()
        time.sleep(self.run.draw.uniform(0.05, 0.5))
        self.signal(signal.SIGTERM)
        self._wait_until(time.monotonic() + READY_TIMEOUT_SECONDS)
        self._record_exit()

    def kill_outright(self) -> None:
        """SIGKILL without a warning; the front notices some time later."""
        self.signal(signal.SIGKILL)
        self._record_exit()
        time.sleep(self.run.draw.uniform(0.5, 1.5))
        self.run.front.remove(self.number)

    def measure(self) -> tuple[int, int, int] | None:
        """Return process, descriptors and resident bytes; None if it has ended."""
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
        if not any(event.process == self.number for event in self.run.record.of(ProcessExited)):
            errors = len(self.events("internal_error"))
            self.run.record.add(ProcessExited(self.run.record.now(), self.number, code, errors))
        return code
