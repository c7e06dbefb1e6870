"""Wires the parts of one process together and runs them until a signal stops it."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator
from dataclasses import asdict, replace
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

import trio

from aspensaddle.core.driver import Driver
from aspensaddle.core.events import EndpointUpdateScope
from aspensaddle.daemon.config import Config, ConfigSource
from aspensaddle.daemon.graceful_shutdown import ShutdownPhases, shut_down
from aspensaddle.daemon.reload import ApplyFile, ConfigReloader
from aspensaddle.daemon.supervisor import Supervisor
from aspensaddle.discovery.endpoint_registry import EndpointRegistry
from aspensaddle.discovery.watcher import EndpointWatcher
from aspensaddle.frontends.line_protocol.frontend import LineProtocolFrontend
from aspensaddle.frontends.line_protocol.frontend_state import LineProtocolSettings
from aspensaddle.frontends.line_protocol.server_connector import ServerConnector
from aspensaddle.frontends.quic.settings import QuicSettings, load_quic_settings
from aspensaddle.support.counters import Counters
from aspensaddle.support.log import Log
from aspensaddle.support.sockets import Listener

if TYPE_CHECKING:
    from aspensaddle.daemon.store_integration import StoredEndpointSource
    from aspensaddle.frontends.quic.frontend import QuicFrontend
    from aspensaddle.store.replica import Replica

SIGNALS = signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP
QUIC_OWN_SOCKETS = 2  # sockets that the QUIC front end holds in addition to those to servers


class Daemon:
    """One balancer process. It provides the driver with its services (`ProcessServices`).

    Large libraries are imported only if an operator's file enables the part that needs them.
    """

    def __init__(
        self,
        source: ConfigSource,
        config: Config,
        quic_settings: QuicSettings | None,
        log: Log,
        counters: Counters,
        replica: Replica | None = None,
        quic_file: Path | None = None,
    ) -> None:
        self._config = config
        self._log = log
        self._counters = counters
        self._quic_file = quic_file
        self._replica = replica
        self._supervisor = Supervisor(counters, log)
        self._registry = EndpointRegistry(config.zones, config.settings.machine_types)
        self._registry.on_rejected = self._report_rejected_endpoint
        self._driver = Driver(config.settings, config.seed, self)
        self._servers = ServerConnector(self._driver, self._registry, counters, config.limits.sockets)
        self._endpoint_source = self._create_endpoint_source(replica)
        self._frontend = self._create_frontend(quic_settings)
        self._quic = self._create_quic_frontend(quic_settings)
        self._reloader = self._create_reloader(source, replica)
        self._timers_changed = trio.Event()
        self._nursery: trio.Nursery | None = None

    # ------------------------------------------------------------ wiring

    def _create_endpoint_source(self, replica: Replica | None) -> EndpointWatcher | StoredEndpointSource | None:
        config = self._config
        if replica is not None and replica.settings.endpoints_from_store:
            from aspensaddle.daemon.store_integration import StoredEndpointSource

            return StoredEndpointSource(replica, self._driver, self._registry, self._counters, self._log)
        if config.discovery is None:
            return None
        watcher = EndpointWatcher(
            config.discovery,
            self._driver,
            self._registry,
            self._counters,
            self._log,
            config.seed,
            is_local_agent=not config.settings.polls_discovery,
            balancer_count=config.settings.balancer_count,
        )
        watcher.revision = config.known.revision
        return watcher

    def _create_frontend(self, quic_settings: QuicSettings | None) -> LineProtocolFrontend:
        reserved_sockets = 0 if quic_settings is None else quic_settings.most_sockets + QUIC_OWN_SOCKETS
        return LineProtocolFrontend(
            _line_protocol_settings(self._config),
            self._driver,
            self._servers,
            self._registry,
            self._counters,
            self._log,
            reserve=reserved_sockets,
        )

    def _create_quic_frontend(self, quic_settings: QuicSettings | None) -> QuicFrontend | None:
        if quic_settings is None:
            return None
        from aspensaddle.frontends.quic.frontend import QuicFrontend

        return QuicFrontend(quic_settings, self._driver, self._registry, self._counters, self._log)

    def _create_reloader(self, source: ConfigSource, replica: Replica | None) -> ConfigReloader:
        stored_settings = None
        if replica is not None:
            from aspensaddle.daemon.store_integration import with_stored_settings

            stored_settings = partial(with_stored_settings, replica, log=self._log)
        return ConfigReloader(
            source,
            self._config,
            self._apply_config,
            self._counters,
            self._log,
            stored_settings,
            (self._prepare_quic_file,),
        )

    # ------------------------------------------------------------ running

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, and shut down."""
        with trio.open_signal_receiver(*SIGNALS) as signals:
            # Unblock SIGHUP before serving: one that was sent during startup is delivered now.
            signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGHUP])
            listener = Listener(self._config.listen)
            if self._quic is not None:
                self._quic.bind()
            async with trio.open_nursery() as self._nursery:
                self._start_tasks(self._nursery, listener)
                self._log_start()
                await self._handle_signals(signals, listener)

    def _start_tasks(self, nursery: trio.Nursery, listener: Listener) -> None:
        self._driver.start(self._registry.apply(self._config.known))
        if self._endpoint_source is None:
            self._registry.confirmed_at = float("inf")
        if isinstance(self._endpoint_source, EndpointWatcher):
            # The driver starts the watch of a stored source; an EndpointWatcher starts here, after its own delay.
            nursery.start_soon(self._supervisor.run_once, self._endpoint_source.start, self._report_failed_update)
        supervise = self._supervisor.supervise
        nursery.start_soon(supervise, self._run_timers)
        nursery.start_soon(supervise, self._frontend.run_periodic_check)
        nursery.start_soon(supervise, self._frontend.serve, listener, nursery)
        if self._quic is not None:
            nursery.start_soon(supervise, self._quic.run)

    def _log_start(self) -> None:
        known = self._config.known
        self._log.event(
            "daemon_started",
            listen=self._config.listen,
            revision=known.revision,
            endpoints=[[record.uid, record.weight, record.machine_type] for record in known.endpoints],
        )

    async def _handle_signals(self, signals: AsyncIterator[int], listener: Listener) -> None:
        """Handle each signal as it arrives, also during the shutdown."""
        assert self._nursery is not None
        async for number in signals:
            if number == signal.SIGUSR1:
                self.log_counters()
            elif number == signal.SIGHUP:
                try:
                    self._reloader.reload()
                except Exception as error:
                    self._supervisor.record(error)
            elif self._frontend.accepting_requests:
                self._frontend.accepting_requests = False
                self._nursery.start_soon(self._shut_down, listener)

    async def _shut_down(self, listener: Listener) -> None:
        """Shut down within the time before the platform kills the process."""
        assert self._nursery is not None
        lag = self._frontend.event_loop_lag.recent(trio.current_time())
        phases = ShutdownPhases.from_settings(self._config.settings, lag)
        self._log.event(
            "shutdown_started",
            connections=len(self._frontend.open_connections),
            requests=len(self._frontend.pending_requests),
            quic_requests=0 if self._quic is None else self._quic.unfinished_requests,
            phases=asdict(phases),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._supervisor.run_once, partial(self._hand_over_store, phases))
            try:
                await shut_down(self._frontend, listener, phases, self._nursery, self._quic)
            except Exception as error:
                self._supervisor.record(error)
        self._nursery.cancel_scope.cancel()

    async def _hand_over_store(self, phases: ShutdownPhases) -> None:
        if self._replica is not None:
            from aspensaddle.daemon.store_integration import hand_over_store

            await hand_over_store(self._replica, self._log, phases.close_deadline)

    def log_counters(self) -> None:
        """Log all counters and a snapshot of each server."""
        servers = self._driver.server_snapshots()
        self._log.event(
            "counters_reported",
            connections=len(self._frontend.open_connections),
            sockets=self._frontend.slots.open,
            log_lines_dropped=self._log.dropped,
            counts=self._counters.report(),
            servers={self._registry.uid(server): asdict(snapshot) for server, snapshot in servers.items()},
        )

    # ------------------------------------------------------------ reload

    def _apply_config(self, config: Config) -> None:
        """Apply a configuration to each part of the process. Established connections are not affected."""
        old, self._config = self._config, config
        self._driver.configure(config.settings)
        if isinstance(self._endpoint_source, EndpointWatcher):
            self._endpoint_source.balancer_count = config.settings.balancer_count
        self._frontend.configure(_line_protocol_settings(config))
        if config.discovery is not None and config.discovery != old.discovery:
            self._change_discovery_address(config)
        if self._endpoint_source is None and config.known != old.known:
            known = replace(config.known, complete=True)
            self._driver.update_endpoints(EndpointUpdateScope.COMPLETE, self._registry.apply(known))

    def _change_discovery_address(self, config: Config) -> None:
        watcher = self._endpoint_source
        if isinstance(watcher, EndpointWatcher) and config.discovery is not None:
            watcher.change_address(config.discovery)
            if not watcher.is_running:
                self.watch_endpoints()

    def _prepare_quic_file(self, config: Config) -> ApplyFile:
        """Read the QUIC front end's file. Only a restart can turn the front end on or off."""
        settings = None if self._quic_file is None else load_quic_settings(self._quic_file, config.classes)
        frontend = self._quic
        if settings is None or frontend is None:
            is_toggled = (settings is None) != (frontend is None)
            return lambda: ["quic.enabled"] if is_toggled else []
        return lambda: [f"quic.{name}" for name in frontend.configure(settings)]

    # ------------------------------------------------------------ services for the driver

    def watch_endpoints(self) -> None:
        """Start a watch of the endpoint list; an internal error in it counts as a failed discovery call."""
        if self._endpoint_source is not None:
            assert self._nursery is not None
            self._nursery.start_soon(
                self._supervisor.run_once, self._endpoint_source.watch, self._report_failed_update
            )

    def check_health(self, server: int) -> None:
        """Start a health check of a server."""
        assert self._nursery is not None
        self._nursery.start_soon(self._supervisor.run_once, partial(self._servers.check_health, server))

    def timers_changed(self) -> None:
        """Note that the driver's next timer may be an earlier one."""
        self._timers_changed.set()

    def _report_rejected_endpoint(self, uid: str) -> None:
        self._counters.add("endpoints_rejected_list_full")
        self._log.rate_limited_event("endpoint_rejected", reason="the list is full", uid=uid)

    def _report_failed_update(self) -> None:
        self._driver.update_endpoints(EndpointUpdateScope.FAILED)

    async def _run_timers(self) -> None:
        while True:
            self._timers_changed = trio.Event()
            delay = self._driver.next_timer()
            with trio.move_on_after(float("inf") if delay is None else delay):
                await self._timers_changed.wait()
            self._driver.run_timers()


def _line_protocol_settings(config: Config) -> LineProtocolSettings:
    return LineProtocolSettings(config.classes, config.tenants, config.settings, config.limits.sockets)
