"""The front end under test as a process of the real program."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

from aspensaddle.conformance.frontend import platform_settings

REPOSITORY = Path(__file__).resolve().parents[2]
READY_TIMEOUT_SECONDS = 20.0
MAX_START_ATTEMPTS = 5  # limit of attempts to start the program; each uses other ports


class PortInUseError(Exception):
    """Another process took a port after it was chosen and before the program started.

    `log` is the output of the program.
    """

    def __init__(self, log: str) -> None:
        """Store the program's output."""
        super().__init__(log)
        self.log = log


def free_port(kind: socket.SocketKind) -> int:
    """Return a port that is free on the loopback interface now. Another process may take it before it is used."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class ProcessFrontend:
    """A process `python -m aspensaddle` on free ports, with its files in a directory of its own."""

    def __init__(
        self,
        folder: Path,
        toml: str,
        targets: list[dict[str, Any]],
        deadline: float = 3.0,
        name: str = "n0",
        files: dict[str, str] | None = None,
        run_until: Callable[[Callable[[], Any], float], bool] | None = None,
    ) -> None:
        """Start the program and wait until its QUIC front end listens.

        Args:
            folder: the directory of the files and the log.
            toml: the text of quic.toml; `LISTEN` in it is replaced by the address.
            targets: the endpoint list in discovery's format.
            deadline: the deadline of requests, in seconds.
            name: the balancer's name.
            files: the texts of more files in the directory, by name.
            run_until: runs the other endpoints of the network until a condition holds, for at most some seconds.

        Raises:
            PortInUseError: other processes took the ports at each of several attempts to start.
            RuntimeError: the program exited; the text is its output.
            TimeoutError: the program did not start in time.
        """
        folder.mkdir(parents=True, exist_ok=True)
        self.folder, self._run_until = folder, run_until
        self._config: dict[str, Any] = {
            "name": name,
            "seed": name,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": platform_settings(deadline),
            "known": {"rev": 1, "all": True, "targets": targets},
        }
        for file, content in (files or {}).items():
            (folder / file).write_text(content)
        self._log = folder / f"{name}.log"
        self._process = self._start_on_free_ports(toml)

    def _start_on_free_ports(self, toml: str) -> subprocess.Popen[bytes]:
        """Start the program, again with other ports if another process has taken one of them in the meantime."""
        for attempts_left in reversed(range(MAX_START_ATTEMPTS)):
            self.address = ("127.0.0.1", free_port(socket.SOCK_DGRAM))
            self._config["listen"] = f"127.0.0.1:{free_port(socket.SOCK_STREAM)}"
            self._write_files(toml)
            try:
                return self._start()
            except PortInUseError:
                if not attempts_left:
                    raise
        raise ValueError(f"MAX_START_ATTEMPTS must be positive, not {MAX_START_ATTEMPTS}")

    def _write_files(self, toml: str | None = None) -> None:
        """Write the configuration and, if it is given, quic.toml."""
        if toml is not None:
            (self.folder / "quic.toml").write_text(toml.replace("LISTEN", f"{self.address[0]}:{self.address[1]}"))
        (self.folder / "new.json").write_bytes(orjson.dumps(self._config))
        (self.folder / "new.json").replace(self.folder / "config.json")

    def _start(self) -> subprocess.Popen[bytes]:
        environment = {
            **os.environ,
            "LB_CONFIG": str(self.folder / "config.json"),
            "ASPENSADDLE_QUIC": str(self.folder / "quic.toml"),
            "ASPENSADDLE_STORE": str(self.folder / "no-store.toml"),
        }
        for name in ("LB_NAME", "LB_LISTEN", "LB_DISCOVERY"):
            environment.pop(name, None)
        self._log.write_bytes(b"")
        with self._log.open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "aspensaddle"], cwd=REPOSITORY, env=environment, stdout=log, stderr=log
            )
        self._wait(lambda: self.events("quic started") or process.poll() is not None)
        if process.poll() is not None:
            output = self._log.read_text()
            raise PortInUseError(output) if "Address already in use" in output else RuntimeError(output)
        return process

    def _wait(self, condition: Callable[[], Any]) -> Any:
        """Wait for output of the process while the network runs; return the value of `condition`."""
        if self._run_until is not None:
            self._run_until(condition, READY_TIMEOUT_SECONDS)
        stop_at = time.monotonic() + READY_TIMEOUT_SECONDS
        while not (value := condition()):
            if time.monotonic() > stop_at:
                raise TimeoutError(
                    f"no expected log event within {READY_TIMEOUT_SECONDS} s: {self._log.read_text()[-2000:]}"
                )
            time.sleep(0.01)
        return value

    def events(self, *names: str) -> list[dict[str, Any]]:
        """Return the log's events with these names, in their order."""
        matching = []
        for line in self._log.read_bytes().split(b"\n")[:-1]:
            event = orjson.loads(line) if line.startswith(b"{") else {}
            if event.get("event") in names:
                matching.append(event)
        return matching

    def _signal_and_wait(self, number: signal.Signals, *names: str) -> dict[str, Any]:
        """Send a signal and return the first log event after it with one of these names."""
        known = len(self.events(*names))
        self._process.send_signal(number)
        event: dict[str, Any] = self._wait(lambda: self.events(*names)[known:])[0]
        return event

    @property
    def pid(self) -> int:
        """The process ID."""
        return self._process.pid

    def replace_endpoints(self, targets: list[dict[str, Any]]) -> None:
        """Replace the whole endpoint list."""
        self._config["known"] = {"rev": 1, "all": True, "targets": targets}
        self._write_files()
        self._signal_and_wait(signal.SIGHUP, "config_reloaded", "reload_rejected")

    def configure(self, toml: str) -> bool:
        """Load other QUIC settings, the text of a quic.toml; return whether they were accepted."""
        self._write_files(toml)
        return bool(
            self._signal_and_wait(signal.SIGHUP, "config_reloaded", "reload_rejected")["event"] == "config_reloaded"
        )

    def counts(self) -> dict[str, int]:
        """Return the counters by name."""
        counts: dict[str, int] = self._signal_and_wait(signal.SIGUSR1, "counters_reported")["counts"]
        return counts

    def terminate(self) -> None:
        """Request a graceful shutdown without waiting for it."""
        self._process.terminate()

    @property
    def exit_status(self) -> int | None:
        """The exit status of the process, or None while it runs."""
        return self._process.poll()

    def restart(self) -> None:
        """Kill the process and start it again with the same files and address."""
        self.close()
        self._process = self._start()

    def close(self) -> None:
        """Kill the process."""
        self._process.kill()
        self._process.wait()
