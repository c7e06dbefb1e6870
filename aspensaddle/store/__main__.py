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
from aspensaddle.support.counters import Counters
from aspensaddle.support.files import ConfigError

WITHIN = 5.0
ARGUMENTS = {"list": (0, 1), "get": (1, 1), "put": (2, 2), "remove": (1, 1)}


async def act(settings: StoreSettings, command: str, args: list[str]) -> int:
    replica = Replica("operator", settings, Counters())
    host = next(iter(settings.nodes.values()))[0]
    replica.bind(("::" if ":" in host else "127.0.0.1" if host.startswith("127.") else "0.0.0.0", 0))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(replica.run)
        reached = await _agreed(replica)
        if reached and command in ("put", "remove"):
            replica.put(args[0], args[1] if command == "put" else None)
            reached = await _agreed(replica)
        nursery.cancel_scope.cancel()
    if not reached:
        print("aspensaddle.store: no daemon answers", file=sys.stderr)
        return 1
    if command == "list":
        for key, value in replica.state.values(args[0] if args else "").items():
            print(f"{key}\t{value}")
    elif command == "get":
        if (found := replica.state.get(args[0])) is None:
            print(f"aspensaddle.store: {args[0]} is not there", file=sys.stderr)
            return 1
        print(found)
    return 0


async def _agreed(replica: Replica) -> bool:
    with trio.move_on_after(WITHIN):
        while not replica.agreed:
            await trio.sleep(0.01)
    return bool(replica.agreed)


def main(argv: list[str]) -> int:
    if (
        len(argv) < 2
        or argv[1] not in ARGUMENTS
        or not ARGUMENTS[argv[1]][0] <= len(argv) - 2 <= ARGUMENTS[argv[1]][1]
    ):
        print(__doc__, file=sys.stderr)
        return 2
    try:
        settings = load_store(Path(argv[0]))
        if settings is None:
            raise ConfigError(f"{argv[0]}: not there, or enabled is not true")
        return trio.run(act, settings, argv[1], argv[2:])
    except (ConfigError, StoreError) as e:
        print(f"aspensaddle.store: {e}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
