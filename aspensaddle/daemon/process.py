"""Runs one process until it shuts down: the balancer and, if an operator's file enables it, a store replica."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import trio

from aspensaddle.daemon.config import Config, ConfigSource
from aspensaddle.daemon.service import Daemon
from aspensaddle.frontends.quic.settings import QuicSettings
from aspensaddle.support.counters import Counters
from aspensaddle.support.log import Log

if TYPE_CHECKING:
    from aspensaddle.store.settings import StoreSettings


async def serve(
    source: ConfigSource,
    config: Config,
    quic_settings: QuicSettings | None,
    store_settings: StoreSettings | None,
    log: Log,
    quic_file: Path | None = None,
) -> None:
    """Run one process until it shuts down, with a replica of the store if that has settings.

    Raises:
        OSError: If a socket can't be bound.
    """
    counters = Counters()
    if store_settings is None:
        await _run(Daemon(source, config, quic_settings, log, counters, quic_file=quic_file))
        return
    from aspensaddle.daemon.store_integration import join_store, with_stored_settings
    from aspensaddle.store.replica import Replica

    replica = Replica(config.name, store_settings, counters, joins=True)
    replica.bind()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(replica.run)
        await join_store(replica, log)
        config = with_stored_settings(replica, config, log)
        await _run(Daemon(source, config, quic_settings, log, counters, replica, quic_file))
        nursery.cancel_scope.cancel()


async def _run(daemon: Daemon) -> None:
    try:
        await daemon.run()
    finally:
        daemon.log_counters()
