"""Case 10: one daemon after another is restarted, and the entries of their store are to survive that."""

from __future__ import annotations

import contextlib
import json
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support2"))

import rig  # noqa: E402
import store  # noqa: E402

DAEMONS = 2  # BRIEF, 1.1: 2 to 3 balancers
# STANDING: up to 3,200 runners. docs/store.md: the store holds 1,024 servers and as many balancers.
ENTRIES = 1000
LONGEST_DEADLINE, KILL_MARGIN = 1.8, 0.7  # PROTOCOL: SIGKILL comes no sooner after SIGTERM than both together
SETTLED_SECONDS = 5.0  # several rounds of gossip (1 s), in which what is left somewhere comes back


def values() -> dict[str, str]:
    """Return the entries that are written: one for each runner, as discovery lists it."""
    return {
        f"runner/s-{number:04x}": json.dumps(
            {
                "uid": f"s-{number:04x}",
                "endpoint": f"{rig.HOST}:{10000 + number}",
                "az": ("surabaya", "semarang")[number % 2],
                "model": "fast-runner",
                "pod_group": number // 8,
                "state": "active",
                "capacity_hint": 1.0,
                "boot_ms": 0,
            }
        )
        for number in range(ENTRIES)
    }


def restart(balancer: rig.Balancer) -> None:
    """Restart a daemon as planned: SIGTERM, then a new process, which counts as ready once it answers PING."""
    assert balancer.process is not None
    balancer.signal(signal.SIGTERM)
    try:
        balancer.process.wait(LONGEST_DEADLINE + KILL_MARGIN)
    except subprocess.TimeoutExpired:
        balancer.process.kill()
    balancer.process.wait()
    balancer.start()


def play(record: rig.Record, folder: Path, stack: contextlib.ExitStack) -> bool:
    """Play the case; return whether the rule held."""
    runner = rig.Runner(record, "s-0000")
    runner_list = rig.RunnerList([runner])
    discovery = rig.Discovery(runner_list)
    for stand_in in (runner, discovery):
        stack.callback(stand_in.close)
    nodes = {f"n{number}": f"{rig.HOST}:{rig.free_port(socket.SOCK_DGRAM)}" for number in range(DAEMONS)}
    settings = {**rig.SETTINGS, "fleet-size": DAEMONS}
    balancers = [
        rig.Balancer(
            record, folder / node, node, store.store_toml(nodes), settings=settings, known=runner_list.known()
        )
        for node in nodes
    ]
    for balancer in balancers:
        stack.callback(balancer.close)
        balancer.start(discovery=discovery.address)

    written = values()
    store.write_all(nodes, written)
    record(f"{len(written)} entries are written; each daemon holds what the operator's replica holds")
    for node, address in nodes.items():
        held = store.read_all({node: address})
        record(f"{node}, asked alone: {len(held)} entries")
        if held != written:
            raise rig.CannotRunError(f"{node} does not hold the entries")
    time.sleep(SETTLED_SECONDS)

    if rig.with_trouble():
        for balancer in balancers:
            restart(balancer)
    time.sleep(SETTLED_SECONDS)
    left: dict[str, str] = {}
    for node, address in nodes.items():
        held = store.read_all({node: address})
        record(f"{node}, asked alone: {len(held)} entries")
        left |= held
    lost = [key for key in written if left.get(key) != written[key]]
    if lost:
        record(f"broken: {len(lost)} of {len(written)} entries are held by no daemon any more, the first {lost[0]}")
    return not lost


if __name__ == "__main__":
    sys.exit(rig.run_case(FOLDER, play))
