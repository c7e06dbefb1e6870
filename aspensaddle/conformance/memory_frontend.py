"""The engine under test without sockets, in simulated time."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from aspensaddle.conformance.frontend import CLASSES, platform_settings
from aspensaddle.conformance.link import Link
from aspensaddle.conformance.net import Address, MemoryNet
from aspensaddle.core.driver import Driver
from aspensaddle.core.settings_parser import parse_settings
from aspensaddle.discovery.endpoint_registry import EndpointRegistry
from aspensaddle.discovery.endpoint_update import parse_endpoint_list
from aspensaddle.frontends.quic.engine import Engine
from aspensaddle.frontends.quic.packets import MalformedPacketError
from aspensaddle.frontends.quic.session import Path as QuicPath
from aspensaddle.frontends.quic.settings import load_quic_settings
from aspensaddle.support.config_errors import ConfigError
from aspensaddle.support.counters import Counters

SWEEP_INTERVAL = 0.1  # s
UNREACHABLE_DELAY = 0.0002  # s, until the network tells that nobody has an address


class _NullLog:
    """A log that keeps nothing."""

    def event(self, event: str, **fields: Any) -> None:
        """Do nothing: a service that the engine does not need here."""

    def rate_limited_event(self, event: str, **fields: Any) -> None:
        """Do nothing: a service that the engine does not need here."""


class MemoryFrontend:
    """The engine, the driver and the balancer in the time of a `MemoryNet`."""

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
        """Start an engine in `net`, at `address` if one is given, and all else as for `ProcessFrontend`."""
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
        """Start anew: only the files and the endpoint list are kept."""
        self.counters, self.faults = Counters(), list[str]()
        self.fleet = EndpointRegistry(("here",))
        self.driver = Driver(parse_settings(platform_settings(self._deadline)), self._seed, self, self.net.now)
        loaded = load_quic_settings(self._file(self._toml), CLASSES)
        assert loaded is not None
        self.engine = Engine(
            loaded,
            self.driver,
            self.fleet,
            self.counters,
            _NullLog(),  # type: ignore[arg-type]
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

    # Transport of the engine, and the other side of its sockets

    def send_to_client(self, data: bytes, client_address: Address) -> None:
        """Send a datagram to a client (the engine's transport)."""
        self.net.carry(data, self.address, client_address)

    def send_to_server(self, data: bytes, path: QuicPath) -> None:
        """Send a datagram to a server (the engine's transport)."""
        if self.net.reaches(path.server_address):
            self.net.carry(data, self._slot_address(path.slot), path.server_address)
        else:
            slot, server_address = path.slot, path.server_address
            self.net.later(UNREACHABLE_DELAY, lambda: self.engine.handle_unreachable_server(slot, server_address))

    def open_socket(self, slot: int) -> bool:
        """Open a socket towards the servers; return whether there is one (the engine's transport)."""
        if slot not in self._slots:
            self._slots.add(slot)
            self.net.claim(_Slot(self, slot), [self._slot_address(slot)])
        return True

    def _slot_address(self, slot: int) -> Address:
        return (f"127.1.{self.address[1] // 256}.{self.address[1] % 256}", 1 + slot)

    def received(self, data: bytes, source: Address) -> None:
        """Handle a datagram from a client."""
        self.engine.advance(self.net.now())
        self.counters.add("quic datagrams in")
        try:
            self.engine.handle_client_datagram(data, source)
        except MalformedPacketError:
            self.counters.add("quic malformed")

    def timer(self) -> float | None:
        """Return the time of the next timer, in seconds."""
        at = self.engine.next_timer()
        wait = self.driver.next_timer()
        return min(
            self._next_sweep,
            *(t for t in (at, None if wait is None else self.net.now() + wait) if t is not None),
            self._next_sweep,
        )

    def expired(self) -> None:
        """Run the timers that are due."""
        self.driver.run_timers()
        self.engine.advance(self.net.now())
        if self.net.now() >= self._next_sweep:
            self._next_sweep = self.net.now() + SWEEP_INTERVAL
            self.engine.sweep()

    # Services of the driver

    def watch_endpoints(self) -> None:
        """Do nothing: a service that the engine does not need here."""

    def check_health(self, server: int) -> None:
        """Do nothing: a service that the engine does not need here."""

    def timers_changed(self) -> None:
        """Do nothing: a service that the engine does not need here."""

    # Frontend

    def replace_endpoints(self, targets: list[dict[str, Any]]) -> None:
        """Replace the whole endpoint list."""
        self._targets = targets
        update = parse_endpoint_list({"rev": 1, "all": True, "targets": targets})
        self.driver.update_endpoints(update.scope, self.fleet.apply(update))

    def configure(self, toml: str) -> bool:
        """Load another operator's file; return whether it was accepted."""
        try:
            loaded = load_quic_settings(self._file(toml), CLASSES)
        except ConfigError:
            return False
        assert loaded is not None
        self._toml = toml
        self.engine.configure(loaded)
        return True

    def counts(self) -> dict[str, int]:
        """Return the counters."""
        return dict(self.counters)

    def close(self) -> None:
        """Take the front end off the network."""
        self.net.drop(self)


class _Slot:
    """One of the engine's sockets towards servers."""

    def __init__(self, frontend: MemoryFrontend, slot: int) -> None:
        self._frontend, self._slot = frontend, slot
        self.address: Address = ("", 0)
        self.link_in, self.link_out = Link(), Link()

    def received(self, data: bytes, source: Address) -> None:
        self._frontend.engine.advance(self._frontend.net.now())
        self._frontend.engine.handle_server_datagram(data, self._slot, source)

    def timer(self) -> float | None:
        return None

    def expired(self) -> None: ...
