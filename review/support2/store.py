"""The project's replicated store: its settings, and an operator's program that writes and reads it.

The program uses the project's own replica, as the command `python -m aspensaddle.store` does, for many keys at once.
"""

from __future__ import annotations

import sys

import rig
import trio

sys.path.insert(0, str(rig.ROOT))

from aspensaddle.store.replica import Replica
from aspensaddle.store.settings import StoreSettings
from aspensaddle.support.counters import Counters

KEY = "8c1f30d27a5be9648c1f30d27a5be964"
SYNCHRONIZATION_SECONDS = 25.0
WRITES_AT_ONCE = 20  # then a short pause, so that no datagram is lost in a full receive buffer
PAUSE = 0.02

Nodes = dict[str, str]


def store_toml(nodes: Nodes) -> str:
    """Return the settings of a store with these nodes."""
    lines = ["enabled = true", f'key = "{KEY}"', "[nodes]"]
    return "\n".join([*lines, *(f'{node} = "{address}"' for node, address in nodes.items())]) + "\n"


def write_all(nodes: Nodes, values: dict[str, str]) -> None:
    """Write these values, and wait until every daemon has acknowledged that it holds them all.

    Raises:
        CannotRunError: One did not in time.
    """
    trio.run(_run, nodes, values)


def read_all(nodes: Nodes) -> dict[str, str]:
    """Return what these daemons hold, once the reader holds the same.

    Raises:
        CannotRunError: That did not happen in time.
    """
    entries: dict[str, str] = trio.run(_run, nodes, {})
    return entries


async def _run(nodes: Nodes, values: dict[str, str]) -> dict[str, str]:
    addresses = {node: (rig.HOST, int(address.rpartition(":")[2])) for node, address in nodes.items()}
    replica = Replica("operator", StoreSettings(bytes.fromhex(KEY), addresses), Counters())
    replica.bind((rig.HOST, 0))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(replica.run)
        with trio.move_on_after(SYNCHRONIZATION_SECONDS) as limit:
            await _synchronize(replica, nodes)
            for number, (key, value) in enumerate(values.items()):
                replica.put(key, value)
                if number % WRITES_AT_ONCE == 0:
                    await trio.sleep(PAUSE)
            await _synchronize(replica, nodes)
        nursery.cancel_scope.cancel()
    if limit.cancelled_caught:
        raise rig.CannotRunError("the daemons did not come to hold the same entries in time")
    return replica.state.values("")


async def _synchronize(replica: Replica, nodes: Nodes) -> None:
    while replica.synchronized_peers != set(nodes):
        await trio.sleep(0.01)
