"""What the parts of the front share: the settings in force, the time, the driver, and the way out."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from aspensaddle.core.driver import Driver
from aspensaddle.discovery.endpoint_registry import EndpointRegistry
from aspensaddle.frontends.quic.connection_id_directory import ConnectionIdDirectory
from aspensaddle.frontends.quic.session import ClientAddress, Path
from aspensaddle.frontends.quic.settings import QuicSettings
from aspensaddle.support.counters import Counters
from aspensaddle.support.log import Log


class Transport(Protocol):
    """The way out. What can't be sent is lost, as any datagram may be."""

    def send_to_client(self, data: bytes, client_address: ClientAddress) -> None: ...
    def send_to_server(self, data: bytes, path: Path) -> None: ...
    def open_socket(self, slot: int) -> bool:
        """Have a socket under this number; False where there is no descriptor for one."""


@dataclass(slots=True)
class Context:
    settings: QuicSettings
    directory: ConnectionIdDirectory
    driver: Driver
    endpoints: EndpointRegistry
    counters: Counters
    log: Log
    transport: Transport
    unix_time: Callable[[], float]  # seconds; what balancers have in common
    now: float = 0.0  # seconds of a clock that only goes forward, told before each step
    shutting_down: bool = False
