"""State shared by the components of the line protocol front end."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from aspensaddle.core.driver import Driver
from aspensaddle.core.retry_after import shutdown_retry_after
from aspensaddle.core.settings import Settings
from aspensaddle.discovery.endpoint_registry import EndpointRegistry
from aspensaddle.frontends.line_protocol.connection_slots import ConnectionSlots
from aspensaddle.frontends.line_protocol.request_state import RequestState
from aspensaddle.frontends.line_protocol.responses import busy
from aspensaddle.frontends.line_protocol.server_connector import ServerConnector
from aspensaddle.support.counters import Counters
from aspensaddle.support.event_loop_lag import EventLoopLagMonitor
from aspensaddle.support.log import Log


@dataclass(frozen=True, slots=True)
class LineProtocolSettings:
    """Settings of the front end.

    Attributes:
        classes: Indexes of the request classes by name.
        tenants: Indexes of the tenants with a quota by name.
        settings: Settings of the balancer.
        sockets: File descriptors that the process may hold.
    """

    classes: Mapping[str, int]
    tenants: Mapping[str, int]
    settings: Settings
    sockets: int


class FrontendState:
    """Services, settings, connections and shutdown state of one front end.

    Attributes:
        config: Current settings.
        driver: Driver of the balancer.
        connector: Connects to servers.
        endpoints: Registry of the known servers.
        counters: Counters of the process.
        log: Log of the process.
        event_loop_lag: Monitor of the event-loop lag.
        slots: Slots of the client connections.
        pending_requests: Requests without a final decision, by id.
        open_connections: Requests with an open connection, by id.
        accepting_requests: Whether new requests are accepted; False during the shutdown.
        migrating_all: Whether connections established from now on are migrated at once.
    """

    def __init__(
        self,
        config: LineProtocolSettings,
        driver: Driver,
        connector: ServerConnector,
        endpoints: EndpointRegistry,
        counters: Counters,
        log: Log,
        reserve: int = 0,
    ) -> None:
        """Start without connections; `reserve` descriptors are kept for other parts of the process."""
        self.driver, self.connector, self.endpoints = driver, connector, endpoints
        self.counters, self.log = counters, log
        self.event_loop_lag = EventLoopLagMonitor()
        self.pending_requests: dict[str, RequestState] = {}
        self.open_connections: dict[str, RequestState] = {}
        self.accepting_requests = True
        self.migrating_all = False
        self._reserve = reserve
        self.slots = ConnectionSlots(counters, config.sockets)
        self.configure(config)

    def configure(self, config: LineProtocolSettings) -> None:
        """Use other settings for requests from now on."""
        self.config = config
        self.connector.sockets = config.sockets
        self.slots.configure(config.sockets, self._reserve + self.connector.descriptors)

    def unavailable_response(self) -> bytes:
        """Return the response for a client that this process cannot serve now."""
        return busy(shutdown_retry_after(self.config.settings.limits))
