"""The balancer as the platform starts it: the command `run` of the deploy file, with a configuration of its own."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
READY_SECONDS = 15.0


class CannotRunError(Exception):
    """The case could not be played, so that nothing is said about the rule."""


def free_port(kind: socket.SocketKind) -> int:
    """Return a loopback port that is free now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def settings(**overrides: Any) -> dict[str, Any]:
    """Return the settings of a small deployment, as in the example of the page WIRE."""
    return {
        "discovery": "on_request",
        "failure-domains": ["surabaya", "semarang"],
        "locality": 0,
        "fleet-size": 2,
        "index": 0,
        "host-types": ["fast-runner", "plain-runner"],
        "kind-of-service": "conn",
        "family-info": {"groups": False, "message-aim": [0.15, 0.06], "mode": "proxy"},
        "guarantees": {
            "answer-slack": 0.02,
            "cold-share": 0.12,
            "drain-grace": 2.0,
            "fall": 2.0,
            "must-ask-in": 10.0,
            "tip-multiple": 4.0,
            "warm-after": 24.0,
        },
        "lanes": [
            {"aim": 0.3, "deadline": 1.2, "name": "test-run", "repeat": "pure", "worth": 5.0, "stream": True},
            {"aim": 0.3, "deadline": 1.8, "name": "draft-save", "repeat": "pure", "worth": 3.0, "stream": True},
        ],
        "limits": {
            "cancel": True,
            "connect-timeout": 0.25,
            "max-retry-after": 1.0,
            "may-duplicate": False,
            "most-tries": 6,
            "probes": False,
            "retry-after": True,
        },
        "weights": "rough",
        **overrides,
    }


class Balancer:
    """One balancer process.

    Attributes:
        address: Where it listens for the line protocol.
        config: The content of its configuration file.
    """

    def __init__(self, folder: Path, name: str, quic_toml: str = "", store_toml: str = "", **config: Any) -> None:
        """Write the files of the balancer; `start` starts it."""
        self.folder = folder
        folder.mkdir(parents=True)
        self.address = ("127.0.0.1", free_port(socket.SOCK_STREAM))
        self.config = {
            "name": name,
            "listen": f"127.0.0.1:{self.address[1]}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            **config,
        }
        (folder / "quic.toml").write_text(quic_toml or "enabled = false\n")
        (folder / "store.toml").write_text(store_toml or "enabled = false\n")
        self._process: subprocess.Popen[bytes] | None = None

    def spawn(self) -> None:
        """Start the process without waiting for it."""
        self.config["seed"] = os.urandom(8).hex()  # new with each start
        (self.folder / "config.json").write_text(json.dumps(self.config))
        environment = {
            **os.environ,
            "LB_CONFIG": str(self.folder / "config.json"),
            "LB_NAME": self.config["name"],
            "LB_LISTEN": self.config["listen"],
            "ASPENSADDLE_QUIC": str(self.folder / "quic.toml"),
            "ASPENSADDLE_STORE": str(self.folder / "store.toml"),
        }
        if "discovery" in self.config:
            environment["LB_DISCOVERY"] = self.config["discovery"]
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with (self.folder / "log").open("ab") as log:
            self._process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def start(self, wait: Callable[[float], object] = time.sleep) -> float:
        """Start the process and wait until it answers PING; return the time at which it did.

        Args:
            wait: waits for some seconds; it may run stand-ins meanwhile.
        """
        self.spawn()
        give_up_at = time.monotonic() + READY_SECONDS
        while not self._answers_ping():
            if time.monotonic() > give_up_at or not self.is_running:
                raise CannotRunError(f"the balancer did not start: {(self.folder / 'log').read_text()[-500:]}")
            wait(0.01)
        return time.monotonic()

    def _answers_ping(self) -> bool:
        try:
            with socket.create_connection(self.address, 1.0) as client:
                client.sendall(b"PING\r\n")
                return client.recv(16) == b"PONG\r\n"
        except OSError:
            return False

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_status(self) -> int | None:
        """The exit status; None while the process runs."""
        return None if self._process is None else self._process.poll()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()
