"""The QUIC front as a service: sockets, time and faults round the engine, in one task."""

from __future__ import annotations

import time

import trio

from aspensaddle.core.driver import Driver
from aspensaddle.discovery.endpoint_registry import EndpointRegistry
from aspensaddle.frontends.quic.engine import Engine
from aspensaddle.frontends.quic.packets import MalformedPacketError
from aspensaddle.frontends.quic.session import ClientAddress, ServerAddress
from aspensaddle.frontends.quic.settings import QuicSettings
from aspensaddle.frontends.quic.sockets import UdpSockets
from aspensaddle.support.counters import Counters
from aspensaddle.support.log import Log

SWEEP_INTERVAL_SECONDS = 0.1  # seconds; each looks at a part of the sessions
MAX_READ_ROUNDS = 8  # of reading before the other tasks of the process have their turn
FIXED = ("listen",)  # what only a restart can change


class QuicFrontend:
    def __init__(
        self, settings: QuicSettings, driver: Driver, endpoints: EndpointRegistry, counters: Counters, log: Log
    ) -> None:
        self.settings, self.counters, self.log = settings, counters, log
        self._driver, self._endpoints = driver, endpoints
        self._wakeup, self._armed_at = trio.Event(), float("inf")

    def bind(self) -> None:
        """Take the address; raises `OSError` where it can't be had."""
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
        self.sockets.on_unreachable_server = self.engine.handle_unreachable_server

    @property
    def shutting_down(self) -> bool:
        return self.engine.context.shutting_down

    @shutting_down.setter
    def shutting_down(self, value: bool) -> None:
        self.engine.context.shutting_down = value

    def configure(self, settings: QuicSettings) -> list[str]:
        """Other settings from now on; the names of those that need a restart."""
        kept = [n for n in FIXED if getattr(settings, n) != getattr(self.settings, n)]
        self.settings = settings
        self.engine.context.now = trio.current_time()
        self.engine.configure(settings)
        return kept

    async def run(self) -> None:
        self.log.event("quic started", listen=self.settings.listen)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._sweep)
                nursery.start_soon(self._timers)
                while True:
                    await self.sockets.wait()
                    self._read()
                    await trio.lowlevel.checkpoint()
        finally:
            self.sockets.close()

    def _read(self) -> None:
        engine = self.engine
        for _ in range(MAX_READ_ROUNDS):
            engine.advance(trio.current_time())
            if not self.sockets.read():
                break
        self._set_timer()

    def _handle_client_datagram(self, data: bytes, client_address: ClientAddress) -> None:
        self.counters["quic datagrams in"] += 1
        try:
            self.engine.handle_client_datagram(data, client_address)
        except MalformedPacketError:
            self.counters.add("quic malformed")
        except Exception as e:  # a fault costs one datagram, not the front
            self._report_internal_error(e)

    def _handle_server_datagram(self, data: bytes, slot: int, server_address: ServerAddress) -> None:
        self.counters["quic datagrams back"] += 1
        try:
            self.engine.handle_server_datagram(data, slot, server_address)
        except Exception as e:
            self._report_internal_error(e)

    def _report_internal_error(self, e: Exception) -> None:
        self.counters.add("internal_errors")
        self.log.rate_limited_event("internal_error", error=repr(e))

    # ------------------------------------------------------------ time

    def _set_timer(self) -> None:
        """Wake who waits for the next timer, if one is due before it."""
        at = self.engine.next_timer()
        if at is not None and at < self._armed_at:
            self._armed_at = at
            self._wakeup.set()

    async def _timers(self) -> None:
        """Run what is due, to the moment: an attempt's end, a ClientHello that has not become whole."""
        while True:
            self._wakeup = trio.Event()
            at = self.engine.next_timer()
            self._armed_at = float("inf") if at is None else at
            with trio.move_on_at(self._armed_at):
                await self._wakeup.wait()
            self.engine.advance(trio.current_time())

    async def _sweep(self) -> None:
        while True:
            await trio.sleep(SWEEP_INTERVAL_SECONDS)
            self.engine.advance(trio.current_time())
            self.engine.sweep()
