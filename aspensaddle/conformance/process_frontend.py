"""The program under test as a process."""

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
READY_TIMEOUT = 20.0  # s
MAX_STARTS = 5  # with a choice of ports each


class PortTakenError(Exception):
    """Another process took a port between its choice and the start of the program; `log` is what that printed."""

    def __init__(self, log: str) -> None:
        """Keep the log."""
        super().__init__(log)
        self.log = log


def free_port(kind: socket.SocketKind) -> int:
    """Return a port of the loopback that is free now. Another process may take it before it is used."""
    with socket.socket(socket.AF_INET, kind) as s:
        s.bind(("127.0.0.1", 0))
        return int(s.getsockname()[1])


class ProcessFrontend:
    """`python -m aspensaddle` on free ports, with files in a folder of its own."""

    def __init__(
        self,
        folder: Path,
        toml: str,
        targets: list[dict[str, Any]],
        deadline: float = 3.0,
        name: str = "n0",
        files: dict[str, str] | None = None,
        pump: Callable[[Callable[[], Any], float], bool] | None = None,
    ) -> None:
        """Start the program and wait until its QUIC front end listens.

        Args:
            folder: where the files and the log go.
            toml: the operator's file; `LISTEN` in it stands for the address.
            targets: the endpoint list, as discovery writes it.
            deadline: of requests, in seconds.
            name: the balancer's name.
            files: more files for the folder, by name.
            pump: keeps the other ends going until a condition holds, for at most some seconds.

        Raises:
            PortTakenError: other processes took its ports in each of several starts.
            RuntimeError: the program ended; the text is its log.
            TimeoutError: it was not ready in time.
        """
        folder.mkdir(parents=True, exist_ok=True)
        self.folder, self._pump = folder, pump
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
        """Start the program; with other ports if another process takes one of them meanwhile."""
        for remaining in reversed(range(MAX_STARTS)):
            self.address = ("127.0.0.1", free_port(socket.SOCK_DGRAM))
            self._config["listen"] = f"127.0.0.1:{free_port(socket.SOCK_STREAM)}"
            self._write(toml)
            try:
                return self._start()
            except PortTakenError:
                if not remaining:
                    raise
        raise ValueError(f"MAX_STARTS must be positive, not {MAX_STARTS}")

    def _write(self, toml: str | None = None) -> None:
        if toml is not None:
            (self.folder / "quic.toml").write_text(toml.replace("LISTEN", f"{self.address[0]}:{self.address[1]}"))
        (self.folder / "new.json").write_bytes(orjson.dumps(self._config))
        (self.folder / "new.json").replace(self.folder / "config.json")

    def _start(self) -> subprocess.Popen[bytes]:
        environ = {
            **os.environ,
            "LB_CONFIG": str(self.folder / "config.json"),
            "ASPENSADDLE_QUIC": str(self.folder / "quic.toml"),
            "ASPENSADDLE_STORE": str(self.folder / "no-store.toml"),
        }
        for name in ("LB_NAME", "LB_LISTEN", "LB_DISCOVERY"):
            environ.pop(name, None)
        self._log.write_bytes(b"")
        with self._log.open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "aspensaddle"], cwd=REPOSITORY, env=environ, stdout=log, stderr=log
            )
        self._wait(lambda: self.events("quic started") or process.poll() is not None)
        if process.poll() is not None:
            printed = self._log.read_text()
            raise PortTakenError(printed) if "Address already in use" in printed else RuntimeError(printed)
        return process

    def _wait(self, done: Callable[[], Any]) -> Any:
        """Wait for what the process writes, while the other ends go on."""
        if self._pump is not None:
            self._pump(done, READY_TIMEOUT)
        end = time.monotonic() + READY_TIMEOUT
        while not (value := done()):
            if time.monotonic() > end:
                raise TimeoutError(f"not in time: {self._log.read_text()[-2000:]}")
            time.sleep(0.01)
        return value

    def events(self, *names: str) -> list[dict[str, Any]]:
        """Return the log's events of these names, in their order."""
        found = []
        for line in self._log.read_bytes().split(b"\n")[:-1]:
            event = orjson.loads(line) if line.startswith(b"{") else {}
            if event.get("event") in names:
                found.append(event)
        return found

    def _signal_and_wait(self, number: signal.Signals, *names: str) -> dict[str, Any]:
        seen = len(self.events(*names))
        self._process.send_signal(number)
        event: dict[str, Any] = self._wait(lambda: self.events(*names)[seen:])[0]
        return event

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    def replace_endpoints(self, targets: list[dict[str, Any]]) -> None:
        """Replace the whole endpoint list."""
        self._config["known"] = {"rev": 1, "all": True, "targets": targets}
        self._write()
        self._signal_and_wait(signal.SIGHUP, "config_reloaded", "reload_rejected")

    def configure(self, toml: str) -> bool:
        """Load another operator's file; return whether it was accepted."""
        self._write(toml)
        return bool(
            self._signal_and_wait(signal.SIGHUP, "config_reloaded", "reload_rejected")["event"] == "config_reloaded"
        )

    def counts(self) -> dict[str, int]:
        """Return the counters."""
        counts: dict[str, int] = self._signal_and_wait(signal.SIGUSR1, "counters_reported")["counts"]
        return counts

    def terminate(self) -> None:
        """Request a graceful shutdown without waiting for it."""
        self._process.terminate()

    def restart(self) -> None:
        """Kill the process and start it anew, with the same files and address."""
        self.close()
        self._process = self._start()

    def close(self) -> None:
        """Kill the process."""
        self._process.kill()
        self._process.wait()
