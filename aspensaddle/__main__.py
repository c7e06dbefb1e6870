"""Entry point of the balancer process: reads the configuration and serves until SIGTERM.

Exits with 2 if the configuration can't be used or a socket can't be bound.
"""

from __future__ import annotations

import gc
import os
import signal
import sys
from pathlib import Path

if __name__ == "__main__":
    # Until the signal receiver is installed, a SIGHUP must stay pending: unblocked, it would end the process. It is
    # blocked before the imports because they take most of the startup time, and because importing trio runs ldconfig
    # with all signals blocked.
    signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP])

import trio

from aspensaddle.daemon.config import Config, ConfigSource
from aspensaddle.daemon.process import serve
from aspensaddle.frontends.quic.settings import QuicSettings, load_quic_settings
from aspensaddle.store.settings import StoreSettings, load_store_settings
from aspensaddle.support.config_errors import ConfigError
from aspensaddle.support.log import Log

DEFAULT_QUIC_FILE = "deploy/quic.toml"
DEFAULT_STORE_FILE = "deploy/store.toml"
QUIC_FILE_VARIABLE = "ASPENSADDLE_QUIC"
STORE_FILE_VARIABLE = "ASPENSADDLE_STORE"

EXIT_CONFIG_ERROR = 2
# The program creates few reference cycles, so frequent collections would only cost CPU time.
GC_THRESHOLDS = (50_000, 20, 50)


def _quic_file() -> Path:
    return Path(os.environ.get(QUIC_FILE_VARIABLE, DEFAULT_QUIC_FILE))


def _store_file() -> Path:
    return Path(os.environ.get(STORE_FILE_VARIABLE, DEFAULT_STORE_FILE))


def _load(source: ConfigSource) -> tuple[Config, QuicSettings | None, StoreSettings | None]:
    config = source.read()
    quic = load_quic_settings(_quic_file(), config.classes)
    store = load_store_settings(_store_file())
    if store is not None and config.name not in store.nodes:
        raise ConfigError(f"{DEFAULT_STORE_FILE}: nodes must name this daemon, {config.name}")
    return config, quic, store


def main() -> int:
    """Run the balancer and return the exit status."""
    source = ConfigSource()
    try:
        config, quic, store = _load(source)
    except ConfigError as error:
        print(f"aspensaddle: {error}", file=sys.stderr)
        return EXIT_CONFIG_ERROR
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    log = Log(config.name)
    try:
        trio.run(serve, source, config, quic, store, log, _quic_file())
        return 0
    except OSError as error:
        return _report_listen_error(error.strerror or error)
    except BaseExceptionGroup as group:
        if (errors := group.subgroup(OSError)) is None:
            raise
        return _report_listen_error(errors.exceptions[0])
    finally:
        log.close()


def _report_listen_error(reason: object) -> int:
    print(f"aspensaddle: listen: {reason}", file=sys.stderr)
    return EXIT_CONFIG_ERROR


if __name__ == "__main__":
    sys.exit(main())
