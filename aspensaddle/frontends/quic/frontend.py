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

SWEEP = 0.1  # seconds; each looks at a part of the sessions
ROUNDS = 8  # of reading before the other tasks of the process have their turn
FIXED = ("listen",)  # what only a restart can change


class QuicFrontend:
    def __init__(
        self, settings: QuicSettings, driver: Driver, fleet: EndpointRegistry, counters: Counters, log: Log
    ) -> None:
        self.settings, self.counters, self.log = settings, counters, log
        self._driver, self._fleet = driver, fleet
        self._woken, self._armed = trio.Event(), float("inf")

    def bind(self) -> None:
        """Take the address; raises `OSError` where it can't be had."""
        self.sockets = UdpSockets(self.settings.listen, self.counters)
        self.engine = Engine(
            self.settings,
            self._driver,
            self._fleet,
            self.counters,
            self.log,
            self.sockets,
            time.time,
            trio.current_time(),
        )
        self.sockets.from_client = self._from_client
        self.sockets.from_runner = self._from_runner
        self.sockets.unreachable = self.engine.unreachable

    @property
    def closing(self) -> bool:
        return self.engine.ctx.closing

    @closing.setter
    def closing(self, value: bool) -> None:
        self.engine.ctx.closing = value

    def configure(self, settings: QuicSettings) -> list[str]:
        """Other settings from now on; the names of those that need a restart."""
        kept = [n for n in FIXED if getattr(settings, n) != getattr(self.settings, n)]
        self.settings = settings
        self.engine.ctx.now = trio.current_time()
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
        for _ in range(ROUNDS):
            engine.step(trio.current_time())
            if not self.sockets.read():
                break
        self._set_timer()

    def _from_client(self, data: bytes, peer: ClientAddress) -> None:
        self.counters["quic datagrams in"] += 1
        try:
            self.engine.from_client(data, peer)
        except MalformedPacketError:
            self.counters.add("quic malformed")
        except Exception as e:  # a fault costs one datagram, not the front
            self._fault(e)

    def _from_runner(self, data: bytes, slot: int, runner: ServerAddress) -> None:
        self.counters["quic datagrams back"] += 1
        try:
            self.engine.from_runner(data, slot, runner)
        except Exception as e:
            self._fault(e)

    def _fault(self, e: Exception) -> None:
        self.counters.add("internal_errors")
        self.log.rate_limited_event("internal_error", error=repr(e))

    # ------------------------------------------------------------ time

    def _set_timer(self) -> None:
        """Wake who waits for the next timer, if one is due before it."""
        at = self.engine.next_timer()
        if at is not None and at < self._armed:
            self._armed = at
            self._woken.set()

    async def _timers(self) -> None:
        """Run what is due, to the moment: an attempt's end, a ClientHello that has not become whole."""
        while True:
            self._woken = trio.Event()
            at = self.engine.next_timer()
            self._armed = float("inf") if at is None else at
            with trio.move_on_at(self._armed):
                await self._woken.wait()
            self.engine.step(trio.current_time())

    async def _sweep(self) -> None:
        while True:
            await trio.sleep(SWEEP)
            self.engine.step(trio.current_time())
            self.engine.sweep()
