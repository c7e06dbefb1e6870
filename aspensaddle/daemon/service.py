"""The services of one process: wires the parts up and keeps them running until it is told to stop."""

from __future__ import annotations

import signal
import traceback
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import asdict, replace
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

import trio

from aspensaddle.core.driver import Driver
from aspensaddle.core.events import EndpointUpdateScope
from aspensaddle.daemon.config import Config, ConfigSource
from aspensaddle.daemon.reload import Reload
from aspensaddle.daemon.shutdown import Phases, shut_down
from aspensaddle.discovery.endpoint_registry import EndpointRegistry
from aspensaddle.discovery.watcher import EndpointWatcher
from aspensaddle.frontends.line_protocol.clients import Clients, LinesSettings
from aspensaddle.frontends.line_protocol.servers import Servers
from aspensaddle.frontends.quic.settings import QuicSettings, load_quic
from aspensaddle.support.counters import Counters
from aspensaddle.support.log import Log
from aspensaddle.support.sockets import Listener

if TYPE_CHECKING:
    from aspensaddle.daemon.stored import StoreList
    from aspensaddle.frontends.quic.front import Front
    from aspensaddle.store.replica import Replica
    from aspensaddle.store.settings import StoreSettings

SIGNALS = signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP


class Daemon:
    """The services of one process for its balancer."""

    def __init__(
        self,
        source: ConfigSource,
        config: Config,
        quic: QuicSettings | None,
        log: Log,
        counters: Counters,
        replica: Replica | None = None,
        quic_file: Path | None = None,
    ) -> None:
        self._quic_file = quic_file
        self.config, self.log, self.counters = config, log, counters
        self.fleet = EndpointRegistry(config.zones, config.settings.machine_types)
        self.driver = Driver(config.settings, config.seed, self)
        self.servers = Servers(self.driver, self.fleet, self.counters, config.limits.sockets)
        self.list: EndpointWatcher | StoreList | None = None
        if replica is not None and replica.settings.runners:
            from aspensaddle.daemon.stored import StoreList

            self.list = StoreList(replica, self.driver, self.fleet, self.counters, log)
        elif config.discovery is not None:
            self.list = EndpointWatcher(
                config.discovery,
                self.driver,
                self.fleet,
                self.counters,
                log,
                config.seed,
                is_local_agent=not config.settings.polls_discovery,
            )
            self.list.revision = config.known.revision
        self.clients = Clients(
            _lines(config),
            self.driver,
            self.servers,
            self.fleet,
            self.counters,
            log,
            reserve=0 if quic is None else quic.most_sockets + 2,
        )
        self.quic: Front | None = None
        if quic is not None:
            # Only where it is on: its libraries are heavy for a platform that does without.
            from aspensaddle.frontends.quic.front import Front

            self.quic = Front(quic, self.driver, self.fleet, self.counters, log)
        stored = None
        if replica is not None:
            from aspensaddle.daemon.stored import with_stored

            stored = partial(with_stored, replica, log=log)
        self.reload = Reload(source, config, self._swap, counters, log, stored, (self._prepare_quic,))
        self._timer = trio.Event()
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        with trio.open_signal_receiver(*SIGNALS) as signals:
            # Before anybody is answered; what came while the program started is received now.
            signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGHUP])
            await self._run(signals)

    async def _run(self, signals: AsyncIterator[int]) -> None:
        listener = Listener(self.config.listen)
        if self.quic is not None:
            self.quic.bind()
        async with trio.open_nursery() as self._nursery:
            self.driver.start(self.fleet.apply(self.config.known))
            if isinstance(self.list, EndpointWatcher):
                # Lists that are pushed come to an agent on this machine, and from there to whoever watches it. What
                # it has counts as told, so it is watched from the first moment; asking it costs nothing.
                self._call(self.list.start)
            self._nursery.start_soon(self._keep, self._timers)
            self._nursery.start_soon(self._keep, self.clients.sweep)
            self._nursery.start_soon(self._keep, self.clients.serve, listener, self._nursery)
            if self.quic is not None:
                self._nursery.start_soon(self._keep, self.quic.run)
            self.log.event(
                "started",
                listen=self.config.listen,
                rev=self.config.known.revision,
                runners=[[t.uid, t.weight, t.machine_type] for t in self.config.known.endpoints],
            )
            await self._signals(signals, listener)

    async def _keep(self, task: Callable[..., Awaitable[None]], *args: object) -> None:
        """Run a task for good: a fault of it must end neither it nor the others."""
        while True:
            try:
                await task(*args)
            except Exception as e:
                self._fault(e)
                await trio.sleep(0.1)

    async def _once(self, task: Callable[[], Awaitable[None]]) -> None:
        """One call to discovery: a fault of it counts as a call that failed."""
        try:
            await task()
        except Exception as e:
            self._fault(e)
            self.driver.update_endpoints(EndpointUpdateScope.FAILED)

    def _fault(self, e: Exception) -> None:
        self.counters.add("faults")
        self.log.event("fault", error=repr(e), trace="".join(traceback.format_exception(e))[-2000:])

    async def _signals(self, signals: AsyncIterator[int], listener: Listener) -> None:
        """Carry out each signal as it comes, also while the process lets its clients go."""
        assert self._nursery is not None
        async for number in signals:
            if number == signal.SIGUSR1:
                self.report()
            elif number == signal.SIGHUP:
                try:
                    self.reload.run()
                except Exception as e:
                    self._fault(e)
            elif self.clients.newcomers:
                self.clients.newcomers = False
                self._nursery.start_soon(self._end, listener)

    async def _end(self, listener: Listener) -> None:
        """Let all clients go, then end the process, in time before the platform would kill it."""
        assert self._nursery is not None
        if self.quic is not None:
            self.quic.closing = True
        phases = Phases.of(self.config.settings, self.clients.lateness.recent(trio.current_time()))
        self.log.event(
            "stopping", standing=len(self.clients.standing), placing=len(self.clients.placing), phases=asdict(phases)
        )
        try:
            await shut_down(self.clients, listener, phases, self._nursery)
        except Exception as e:
            self._fault(e)
        self._nursery.cancel_scope.cancel()

    def _swap(self, config: Config) -> None:
        """Put a configuration that was read anew in force, part by part. Nothing that stands is touched."""
        old, self.config = self.config, config
        self.driver.configure(config.settings)
        self.clients.configure(_lines(config))
        if (
            isinstance(self.list, EndpointWatcher)
            and config.discovery is not None
            and config.discovery != old.discovery
        ):
            self.list.change_address(config.discovery)
            if not self.list.is_running:
                self._call(self.list.watch)
        if self.list is None and config.known != old.known:
            self.driver.update_endpoints(
                EndpointUpdateScope.COMPLETE, self.fleet.apply(replace(config.known, complete=True))
            )

    def _prepare_quic(self, config: Config) -> Callable[[], list[str]]:
        """The QUIC front's file read anew. Whether the front is on is settled at the start."""
        settings = None if self._quic_file is None else load_quic(self._quic_file, config.classes)
        front = self.quic
        if settings is None or front is None:
            turned = (settings is None) != (front is None)
            return lambda: ["quic.enabled"] if turned else []
        return lambda: [f"quic.{name}" for name in front.configure(settings)]

    def report(self) -> None:
        self.log.event(
            "counters",
            standing=len(self.clients.standing),
            open=self.clients.admission.open,
            log_dropped=self.log.dropped,
            counts=self.counters.report(),
            runners={self.fleet.uid(n): asdict(s) for n, s in self.driver.server_snapshots().items()},
        )

    # ------------------------------------------------------------ what the driver asks for

    def watch_endpoints(self) -> None:
        if self.list is not None:
            self._call(self.list.watch)

    def _call(self, call: Callable[[], Awaitable[None]]) -> None:
        assert self._nursery is not None
        self._nursery.start_soon(self._once, call)

    def check_health(self, server: int) -> None:
        assert self._nursery is not None
        self._nursery.start_soon(self._probe, server)

    async def _probe(self, server: int) -> None:
        try:
            await self.servers.probe(server)
        except Exception as e:
            self._fault(e)

    def timers_changed(self) -> None:
        self._timer.set()

    async def _timers(self) -> None:
        while True:
            self._timer = trio.Event()
            wait = self.driver.next_timer()
            with trio.move_on_after(float("inf") if wait is None else wait):
                await self._timer.wait()
            self.driver.run_timers()


def _lines(config: Config) -> LinesSettings:
    return LinesSettings(config.classes, config.tenants, config.settings, config.limits.sockets)


async def serve(
    source: ConfigSource,
    config: Config,
    quic: QuicSettings | None,
    store: StoreSettings | None,
    log: Log,
    quic_file: Path | None = None,
) -> None:
    counters = Counters()
    if store is None:
        await _run(Daemon(source, config, quic, log, counters, quic_file=quic_file))
        return
    from aspensaddle.daemon.stored import stored_settings
    from aspensaddle.store.replica import Replica

    replica = Replica(config.name, store, counters)
    replica.bind()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(replica.run)
        config = await stored_settings(replica, config, log)
        await _run(Daemon(source, config, quic, log, counters, replica, quic_file))
        nursery.cancel_scope.cancel()


async def _run(daemon: Daemon) -> None:
    try:
        await daemon.run()
    finally:
        daemon.report()
