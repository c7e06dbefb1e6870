"""Counts the logs of a day over all balancers together: `python benchmarks/fleet_logs.py FOLDER [seconds|load|cold]`.

Each line of a log is seconds since the start of the day, then the event as `aspensaddle.support.log` writes it.

- `seconds`: answers, attempts and ends of connections in each second.
- `load`: what stands every few seconds, its load, and the pairs of group and runner (three mean loads each).
- `cold`: what runners of each age since their start were sent and hold.
"""

from __future__ import annotations

import json
import sys
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

GROUP_COST = 3.0  # mean loads for each group that a runner holds any of (the operators' brief, 4.5)
EVERY, LAST = 3, 60  # seconds between the times that `load` looks at, and the last of them
AGE = 2  # seconds of a row of `cold`


@dataclass(slots=True)
class Stay:
    """One connection that stood."""

    start: float
    server: str
    group: int | None
    end: float = float("inf")
    load: float = 0.0  # 0: not told


def events(folder: Path) -> Iterator[tuple[str, float, dict[str, Any]]]:
    """The events of all balancers, one balancer after the other."""
    for path in sorted(folder.glob("n*.log")):
        for line in path.read_text(errors="replace").splitlines():
            seconds, brace, rest = line.partition("{")
            try:
                yield path.stem, float(seconds), json.loads(brace + rest)
            except ValueError:
                continue  # what is no event, as a last line that was cut


def stays(folder: Path) -> list[Stay]:
    open_: dict[tuple[str, str], Stay] = {}
    every = []
    for balancer, t, e in events(folder):
        if e["event"] == "adopted" and e["up"] or e["event"] == "request" and e["answer"] == "UP":
            every.append(open_.setdefault((balancer, e["id"]), Stay(t, e["at"], e["group"])))
        elif e["event"] == "ended" and (stay := open_.pop((balancer, e["id"]), None)):
            stay.end, stay.load = t, e.get("load") or 0.0
    return every


def mean_load(some: list[Stay]) -> float:
    told = [s.load for s in some if s.load]
    return sum(told) / len(told) if told else 0.0


def by_second(folder: Path) -> None:
    seconds: dict[int, Counter[str]] = defaultdict(Counter)
    for _, t, e in events(folder):
        row = seconds[int(t)]
        if e["event"] == "request":
            row[e["answer"].split()[0] + ("" if e["attempts"] else " unsent")] += 1
            row["attempts"] += e["attempts"]
        else:
            row[f"ended {e['outcome']}" if e["event"] == "ended" else e["event"]] += 1
    for t in sorted(seconds):
        print(t, dict(sorted(seconds[t].items())))


def by_load(folder: Path) -> None:
    every = stays(folder)
    last = max((s.start for s in every), default=0.0)  # of those that stand after that, no load is told
    for t in range(1, min(LAST, int(last) + 1), EVERY):
        on = [s for s in every if s.start <= t < s.end]
        if not on:
            continue
        mean = mean_load(on)
        loads, pairs = Counter[str](), {(s.server, s.group) for s in on}
        for s in on:
            loads[s.server] += s.load or mean
        own = sum(loads.values())
        for server, _ in pairs:
            loads[server] += GROUP_COST * mean
        print(f"{t} s: {len(on)} connections, mean {mean:.4f}, on {len(loads)} runners; {len(pairs)} pairs of "
              f"{len({s.group for s in on})} groups; load {own:.1f}, for groups {sum(loads.values()) - own:.1f}; "
              f"most {', '.join(f'{load:.2f}' for _, load in loads.most_common(5))}")


def by_age(folder: Path) -> None:
    started: dict[str, float] = {}
    for _, t, e in events(folder):
        if e["event"] == "list":
            started.update({uid: boot - e["t"] + t for uid, _, boot in e["targets"] if boot})
    started = {uid: t for uid, t in started.items() if t > 0}
    every = [s for s in stays(folder) if s.server in started]
    mean = mean_load(every)
    for age in range(0, LAST, AGE):
        came = [s for s in every if age <= s.start - started[s.server] < age + AGE]
        held = [s for s in every if s.start <= started[s.server] + age + AGE / 2 < s.end]
        if came:
            n = len(started)
            print(f"age {age} s: {len(came) / AGE / n:.2f} connections a second and runner, load "
                  f"{sum(s.load or mean for s in came) / AGE / n:.3f}; held {len(held) / n:.1f}, load "
                  f"{sum(s.load or mean for s in held) / n:.2f}")


def main() -> int:
    what = {"seconds": by_second, "load": by_load, "cold": by_age}
    if not 2 <= len(sys.argv) <= 3 or (name := (sys.argv[2:] or ["seconds"])[0]) not in what:
        print(__doc__, file=sys.stderr)
        return 2
    what[name](Path(sys.argv[1]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
