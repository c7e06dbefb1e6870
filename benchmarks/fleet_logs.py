"""Counts the logs of a day over all balancers together: `python benchmarks/fleet_logs.py FOLDER VIEW`.

Each line of a log is seconds since the start of the day, then the event as `aspensaddle.support.log` writes it.

- `seconds`: answers, attempts and ends of connections in each second.
- `load`: what stands every few seconds, its load, and the pairs of group and runner (three mean loads each).
- `cold`: what runners of each age since their start were sent and hold.
- `losses`: where the connection-seconds that clients asked for go, second by second, and beside it what runners
  hold for what they bear. What a runner bears is its listed weight by the speed of its kind and its warmth by the
  slowest that the rules allow, so `overrun` is an estimate: the log does not say how long messages took.
- `account`: at some seconds what stands, in how many pairs of group and runner, the work for either, the largest
  groups as (connections, runners), and how full old runners (of before the day) and new ones are: the median, over
  those that are ready by the list, of load with pairs for what they bear. A load that was not told is taken from
  another stay of the same client, else the mean of the clients. Then how long connections stayed that came up in the
  storm's seconds, by how they ended (those that stand at the end of the logs count up to there), and the answers of
  each five seconds by cause.
- `client KEY`: all that the balancers noted of one client.
"""

from __future__ import annotations

import json
import sys
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from statistics import fmean, median
from typing import Any

GROUP_COST = 3.0  # mean loads for each group that a runner holds any of (the operators' brief, 4.5)
SPEEDS = {"fast-runner": 1.5, "plain-runner": 0.97}  # of a core, as the policy has them
COLD, WARM_AFTER = 0.12, 24.0  # a new runner's least part, and by when it is warm at the latest (the brief, 8.2)
EVERY, LAST = 3, 60  # seconds between the times that `load` looks at, and the last of them
AGE = 2  # seconds of a row of `cold`
AT = 1, 4, 10, 16, 20, 24, 28  # seconds that `account` looks at
CAME_UP = 10, 25  # the seconds of the stays that it counts
LARGEST = 4  # groups


@dataclass(slots=True)
class Stay:
    """One connection that stood."""

    start: float
    server: str
    group: int | None
    end: float = float("inf")
    load: float = 0.0  # 0: not told
    key: int | None = None
    reason: str = ""  # why it ended


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
        if e["event"] == "daemon_started":  # what a process held that ended without a word was lost with it
            for key in [key for key in open_ if key[0] == balancer]:
                lost = open_.pop(key)
                lost.end, lost.reason = t, "lost"
        if (e["event"] == "connection_adopted" and e["established"]) or (
            e["event"] == "request" and e["response"] == "UP"
        ):
            every.append(
                open_.setdefault(
                    (balancer, e["request_id"]), Stay(t, e["server"], e["session_group"], key=e.get("affinity_key"))
                )
            )
        elif e["event"] == "connection_ended" and (stay := open_.pop((balancer, e["request_id"]), None)):
            stay.end, stay.load, stay.reason = t, e.get("load") or 0.0, e["outcome"]
    return every


def mean_load(some: list[Stay]) -> float:
    told = [s.load for s in some if s.load]
    return sum(told) / len(told) if told else 0.0


def pairs(some: list[Stay]) -> Counter[tuple[str, int]]:
    """How many connections of which group stand at which runner."""
    return Counter((s.server, s.group) for s in some if s.group is not None)


def loads(on: list[Stay], mean: float) -> Counter[str]:
    """The load of each runner, that of the groups with it; a load that was not told is a mean one."""
    there = Counter[str]()
    for s in on:
        there[s.server] += s.load or mean
    for server, _ in pairs(on):
        there[server] += GROUP_COST * mean
    return there


def by_second(folder: Path) -> None:
    seconds: dict[int, Counter[str]] = defaultdict(Counter)
    for _, t, e in events(folder):
        row = seconds[int(t)]
        if e["event"] == "request":
            row[e["response"].split()[0] + ("" if e["attempts"] else " unsent")] += 1
            row["attempts"] += e["attempts"]
        else:
            row[f"ended {e['outcome']}" if e["event"] == "connection_ended" else e["event"]] += 1
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
        there, own = loads(on, mean), sum(s.load or mean for s in on)
        print(
            f"{t} s: {len(on)} connections, mean {mean:.4f}, on {len(there)} runners; {len(pairs(on))} pairs of "
            f"{len({s.group for s in on})} groups; load {own:.1f}, for groups {sum(there.values()) - own:.1f}; "
            f"most {', '.join(f'{load:.2f}' for _, load in there.most_common(5))}"
        )


def by_age(folder: Path) -> None:
    started: dict[str, float] = {}
    for _, t, e in events(folder):
        if e["event"] == "endpoints_updated":
            started.update({uid: boot - e["t"] + t for uid, _, boot, *_ in e["endpoints"] if boot})
    started = {uid: t for uid, t in started.items() if t > 0}
    every = [s for s in stays(folder) if s.server in started]
    mean = mean_load(every)
    for age in range(0, LAST, AGE):
        came = [s for s in every if age <= s.start - started[s.server] < age + AGE]
        held = [s for s in every if s.start <= started[s.server] + age + AGE / 2 < s.end]
        if came:
            n = len(started)
            print(
                f"age {age} s: {len(came) / AGE / n:.2f} connections a second and runner, load "
                f"{sum(s.load or mean for s in came) / AGE / n:.3f}; held {len(held) / n:.1f}, load "
                f"{sum(s.load or mean for s in held) / n:.2f}"
            )


def bears(folder: Path) -> dict[str, tuple[float, float]]:
    """What each runner bears when warm, and when it started."""
    runners: dict[str, tuple[float, float]] = {}
    for _, t, e in events(folder):
        if e["event"] == "daemon_started":
            for uid, weight, model in e["endpoints"]:
                runners.setdefault(uid, (weight * SPEEDS.get(model, 1.0), -WARM_AFTER))
        elif e["event"] == "endpoints_updated":
            for uid, _, boot, weight, model in e["endpoints"]:
                since = boot - e["t"] + t if boot else -WARM_AFTER
                if uid not in runners or since > runners[uid][1] + 1:
                    runners[uid] = weight * SPEEDS.get(model, 1.0), since
    return runners


def borne(runner: tuple[float, float], at: float) -> float:
    """What a runner of `bears` bears at a time."""
    weight, since = runner
    return weight * min(1.0, COLD + (1 - COLD) * max(0.0, at - since) / WARM_AFTER)


def listed(folder: Path, fleet: dict[str, tuple[float, float]]) -> dict[str, tuple[float, float]]:
    """From when to when each runner of `bears` was ready by the list, as the first balancer was told."""
    first, left = dict[str, float](), dict[str, float]()
    for _, t, e in events(folder):
        for uid, state, *_ in e["endpoints"] if e["event"] == "endpoints_updated" else ():
            if state == "ready":
                first[uid] = min(t, first.get(uid, t))
            elif t >= fleet[uid][1]:
                left[uid] = min(t, left.get(uid, t))
    never = float("inf")
    return {
        uid: (first.get(uid, never) if since > 0 else 0.0, left.get(uid, never)) for uid, (_, since) in fleet.items()
    }


def by_account(folder: Path) -> None:
    every, fleet = stays(folder), bears(folder)
    ready = listed(folder, fleet)
    told: dict[int | None, float] = {s.key: s.load for s in every if s.load and s.key is not None}
    # By client: those who ask for much are moved and broken more, and have more stays that tell a load.
    mean = fmean(told.values()) if told else 0.0
    for s in every:
        s.load = s.load or told.get(s.key, 0.0)
    last, answers = 0.0, defaultdict[int, Counter[str]](Counter)
    for _, t, e in events(folder):
        last = max(last, t)
        if e["event"] == "request":
            answers[int(t) // 5 * 5][" ".join(filter(None, (e["response"].split()[0], e.get("reject_reason"))))] += 1
    for t in (t for t in AT if t <= last):
        on = [s for s in every if s.start <= t < s.end]
        there, runners_of = pairs(on), defaultdict[int, set[str]](set)
        for server, group in there:
            runners_of[group].add(server)
        sizes = Counter(s.group for s in on if s.group is not None).most_common(LARGEST)
        load = loads(on, mean)
        levels: dict[bool, list[float]] = {False: [], True: []}  # of old, of new ones
        for uid, runner in fleet.items():
            if ready[uid][0] <= t < ready[uid][1]:
                levels[runner[1] > 0].append(load[uid] / borne(runner, t))
        old, new = (f"{median(some):.2f} of {len(some)}" if some else "-" for some in levels.values())
        print(
            f"{t} s: {len(on)} connections of {len(runners_of)} groups on {len(load)} runners; {len(there)} pairs, "
            f"{sum(n == 1 for n in there.values())} with one connection; work {GROUP_COST * mean * len(there):.1f} "
            f"for pairs, {sum(s.load or mean for s in on):.1f} for connections; largest "
            f"{[(n, len(runners_of[group])) for group, n in sizes]}; level of old {old}, of new {new}"
        )
    lasted: dict[str, list[float]] = defaultdict(list)
    for s in every:
        if CAME_UP[0] <= s.start < CAME_UP[1]:
            lasted[s.reason or "stands"].append(min(s.end, last) - s.start)
    if lasted:
        print(
            f"stays from {CAME_UP[0]} to {CAME_UP[1]} s: median {median(sum(lasted.values(), [])):.1f} s; "
            + ", ".join(f"{len(some)} {why} {median(some):.1f} s" for why, some in sorted(lasted.items()))
        )
    for t in sorted(answers):
        print(f"answers from {t} s: {dict(answers[t].most_common())}")


def by_loss(folder: Path) -> None:
    every, fleet = stays(folder), bears(folder)
    mean = mean_load(every)
    noted: dict[int, list[tuple[float, str]]] = defaultdict(list)  # of each client: from when on it was what
    for _, t, e in events(folder):
        if e["event"] == "request" and e["response"] != "client_disconnected":
            noted[e["affinity_key"]] += [
                (t - e["duration_ms"] / 1000, "first" if e["affinity_key"] not in noted else ""),
                (t, "" if e["response"] == "UP" else "refused"),
            ]
    for s in every:
        if s.key is not None:
            noted[s.key] += [(s.start, f"on {s.server}"), (s.end, "done" if s.reason == "ok" else s.reason)]
    last = int(max((t for some in noted.values() for t, _ in some if t < float("inf")), default=0.0))
    totals = Counter[str]()
    for t in range(1, last):
        at = t + 0.5
        on = [s for s in every if s.start <= at < s.end]
        load, kinds = loads(on, mean), Counter[str]()
        for some in noted.values():
            state = ""
            for when, what in sorted(some, key=lambda x: x[0]):
                if when > at:
                    break
                state = what or state
            if state.startswith("on "):
                runner = fleet.get(server := state[3:], (1.0, -WARM_AFTER))
                state = ("cold" if at - runner[1] < WARM_AFTER else "warm") + (
                    " overrun" if load[server] > borne(runner, at) else ""
                )
            if state not in ("", "done"):
                kinds[state] += 1
        totals += kinds
        new = [uid for uid, (_, since) in fleet.items() if 0 < since <= at]
        room = sum(w for w, since in fleet.values() if since <= 0)
        print(
            t,
            dict(sorted(kinds.items())),
            f"pairs {len(pairs(on))}, load on old "
            f"{sum(n for uid, n in load.items() if uid not in new):.0f} of {room:.0f} at most, on {len(new)} new "
            f"{sum(load[uid] for uid in new):.1f} of {sum(fleet[uid][0] for uid in new):.0f}",
        )
    print("connection-seconds in all:", dict(totals.most_common()))


def one_client(folder: Path) -> None:
    key = int(sys.argv[3])
    ids = {e["request_id"] for _, _, e in events(folder) if e.get("affinity_key") == key}
    for t, name, e in sorted(
        ((t, n, e) for n, t, e in events(folder) if e.get("request_id") in ids), key=lambda x: x[0]
    ):
        print(t, name, json.dumps({k: v for k, v in e.items() if k not in ("t", "name", "affinity_key")}))


def main() -> int:
    what = {
        "seconds": by_second,
        "load": by_load,
        "cold": by_age,
        "losses": by_loss,
        "account": by_account,
        "client": one_client,
    }
    name = (sys.argv[2:] or ["seconds"])[0]
    if len(sys.argv) != (4 if name == "client" else 3 if sys.argv[2:] else 2) or name not in what:
        print(__doc__, file=sys.stderr)
        return 2
    what[name](Path(sys.argv[1]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
