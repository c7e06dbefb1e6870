"""Case 9: a new configuration moves discovery while discovery has many callers."""

from __future__ import annotations

import contextlib
import signal
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support2"))

import rig  # noqa: E402

RUNNERS = 8
DRAINING = 2  # a quarter of the runners
OTHER_BALANCERS = 39
CALLS_PER_SECOND = 4.0  # site file latihan-jawa: capacity 3 to 5
TOLD_AFTER_SIGHUP = 4.0  # LATER: what discovery has to tell counts as told 4 s after the SIGHUP
OLD_CLOSES_AFTER = 1.5  # LATER: the old address closes the open watches then


def play(record: rig.Record, folder: Path, stack: contextlib.ExitStack) -> bool:
    """Play the case; return whether the rule held."""
    runners = [rig.Runner(record, f"s-{number}") for number in range(RUNNERS)]
    old_list, new_list = rig.RunnerList(runners), rig.RunnerList(runners)
    old, new = rig.Discovery(old_list), rig.TurnDiscovery(record, new_list, CALLS_PER_SECOND)
    for stand_in in (*runners, old, new):
        stack.callback(stand_in.close)
    settings = {**rig.SETTINGS, "fleet-size": OTHER_BALANCERS + 1}
    balancer = rig.Balancer(record, folder / "n0", settings=settings, known=old_list.known())
    stack.callback(balancer.close)
    balancer.start(discovery=old.address)
    rig.wait_for(lambda: old.watches, "a watch")
    clients = rig.Clients(record, balancer.address)
    answers = clients.open_every(0.1, time.monotonic() + 2.0)
    if not all(answer.startswith("UP") for answer in answers):
        raise rig.CannotRunError("not every client was served before the new configuration")

    # The new configuration comes while the list of the balancer is as fresh as it gets.
    line = old.last_line_at
    rig.wait_for(lambda: old.last_line_at > line, "the next line of the watch")
    balancer.configure(discovery=new.address)
    draining = runners[:DRAINING]
    for runner in draining:
        runner.drain()
    new_list.change(*(runner.entry() for runner in draining))
    record(f"discovery has: {', '.join(runner.uid for runner in draining)} drain")
    if rig.with_trouble():
        new.crowd(OTHER_BALANCERS)
    sighup_at = time.monotonic()
    balancer.signal(signal.SIGHUP)
    old.listener.close()
    threading.Timer(OLD_CLOSES_AFTER, old.close).start()

    told_at = sighup_at + TOLD_AFTER_SIGHUP
    rig.sleep_until(told_at + rig.DRAIN_GRACE + 0.25)
    record("new clients come")
    clients.open_every(0.1, sighup_at + 7.4)
    return not rig.late_opens(record, draining, told_at)


if __name__ == "__main__":
    sys.exit(rig.run_case(FOLDER, play))
