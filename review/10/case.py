"""Case 10: a runner begins to drain, and the daemons have their list from their own replicated store."""

from __future__ import annotations

import contextlib
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support2"))

import rig  # noqa: E402
import store  # noqa: E402


def play(record: rig.Record, folder: Path, stack: contextlib.ExitStack) -> bool:
    """Play the case; return whether the rule held."""
    runners = [rig.Runner(record, f"s-{number}") for number in range(4)]
    for runner in runners:
        stack.callback(runner.close)
    fleet = store.StoreFleet(record, folder, stack, runners, discovery=None)
    if not all(client.open().startswith("UP") for client in fleet.clients):
        raise rig.CannotRunError("a client was not served before the drain")

    draining = runners[0]
    if rig.with_trouble():
        draining.drain()
        fleet.put(draining)
    # Each daemon itself is asked what its replica holds.
    if fleet.held_states(draining) != [draining.entry()["state"]] * store.DAEMONS:
        raise rig.CannotRunError("a daemon does not hold the entry yet")
    told_at = time.monotonic()
    time.sleep(rig.DRAIN_GRACE + 0.25)
    record("new clients come")
    for _ in range(8):
        for client in fleet.clients:
            client.open()
        time.sleep(0.1)
    return not (rig.with_trouble() and rig.late_opens(record, [draining], told_at))


if __name__ == "__main__":
    sys.exit(rig.run_case(FOLDER, play))
