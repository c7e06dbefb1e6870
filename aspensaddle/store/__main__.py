"""Reads and writes the store of an operator's daemons.

    python -m aspensaddle.store FILE list [PREFIX]
    python -m aspensaddle.store FILE get KEY
    python -m aspensaddle.store FILE put KEY VALUE
    python -m aspensaddle.store FILE remove KEY

FILE is the store's settings (`deploy/store.toml`). The command joins the replicas for a moment, under a name
of its own, and ends once one of them holds the same as it does.
"""

from __future__ import annotations

import sys
from pathlib import Path

import trio

from aspensaddle.store.replica import Replica
from aspensaddle.store.settings import StoreSettings, load_store
from aspensaddle.store.state import StoreError
from aspensaddle.support.config_errors import ConfigError
from aspensaddle.support.counters import Counters

AGREEMENT_TIMEOUT_SECONDS = 5.0
POLL_SECONDS = 0.01
ARGUMENT_COUNTS = {"list": (0, 1), "get": (1, 1), "put": (2, 2), "remove": (1, 1)}  # least and most

EXIT_FAILED = 1
EXIT_USAGE = 2


async def run_command(settings: StoreSettings, command: str, args: list[str]) -> int:
    """Run a command on a replica that joins the others for a moment, and return the exit status."""
    replica = Replica("operator", settings, Counters())
    replica.bind((_local_host(settings), 0))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(replica.run)
        reached = await _wait_for_agreement(replica)
        if reached and command in ("put", "remove"):
            replica.put(args[0], args[1] if command == "put" else None)
            reached = await _wait_for_agreement(replica)
        nursery.cancel_scope.cancel()
    if not reached:
        print("aspensaddle.store: no daemon answers", file=sys.stderr)
        return EXIT_FAILED
    if command == "list":
        _print_values(replica, prefix=args[0] if args else "")
    elif command == "get":
        return _print_value(replica, key=args[0])
    return 0


def _local_host(settings: StoreSettings) -> str:
    host = next(iter(settings.nodes.values()))[0]
    if ":" in host:
        return "::"
    return "127.0.0.1" if host.startswith("127.") else "0.0.0.0"


def _print_values(replica: Replica, prefix: str) -> None:
    for key, value in replica.state.values(prefix).items():
        print(f"{key}\t{value}")


def _print_value(replica: Replica, key: str) -> int:
    if (value := replica.state.get(key)) is None:
        print(f"aspensaddle.store: {key} is not there", file=sys.stderr)
        return EXIT_FAILED
    print(value)
    return 0


async def _wait_for_agreement(replica: Replica) -> bool:
    with trio.move_on_after(AGREEMENT_TIMEOUT_SECONDS):
        while not replica.agreed:
            await trio.sleep(POLL_SECONDS)
    return bool(replica.agreed)


def _is_valid(arguments: list[str]) -> bool:
    if len(arguments) < 2 or arguments[1] not in ARGUMENT_COUNTS:
        return False
    least, most = ARGUMENT_COUNTS[arguments[1]]
    return least <= len(arguments) - 2 <= most


def main(arguments: list[str]) -> int:
    """Run the command line and return the exit status."""
    if not _is_valid(arguments):
        print(__doc__, file=sys.stderr)
        return EXIT_USAGE
    path, command, *rest = arguments
    try:
        settings = load_store(Path(path))
        if settings is None:
            raise ConfigError(f"{path}: not there, or enabled is not true")
        return trio.run(run_command, settings, command, rest)
    except (ConfigError, StoreError) as error:
        print(f"aspensaddle.store: {error}", file=sys.stderr)
        return EXIT_USAGE


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
