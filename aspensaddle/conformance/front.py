"""The front under test: as a process of the real program, or as its engine without sockets."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

import orjson

from aspensaddle.conformance.link import Link
from aspensaddle.conformance.net import Address, MemoryNet
from aspensaddle.core.driver import Driver
from aspensaddle.core.settings_parser import parse_settings
from aspensaddle.discovery.endpoint_registry import EndpointRegistry
from aspensaddle.discovery.endpoint_update import parse_endpoint_list
from aspensaddle.frontends.quic.engine import Engine
from aspensaddle.frontends.quic.packets import Malformed
from aspensaddle.frontends.quic.session import Path as QuicPath
from aspensaddle.frontends.quic.settings import load_quic
from aspensaddle.support.counters import Counters

ROOT = Path(__file__).resolve().parents[2]
READY_WITHIN = 20.0
CLASSES = {"test-run": 0, "draft-save": 1}


def settings(deadline: float = 3.0, **more: Any) -> dict[str, Any]:
    """The module's settings, as the platform writes them."""
    lanes = [{"name": name, "aim": 0.3, "deadline": deadline, "repeat": "pure", "worth": 1.0} for name in CLASSES]
    return {
        "discovery": "pushed",
        "failure-domains": ["here"],
        "fleet-size": 1,
        "lanes": lanes,
        "family-info": {"groups": True, "message-aim": [0.15, 0.15]},
        "guarantees": {"drain-grace": 2.0, "warm-after": 0.0},
        "limits": {
            "connect-timeout": 0.5,
            "most-tries": 6,
            "retry-after": True,
            "max-retry-after": 1.0,
            "cancel": True,
        },
        **more,
    }


def free_port(kind: socket.SocketKind) -> int:
    with socket.socket(socket.AF_INET, kind) as s:
        s.bind(("127.0.0.1", 0))
        return int(s.getsockname()[1])


class Front(Protocol):
    address: Address

    def lists(self, targets: list[dict[str, Any]]) -> None:
        """Another list of runners, whole."""

    def configure(self, toml: str) -> bool:
        """Another file of the operator's; whether it was taken."""

    def counts(self) -> dict[str, int]: ...
    def restart(self) -> None: ...
    def close(self) -> None: ...


class ProcessFront:
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
        folder.mkdir(parents=True, exist_ok=True)
        self.folder, self._pump = folder, pump
        self.address = ("127.0.0.1", free_port(socket.SOCK_DGRAM))
        self._config = {
            "name": name,
            "listen": f"127.0.0.1:{free_port(socket.SOCK_STREAM)}",
            "seed": name,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings(deadline),
            "known": {"rev": 1, "all": True, "targets": targets},
        }
        for file, content in (files or {}).items():
            (folder / file).write_text(content)
        self._write(toml)
        self._log = folder / f"{name}.log"
        self._process = self._start()

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
                [sys.executable, "-m", "aspensaddle"], cwd=ROOT, env=environ, stdout=log, stderr=log
            )
        self._wait(lambda: self.events("quic started") or process.poll() is not None)
        if process.poll() is not None:
            raise RuntimeError(self._log.read_text())
        return process

    def _wait(self, done: Callable[[], Any]) -> Any:
        """Wait for what the process writes, while the stand-ins go on."""
        if self._pump is not None:
            self._pump(done, READY_WITHIN)
        end = time.monotonic() + READY_WITHIN
        while not (value := done()):
            if time.monotonic() > end:
                raise TimeoutError(f"in vain: {self._log.read_text()[-2000:]}")
            time.sleep(0.01)
        return value

    def events(self, *names: str) -> list[dict[str, Any]]:
        found = []
        for line in self._log.read_bytes().split(b"\n")[:-1]:
            event = orjson.loads(line) if line.startswith(b"{") else {}
            if event.get("event") in names:
                found.append(event)
        return found

    def _told(self, number: signal.Signals, *names: str) -> dict[str, Any]:
        seen = len(self.events(*names))
        self._process.send_signal(number)
        event: dict[str, Any] = self._wait(lambda: self.events(*names)[seen:])[0]
        return event

    @property
    def pid(self) -> int:
        return self._process.pid

    def lists(self, targets: list[dict[str, Any]]) -> None:
        self._config["known"] = {"rev": 1, "all": True, "targets": targets}
        self._write()
        self._told(signal.SIGHUP, "config_reloaded", "reload_rejected")

    def configure(self, toml: str) -> bool:
        self._write(toml)
        return bool(self._told(signal.SIGHUP, "config_reloaded", "reload_rejected")["event"] == "config_reloaded")

    def counts(self) -> dict[str, int]:
        counts: dict[str, int] = self._told(signal.SIGUSR1, "counters_reported")["counts"]
        return counts

    def terminate(self) -> None:
        """Ask it to end, without a wait for it."""
        self._process.terminate()

    def restart(self) -> None:
        self.close()
        self._process = self._start()

    def close(self) -> None:
        self._process.kill()
        self._process.wait()


class _Quiet:
    """A log that nobody reads."""

    def event(self, event: str, **fields: Any) -> None: ...
    def rate_limited_event(self, event: str, **fields: Any) -> None: ...


class MemoryFront:
    """The engine, the driver and the module in the time of a `MemoryNet`."""

    def __init__(
        self,
        net: MemoryNet,
        folder: Path,
        toml: str,
        targets: list[dict[str, Any]],
        deadline: float = 3.0,
        seed: int = 1,
        files: dict[str, str] | None = None,
        address: Address | None = None,
    ) -> None:
        self.net, self.folder, self._deadline, self._seed = net, folder, deadline, seed
        folder.mkdir(parents=True, exist_ok=True)
        self.link_in, self.link_out = Link(), Link()
        for file, content in (files or {}).items():
            (folder / file).write_text(content)
        self._toml, self._targets = toml, targets
        net.bind(self)
        if address is not None:
            self.address = address
            net.claim(self, [address])
        self.restart()

    def restart(self) -> None:
        """All is forgotten but the files and the list."""
        self.counters, self.faults = Counters(), list[str]()
        self.fleet = EndpointRegistry(("here",))
        self.driver = Driver(parse_settings(settings(self._deadline)), self._seed, self, self.net.now)
        loaded = load_quic(self._file(self._toml), CLASSES)
        assert loaded is not None
        self.engine = Engine(
            loaded,
            self.driver,
            self.fleet,
            self.counters,
            _Quiet(),  # type: ignore[arg-type]
            self,
            self.net.now,
            self.net.now(),
        )
        self._next_sweep = self.net.now()
        self._slots: set[int] = set()
        self.driver.start(self.fleet.apply(parse_endpoint_list({"rev": 1, "all": True, "targets": self._targets})))

    def _file(self, toml: str) -> Path:
        path = self.folder / "quic.toml"
        path.write_text(toml.replace("LISTEN", f"{self.address[0]}:{self.address[1]}"))
        return path

    # ------------------------------------------------------------ the front's wire, and its sockets' other side

    def to_client(self, data: bytes, peer: Address) -> None:
        self.net.carry(data, self.address, peer)

    def to_runner(self, data: bytes, path: QuicPath) -> None:
        if self.net.reaches(path.runner):
            self.net.carry(data, self._slot_address(path.slot), path.runner)
        else:
            slot, runner = path.slot, path.runner
            self.net.later(0.0002, lambda: self.engine.unreachable(slot, runner))

    def open(self, slot: int) -> bool:
        if slot not in self._slots:
            self._slots.add(slot)
            self.net.claim(_Slot(self, slot), [self._slot_address(slot)])
        return True

    def _slot_address(self, slot: int) -> Address:
        return (f"127.1.{self.address[1] // 256}.{self.address[1] % 256}", 1 + slot)

    def received(self, data: bytes, source: Address) -> None:
        self.engine.step(self.net.now())
        self.counters.add("quic datagrams in")
        try:
            self.engine.from_client(data, source)
        except Malformed:
            self.counters.add("quic malformed")

    def timer(self) -> float | None:
        at = self.engine.next_timer()
        wait = self.driver.next_timer()
        return min(
            self._next_sweep,
            *(t for t in (at, None if wait is None else self.net.now() + wait) if t is not None),
            self._next_sweep,
        )

    def expired(self) -> None:
        self.driver.run_timers()
        self.engine.step(self.net.now())
        if self.net.now() >= self._next_sweep:
            self._next_sweep = self.net.now() + 0.1
            self.engine.sweep()

    # ------------------------------------------------------------ the driver's services

    def watch_endpoints(self) -> None: ...
    def check_health(self, server: int) -> None: ...
    def timers_changed(self) -> None: ...

    # ------------------------------------------------------------ what a case asks of it

    def lists(self, targets: list[dict[str, Any]]) -> None:
        self._targets = targets
        update = parse_endpoint_list({"rev": 1, "all": True, "targets": targets})
        self.driver.update_endpoints(update.scope, self.fleet.apply(update))

    def configure(self, toml: str) -> bool:
        from aspensaddle.support.config_errors import ConfigError

        try:
            loaded = load_quic(self._file(toml), CLASSES)
        except ConfigError:
            return False
        assert loaded is not None
        self._toml = toml
        self.engine.configure(loaded)
        return True

    def counts(self) -> dict[str, int]:
        return dict(self.counters)

    def close(self) -> None:
        self.net.drop(self)


class _Slot:
    """One of the front's sockets towards runners."""

    def __init__(self, front: MemoryFront, slot: int) -> None:
        self._front, self._slot = front, slot
        self.address: Address = ("", 0)
        self.link_in, self.link_out = Link(), Link()

    def received(self, data: bytes, source: Address) -> None:
        self._front.engine.step(self._front.net.now())
        self._front.engine.from_runner(data, self._slot, source)

    def timer(self) -> float | None:
        return None

    def expired(self) -> None: ...
