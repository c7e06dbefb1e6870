"""The line protocol front end and the functions that the daemon calls."""

from __future__ import annotations

import trio

from aspensaddle.core.actions import Reject, RejectReason
from aspensaddle.core.driver import Driver
from aspensaddle.discovery.endpoint_registry import EndpointRegistry
from aspensaddle.frontends.line_protocol.connection_adopter import ConnectionAdopter
from aspensaddle.frontends.line_protocol.connection_handler import ConnectionHandler
from aspensaddle.frontends.line_protocol.connection_slots import ConnectionStage
from aspensaddle.frontends.line_protocol.frontend_state import FrontendState, LineProtocolSettings
from aspensaddle.frontends.line_protocol.listener import ClientListener
from aspensaddle.frontends.line_protocol.open_connections import OpenConnections
from aspensaddle.frontends.line_protocol.periodic_check import run_periodic_check
from aspensaddle.frontends.line_protocol.request_lifecycle import RequestLifecycle
from aspensaddle.frontends.line_protocol.server_connector import ServerConnector
from aspensaddle.support.counters import Counters
from aspensaddle.support.log import Log
from aspensaddle.support.sockets import Listener


class LineProtocolFrontend(FrontendState):
    """The front end of one process.

    Attributes:
        handler: Handler of the client connections.
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
        """Create the components; `reserve` descriptors are kept for other parts of the process."""
        super().__init__(config, driver, connector, endpoints, counters, log, reserve)
        connections = OpenConnections(self)
        self.handler = ConnectionHandler(
            self, RequestLifecycle(self, connections), ConnectionAdopter(self, connections)
        )
        self._listener = ClientListener(self, self.handler)

    async def serve(self, listener: Listener, nursery: trio.Nursery) -> None:
        """Accept connections until cancelled; each is handled by a task of `nursery`."""
        await self._listener.serve(listener, nursery)

    def accept(self, listener: Listener, nursery: trio.Nursery) -> bool:
        """Accept the connections that wait, at most one batch; return False for lack of a descriptor."""
        return self._listener.accept(listener, nursery)

    async def run_periodic_check(self) -> None:
        """Check open connections and the event loop's lag until cancelled."""
        await run_periodic_check(self)

    def reject_pending_requests(self) -> None:
        """Reject every request without a final decision, for the shutdown."""
        for request_id, state in list(self.pending_requests.items()):
            if request_id in self.driver:
                self.driver.reject_on_shutdown(request_id)
            else:  # an adoption, which the driver does not know yet
                state.handle_action(Reject(request_id, 0.0, RejectReason.SHUTTING_DOWN))

    @property
    def unfinished_connections(self) -> int:
        """Number of clients that await a response or have an open connection."""
        return self.slots.count(ConnectionStage.ACTIVE)
