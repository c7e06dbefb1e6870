"""Reads and writes the store that an operator's balancers share.

    python -m aspensaddle.store FILE list [PREFIX]
    python -m aspensaddle.store FILE get KEY
    python -m aspensaddle.store FILE put KEY VALUE
    python -m aspensaddle.store FILE remove KEY

FILE is the settings file of the store (`deploy/store.toml`). The command runs a temporary replica under a node name
of its own. It reads once it has copied the entries of a balancer that serves. A write is acknowledged once every
balancer that answers holds it.
"""

from __future__ import annotations

import sys
from pathlib import Path

import trio

from aspensaddle.store.replica import Replica
from aspensaddle.store.settings import StoreSettings, load_store_settings
from aspensaddle.store.state import StoreError
from aspensaddle.support.config_errors import ConfigError
from aspensaddle.support.counters import Counters

TIMEOUT_SECONDS = 5.0  # for the copy of the entries, and again for the confirmation of a write
POLL_INTERVAL_SECONDS = 0.02
ARGUMENT_COUNTS = {"list": (0, 1), "get": (1, 1), "put": (2, 2), "remove": (1, 1)}  # minimum and maximum by command

EXIT_FAILED = 1
EXIT_USAGE = 2


async def run_command(settings: StoreSettings, command: str, command_arguments: list[str]) -> int:
    """Run a command on a temporary replica and return the exit code."""
    replica = Replica("operator", settings, Counters())
    replica.bind((_host_to_bind(settings), 0))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(replica.run)
        try:
            return await _run_on_replica(replica, command, command_arguments)
        finally:
            nursery.cancel_scope.cancel()


async def _run_on_replica(replica: Replica, command: str, command_arguments: list[str]) -> int:
    if not await _copy_entries(replica):
        print("aspensaddle.store: no daemon responded in time", file=sys.stderr)
        return EXIT_FAILED
    if command in ("put", "remove"):
        return await _write(replica, command_arguments[0], command_arguments[1] if command == "put" else None)
    if command == "list":
        _print_values(replica, prefix=command_arguments[0] if command_arguments else "")
        return 0
    return _print_value(replica, key=command_arguments[0])


def _host_to_bind(settings: StoreSettings) -> str:
    host = next(iter(settings.nodes.values()))[0]
    if ":" in host:
        return "::"
    return "127.0.0.1" if host.startswith("127.") else "0.0.0.0"


def _print_values(replica: Replica, prefix: str) -> None:
    for key, value in replica.state.values(prefix).items():
        print(f"{key}\t{value}")


def _print_value(replica: Replica, key: str) -> int:
    if (value := replica.state.get(key)) is None:
        print(f"aspensaddle.store: key {key} is not in the store", file=sys.stderr)
        return EXIT_FAILED
    print(value)
    return 0


async def _copy_entries(replica: Replica) -> bool:
    """Copy the entries of a daemon that serves; return whether that was possible in time."""
    with trio.move_on_after(TIMEOUT_SECONDS):
        while not any(peer.copy.is_complete and not peer.phase.is_joining for peer in replica.peers.members):
            replica.probe_peers()
            await trio.sleep(POLL_INTERVAL_SECONDS)
        return True
    return False


async def _write(replica: Replica, key: str, value: str | None) -> int:
    try:
        replica.put(key, value)
    except StoreError as error:
        print(f"aspensaddle.store: {error}", file=sys.stderr)
        return EXIT_USAGE
    return await _confirm_write(replica)


async def _confirm_write(replica: Replica) -> int:
    """Wait until every daemon that answers holds the write, and return the exit code."""
    with trio.move_on_after(TIMEOUT_SECONDS):
        await replica.hand_over()
        return 0
    holders = ", ".join(replica.peers_holding_all()) or "no daemon"
    print(f"aspensaddle.store: not acknowledged by all daemons in time, only by {holders}", file=sys.stderr)
    return EXIT_FAILED


def _is_valid_command_line(arguments: list[str]) -> bool:
    if len(arguments) < 2 or arguments[1] not in ARGUMENT_COUNTS:
        return False
    minimum, maximum = ARGUMENT_COUNTS[arguments[1]]
    return minimum <= len(arguments) - 2 <= maximum


def main(arguments: list[str]) -> int:
    """Run the command line and return the exit code."""
    if not _is_valid_command_line(arguments):
        print(__doc__, file=sys.stderr)
        return EXIT_USAGE
    path, command, *command_arguments = arguments
    try:
        settings = load_store_settings(Path(path))
        if settings is None:
            raise ConfigError(f"{path}: the file does not exist, or enabled is not true")
        return trio.run(run_command, settings, command, command_arguments)
    except ConfigError as error:
        print(f"aspensaddle.store: {error}", file=sys.stderr)
        return EXIT_USAGE


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
