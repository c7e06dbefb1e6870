"""The QUIC front end as a service in one task: sockets, timers and error handling around the engine."""

from __future__ import annotations

import time

import trio

from aspensaddle.core.driver import Driver
from aspensaddle.discovery.endpoint_registry import EndpointRegistry
from aspensaddle.frontends.quic.delivery import DeliveryFailure
from aspensaddle.frontends.quic.engine import Engine
from aspensaddle.frontends.quic.packets import MalformedPacketError
from aspensaddle.frontends.quic.session import ClientAddress, ServerAddress
from aspensaddle.frontends.quic.settings import QuicSettings
from aspensaddle.frontends.quic.sockets import UdpSockets
from aspensaddle.support.counters import Counters
from aspensaddle.support.log import Log

SWEEP_INTERVAL_SECONDS = 0.1  # each sweep checks a part of the sessions
MAX_READ_ROUNDS = 8  # limit of rounds of reading before the other tasks of the process run
# Time limit of the same. Requests of the line protocol need some ten passes of the event loop for their answer.
MAX_READ_SECONDS = 0.01
FIXED = ("listen",)  # settings that only a restart can change


class QuicFrontend:
    """Accepts QUIC datagrams, and forwards them between clients and servers."""

    def __init__(
        self, settings: QuicSettings, driver: Driver, endpoints: EndpointRegistry, counters: Counters, log: Log
    ) -> None:
        """Prepare the front end; `bind` opens its sockets."""
        self.settings, self.counters, self.log = settings, counters, log
        self._driver, self._endpoints = driver, endpoints
        self._wakeup, self._armed_at = trio.Event(), float("inf")

    def bind(self) -> None:
        """Bind the client socket and create the engine.

        Raises:
            OSError: the address is not available.
        """
        self.sockets = UdpSockets(self.settings.listen, self.counters)
        self.engine = Engine(
            self.settings,
            self._driver,
            self._endpoints,
            self.counters,
            self.log,
            self.sockets,
            time.time,
            trio.current_time(),
        )
        self.sockets.on_client_datagram = self._handle_client_datagram
        self.sockets.on_server_datagram = self._handle_server_datagram
        self.sockets.on_delivery_failure = self._handle_delivery_failure

    @property
    def shutting_down(self) -> bool:
        """Whether new sessions are rejected because the process shuts down."""
        return self.engine.context.shutting_down

    @shutting_down.setter
    def shutting_down(self, value: bool) -> None:
        self.engine.context.shutting_down = value

    @property
    def unfinished_requests(self) -> int:
        """Number of requests whose clients may still wait for a final answer."""
        self.engine.context.now = trio.current_time()
        return self.engine.unfinished_requests.count()

    def reject_pending_requests(self) -> None:
        """Give the final answer to every request without one, for the shutdown."""
        self.engine.context.now = trio.current_time()
        self.engine.unfinished_requests.reject_pending()

    def configure(self, settings: QuicSettings) -> list[str]:
        """Use other settings from now on; return the names of changed settings that need a restart."""
        needs_restart = [name for name in FIXED if getattr(settings, name) != getattr(self.settings, name)]
        self.settings = settings
        self.engine.context.now = trio.current_time()
        self.engine.configure(settings)
        return needs_restart

    async def run(self) -> None:
        """Forward datagrams until cancelled, then close the sockets."""
        self.log.event("quic started", listen=self.settings.listen)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._sweep)
                nursery.start_soon(self._run_timers)
                while True:
                    await self.sockets.wait()
                    self._read()
                    await trio.lowlevel.checkpoint()
        finally:
            self.sockets.close()

    def _read(self) -> None:
        deadline = time.monotonic() + MAX_READ_SECONDS
        for _ in range(MAX_READ_ROUNDS):
            self._advance()
            if not self.sockets.read(deadline) or time.monotonic() >= deadline:
                break
        self._update_timer()

    def _handle_client_datagram(self, data: bytes, client_address: ClientAddress) -> None:
        self.counters["quic datagrams in"] += 1
        try:
            self.engine.handle_client_datagram(data, client_address)
        except MalformedPacketError:
            self.counters.add("quic malformed")
        except Exception as error:  # an internal error costs one datagram, not the front end
            self._report_internal_error(error)

    def _handle_server_datagram(self, data: bytes, slot: int, server_address: ServerAddress) -> None:
        self.counters["quic datagrams back"] += 1
        try:
            self.engine.handle_server_datagram(data, slot, server_address)
        except Exception as error:
            self._report_internal_error(error)

    def _handle_delivery_failure(self, slot: int, server_address: ServerAddress, failure: DeliveryFailure) -> None:
        try:
            self.engine.handle_delivery_failure(slot, server_address, failure)
        except Exception as error:
            self._report_internal_error(error)

    def _report_internal_error(self, error: Exception) -> None:
        self.counters.add("internal_errors")
        self.log.rate_limited_event("internal_error", error=repr(error))

    def _advance(self) -> None:
        """Run what is due; what this sends may have brought reports of undelivered datagrams to light."""
        self.engine.advance(trio.current_time())
        self.sockets.report_delivery_failures()

    # Timers

    def _update_timer(self) -> None:
        """Wake the timer task if a timer is now due earlier than the one that it waits for."""
        due_at = self.engine.next_timer()
        if due_at is not None and due_at < self._armed_at:
            self._armed_at = due_at
            self._wakeup.set()

    async def _run_timers(self) -> None:
        """Run the engine's timers, for attempts and incomplete ClientHellos, when they are due."""
        while True:
            self._wakeup = trio.Event()
            due_at = self.engine.next_timer()
            self._armed_at = float("inf") if due_at is None else due_at
            with trio.move_on_at(self._armed_at):
                await self._wakeup.wait()
            self._advance()

    async def _sweep(self) -> None:
        while True:
            await trio.sleep(SWEEP_INTERVAL_SECONDS)
            self._advance()
            self.engine.sweep()
