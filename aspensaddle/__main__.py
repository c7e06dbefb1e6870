"""The real balancer: reads its configuration and serves until it is told to stop."""

from __future__ import annotations

import gc
import os
import signal
import sys
from pathlib import Path

if __name__ == "__main__":
    # Guards against a SIGHUP before its receiver is in place: it waits instead of ending the process. Before the
    # imports, which take most of the start, and one of which (trio) runs ldconfig with all signals blocked.
    signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP])

import trio

from aspensaddle.daemon.config import Config, ConfigSource
from aspensaddle.daemon.service import serve
from aspensaddle.frontends.quic.settings import QuicSettings, load_quic
from aspensaddle.store.settings import StoreSettings, load_store
from aspensaddle.support.files import ConfigError
from aspensaddle.support.log import Log

QUIC_FILE = "deploy/quic.toml"  # ASPENSADDLE_QUIC names another
STORE_FILE = "deploy/store.toml"  # ASPENSADDLE_STORE names another


def quic_file() -> Path:
    return Path(os.environ.get("ASPENSADDLE_QUIC", QUIC_FILE))


def _load(source: ConfigSource) -> tuple[Config, QuicSettings | None, StoreSettings | None]:
    config = source.read()
    quic = load_quic(quic_file(), config.classes)
    store = load_store(Path(os.environ.get("ASPENSADDLE_STORE", STORE_FILE)))
    if store is not None and config.name not in store.nodes:
        raise ConfigError(f"{STORE_FILE}: nodes must name this daemon, {config.name}")
    return config, quic, store


def main() -> int:
    source = ConfigSource()
    try:
        config, quic, store = _load(source)
    except ConfigError as e:
        print(f"aspensaddle: {e}", file=sys.stderr)
        return 2
    gc.freeze()
    gc.set_threshold(50_000, 20, 50)  # few cycles arise; frequent passes only cost CPU
    log = Log(config.name)
    try:
        trio.run(serve, source, config, quic, store, log, quic_file())
        return 0
    except OSError as e:
        print(f"aspensaddle: listen: {e.strerror or e}", file=sys.stderr)
        return 2
    except BaseExceptionGroup as group:
        if (error := group.subgroup(OSError)) is None:
            raise
        print(f"aspensaddle: listen: {error.exceptions[0]}", file=sys.stderr)
        return 2
    finally:
        log.close()


if __name__ == "__main__":
    sys.exit(main())
