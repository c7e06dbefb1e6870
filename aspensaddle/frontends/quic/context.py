"""State that the modules of the front end share: settings, time, the driver and the transport."""

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
    """Sends datagrams. One that cannot be sent is lost, as any datagram may be."""

    def send_to_client(self, data: bytes, client_address: ClientAddress) -> None:
        """Send a datagram from the listening socket to a client."""

    def send_to_server(self, data: bytes, path: Path) -> bool:
        """Send a datagram from the path's socket to its server; return False if it did not leave this process."""

    def open_socket(self, slot: int) -> bool:
        """Open the socket with this slot number unless it is open; return False without a free descriptor."""


@dataclass(slots=True)
class Context:
    """State that the modules of the front end share."""

    settings: QuicSettings
    directory: ConnectionIdDirectory
    driver: Driver
    endpoints: EndpointRegistry
    counters: Counters
    log: Log
    transport: Transport
    unix_time: Callable[[], float]  # returns the Unix time in seconds, a clock that all balancers share
    now: float = 0.0  # current time of a monotonic clock in seconds; set by `Engine.advance`
    shutting_down: bool = False
