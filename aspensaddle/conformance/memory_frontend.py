"""The engine under test without sockets, in simulated time."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from aspensaddle.conformance.frontend import REQUEST_CLASSES, platform_settings
from aspensaddle.conformance.link import Link
from aspensaddle.conformance.net import Address, MemoryNet
from aspensaddle.core.driver import Driver
from aspensaddle.core.settings_parser import parse_settings
from aspensaddle.discovery.endpoint_registry import EndpointRegistry
from aspensaddle.discovery.endpoint_update import parse_endpoint_list
from aspensaddle.frontends.quic.delivery import MAX_QUOTE_BYTES, DeliveryFailure, FailureReason
from aspensaddle.frontends.quic.engine import Engine
from aspensaddle.frontends.quic.packets import MalformedPacketError
from aspensaddle.frontends.quic.session import Path as QuicPath
from aspensaddle.frontends.quic.settings import load_quic_settings
from aspensaddle.support.config_errors import ConfigError
from aspensaddle.support.counters import Counters

SWEEP_INTERVAL_SECONDS = 0.1
UNREACHABLE_DELAY_SECONDS = 0.0002  # delay before the network reports that no endpoint has the destination address


class _NullLog:
    """A log that discards all events."""

    def event(self, event: str, **fields: Any) -> None:
        """Discard the event."""

    def rate_limited_event(self, event: str, **fields: Any) -> None:
        """Discard the event."""


class MemoryFrontend:
    """The engine, the driver and the balancer in the simulated time of a `MemoryNet`."""

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
        """Start an engine.

        Args:
            net: the network.
            folder: the directory of the files.
            toml: the text of quic.toml; `LISTEN` in it is replaced by the address.
            targets: the endpoint list in discovery's format.
            deadline: the deadline of requests, in seconds.
            seed: the seed of the balancer.
            files: the texts of more files in the directory, by name.
            address: where clients send datagrams; the network chooses it if it is None.
        """
        self.net, self.folder, self._deadline, self._seed = net, folder, deadline, seed
        self.first_socket_port = 1  # towards the servers; a test that changes it restarts on other ports
        folder.mkdir(parents=True, exist_ok=True)
        self.link_in, self.link_out = Link(), Link()
        for file, content in (files or {}).items():
            (folder / file).write_text(content)
        self._toml, self._targets = toml, targets
        net.bind(self)
        if address is not None:
            self.address = address
            net.add_addresses(self, [address])
        self.restart()

    def restart(self) -> None:
        """Start again: only the files and the endpoint list are kept."""
        self._start(self._targets)

    def restart_with_cached_list(self, targets: list[dict[str, Any]]) -> None:
        """Start again with an endpoint list from before the start; `replace_endpoints` brings the current one."""
        self._start(targets)
        self.list_is_confirmed = False

    def _start(self, targets: list[dict[str, Any]]) -> None:
        self.counters, self.faults = Counters(), list[str]()
        self.endpoints = EndpointRegistry(("here",))
        self.driver = Driver(parse_settings(platform_settings(self._deadline)), self._seed, self, self.net.now)
        settings = load_quic_settings(self._write_settings(self._toml), REQUEST_CLASSES)
        assert settings is not None
        self.engine = Engine(
            settings,
            self.driver,
            self.endpoints,
            self.counters,
            _NullLog(),  # type: ignore[arg-type]
            self,
            self.net.now,
            self.net.now(),
        )
        self._next_sweep = self.net.now()
        self._slots: set[int] = set()
        self.driver.start(self.endpoints.apply(parse_endpoint_list({"rev": 1, "all": True, "targets": targets})))
        self.list_is_confirmed = True  # whether the service that has the endpoint list confirms it

    def _write_settings(self, toml: str) -> Path:
        path = self.folder / "quic.toml"
        path.write_text(toml.replace("LISTEN", f"{self.address[0]}:{self.address[1]}"))
        return path

    # Transport of the engine, and datagrams and timers from the network

    def send_to_client(self, data: bytes, client_address: Address) -> None:
        """Send a datagram to a client (the engine's transport)."""
        self.net.transmit(data, self.address, client_address)

    def send_to_server(self, data: bytes, path: QuicPath) -> bool:
        """Send a datagram to a server (the engine's transport)."""
        if self.net.has_address(path.server_address):
            self.net.transmit(data, self._slot_address(path.slot), path.server_address)
            return True
        slot, server_address = path.slot, path.server_address
        failure = DeliveryFailure(FailureReason.PORT_CLOSED, data[:MAX_QUOTE_BYTES])

        def report() -> None:
            self.engine.advance(self.net.now())
            self.engine.handle_delivery_failure(slot, server_address, failure)

        self.net.call_later(UNREACHABLE_DELAY_SECONDS, report)
        return True

    def open_socket(self, slot: int) -> bool:
        """Open a socket towards the servers; return True, as descriptors never run out (the engine's transport)."""
        if slot not in self._slots:
            self._slots.add(slot)
            self.net.add_addresses(_ServerSocket(self, slot), [self._slot_address(slot)])
        return True

    def _slot_address(self, slot: int) -> Address:
        return (f"127.1.{self.address[1] // 256}.{self.address[1] % 256}", self.first_socket_port + slot)

    def handle_datagram(self, data: bytes, source: Address) -> None:
        """Handle a datagram from a client."""
        self.engine.advance(self.net.now())
        self.counters.add("quic datagrams in")
        try:
            self.engine.handle_client_datagram(data, source)
        except MalformedPacketError:
            self.counters.add("quic malformed")

    def next_timer(self) -> float | None:
        """Return the time of the next timer or sweep, in seconds."""
        engine_timer = self.engine.next_timer()
        driver_delay = self.driver.next_timer()
        return min(
            self._next_sweep,
            *(
                due_at
                for due_at in (engine_timer, None if driver_delay is None else self.net.now() + driver_delay)
                if due_at is not None
            ),
            self._next_sweep,
        )

    def run_timers(self) -> None:
        """Run the timers and the sweep that are due."""
        self.driver.run_timers()
        self.engine.advance(self.net.now())
        if self.list_is_confirmed:
            self.endpoints.confirmed_at = self.net.now()
        if self.net.now() >= self._next_sweep:
            self._next_sweep = self.net.now() + SWEEP_INTERVAL_SECONDS
            self.engine.sweep()

    # Services of the driver

    def watch_endpoints(self) -> None:
        """Do nothing: cases replace the endpoint list through `replace_endpoints`."""

    def check_health(self, server: int) -> None:
        """Do nothing: no case needs health checks."""

    def timers_changed(self) -> None:
        """Do nothing: the network asks for `next_timer` at every step."""

    # Interface `Frontend`

    def replace_endpoints(self, targets: list[dict[str, Any]]) -> None:
        """Replace the whole endpoint list."""
        self._targets, self.list_is_confirmed = targets, True
        self.endpoints.confirmed_at = self.net.now()
        update = parse_endpoint_list({"rev": 1, "all": True, "targets": targets})
        self.driver.update_endpoints(update.scope, self.endpoints.apply(update))

    def configure(self, toml: str) -> bool:
        """Load other QUIC settings, the text of a quic.toml; return whether they were accepted."""
        try:
            settings = load_quic_settings(self._write_settings(toml), REQUEST_CLASSES)
        except ConfigError:
            return False
        assert settings is not None
        self._toml = toml
        self.engine.configure(settings)
        return True

    def counts(self) -> dict[str, int]:
        """Return the counters by name."""
        return dict(self.counters)

    def close(self) -> None:
        """Take the front end off the network."""
        self.net.remove(self)


class _ServerSocket:
    """One of the engine's sockets towards the servers, as an endpoint of the network."""

    def __init__(self, frontend: MemoryFrontend, slot: int) -> None:
        self._frontend, self._slot = frontend, slot
        self.address: Address = ("", 0)
        self.link_in, self.link_out = Link(), Link()

    def handle_datagram(self, data: bytes, source: Address) -> None:
        self._frontend.engine.advance(self._frontend.net.now())
        self._frontend.engine.handle_server_datagram(data, self._slot, source)

    def next_timer(self) -> float | None:
        return None

    def run_timers(self) -> None: ...
