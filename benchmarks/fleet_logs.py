"""Summarizes one day's logs of all balancers: `python benchmarks/fleet_logs.py FOLDER VIEW`.

The folder holds one log per balancer, `n*.log`. Each line is the time in seconds since the start of the day, then the
event as `aspensaddle.support.log` writes it.

In all views, a pair is a session group with a server that has connections of it. New servers started during the
day, old ones before. The views are:

- `seconds`: counts of responses, attempts, connection ends and other events in each second.
- `load`: the open connections every few seconds, their load, and the pairs. Each pair costs three mean connection
  loads.
- `cold`: for each age of new servers, the connections that are established per second and those that are open.
- `losses`: for each second, the clients that want a connection, by state: connected to a warm server or one that is
  warming up, either of them possibly overloaded, or without a connection, by cause. Then the load on the servers and
  their capacity. The logs do not tell how long messages took, so `overloaded` is an estimate: the capacity of a
  server is its listed weight times the core speed of its machine type, reduced by the slowest slow start that the
  rules allow.
- `account`: at some times, the open connections, the pairs, the load of both, the largest session groups as
  (connections, servers), and the median utilization of the servers that the endpoint list has as ready, the load of
  pairs included. A connection without a reported load gets that of another connection of the same client, else the
  mean over the clients. Then, by end reason, the durations of the connections that were established within a sample
  period; those still open when the logs end count with their duration so far. Then the responses of each 5 seconds,
  by reject reason.
- `client KEY`: all events of one client, by its affinity key.
"""

from __future__ import annotations

import json
import sys
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import chain
from pathlib import Path
from statistics import fmean, median
from typing import Any

SESSION_GROUP_COST = 3.0  # mean connection loads, for each pair (operators' brief, 4.5)
CORE_SPEEDS = {"fast-runner": 1.5, "plain-runner": 0.97}  # standard cores per core, as in the balancers' settings
# The slowest slow start that the rules allow (operators' brief, 8.2): the capacity fraction of a server that has just
# started, and the seconds until its full capacity.
INITIAL_CAPACITY_FRACTION = 0.12
SLOW_START_DURATION = 24.0
LOAD_INTERVAL = 3  # seconds between the lines of `load`
MAX_LOAD_TIME = 60  # seconds
AGE_INTERVAL = 2  # seconds of server age for each line of `cold`
MAX_AGE = 60  # seconds
ACCOUNT_TIMES = 1, 4, 10, 16, 20, 24, 28  # seconds
DURATION_SAMPLE_FROM = 10  # seconds
DURATION_SAMPLE_TO = 25  # seconds
LARGEST_GROUP_COUNT = 4
RESPONSE_INTERVAL = 5  # seconds per line of responses in `account`


@dataclass(slots=True)
class Connection:
    """One established connection. Times are seconds since the start of the day."""

    established_at: float
    server: str
    session_group: int | None
    ended_at: float = float("inf")
    load: float = 0.0  # 0: not reported
    affinity_key: int | None = None
    end_reason: str = ""


@dataclass(frozen=True, slots=True)
class ServerCapacity:
    """The estimated capacity of a server, in standard cores. Old servers have a negative start time."""

    full: float
    started_at: float  # seconds since the start of the day

    def at(self, time: float) -> float:
        """Return the capacity at `time`, which is reduced during slow start."""
        age = max(0.0, time - self.started_at)
        fraction = INITIAL_CAPACITY_FRACTION + (1 - INITIAL_CAPACITY_FRACTION) * age / SLOW_START_DURATION
        return self.full * min(1.0, fraction)

    def is_warming_up(self, time: float) -> bool:
        """Return whether the slow start may still be going on at `time`."""
        return time - self.started_at < SLOW_START_DURATION


def read_events(folder: Path) -> Iterator[tuple[str, float, dict[str, Any]]]:
    """Yield (balancer, time, event) for all events, one balancer after the other."""
    for path in sorted(folder.glob("n*.log")):
        for line in path.read_text(errors="replace").splitlines():
            seconds, brace, rest = line.partition("{")
            try:
                yield path.stem, float(seconds), json.loads(brace + rest)
            except ValueError:
                continue  # not an event, such as a truncated last line


def read_connections(folder: Path) -> list[Connection]:
    """Return all connections that were established or adopted, in the order of `read_events`."""
    open_connections: dict[tuple[str, str], Connection] = {}
    connections = []
    for balancer, time, event in read_events(folder):
        if event["event"] == "daemon_started":
            # If the previous process was killed, it logged no end of the connections that it lost.
            for key in [key for key in open_connections if key[0] == balancer]:
                lost = open_connections.pop(key)
                lost.ended_at, lost.end_reason = time, "balancer_restarted"
        if _is_established(event):
            connection = Connection(
                time, event["server"], event["session_group"], affinity_key=event.get("affinity_key")
            )
            connections.append(open_connections.setdefault((balancer, event["request_id"]), connection))
        elif event["event"] == "connection_ended" and (
            ended := open_connections.pop((balancer, event["request_id"]), None)
        ):
            ended.ended_at, ended.load, ended.end_reason = time, event.get("load") or 0.0, event["outcome"]
    return connections


def _is_established(event: dict[str, Any]) -> bool:
    if event["event"] == "connection_adopted":
        return bool(event["established"])
    return bool(event["event"] == "request" and event["response"] == "UP")


def open_at(connections: list[Connection], time: float) -> list[Connection]:
    """Return the connections that are open at `time`."""
    return [c for c in connections if c.established_at <= time < c.ended_at]


def mean_reported_load(connections: list[Connection]) -> float:
    """Return the mean over the connections with a reported load, 0 without any."""
    reported = [c.load for c in connections if c.load]
    return sum(reported) / len(reported) if reported else 0.0


def count_by_pair(connections: list[Connection]) -> Counter[tuple[str, int]]:
    """Count the connections of each pair of server and session group."""
    return Counter((c.server, c.session_group) for c in connections if c.session_group is not None)


def load_by_server(connections: list[Connection], mean: float) -> Counter[str]:
    """Return the load of each server, with its session groups; a load that was not reported counts as `mean`."""
    load = Counter[str]()
    for connection in connections:
        load[connection.server] += connection.load or mean
    for server, _ in count_by_pair(connections):
        load[server] += SESSION_GROUP_COST * mean
    return load


def read_capacities(folder: Path) -> dict[str, ServerCapacity]:
    """Return the capacity of each server that any balancer listed."""
    capacities: dict[str, ServerCapacity] = {}
    for _, time, event in read_events(folder):
        if event["event"] == "daemon_started":
            for uid, weight, machine_type in event["endpoints"]:
                capacities.setdefault(uid, _capacity(weight, machine_type, -SLOW_START_DURATION))
        elif event["event"] == "endpoints_updated":
            for uid, _, boot_time, weight, machine_type in event["endpoints"]:
                started_at = boot_time - event["t"] + time if boot_time else -SLOW_START_DURATION
                if uid not in capacities or started_at > capacities[uid].started_at + 1:
                    capacities[uid] = _capacity(weight, machine_type, started_at)
    return capacities


def _capacity(weight: float, machine_type: str, started_at: float) -> ServerCapacity:
    return ServerCapacity(weight * CORE_SPEEDS.get(machine_type, 1.0), started_at)


def read_ready_periods(folder: Path, capacities: dict[str, ServerCapacity]) -> dict[str, tuple[float, float]]:
    """Return from when to when each server was listed as ready; the balancer that received a change first counts."""
    ready_at, not_ready_at = dict[str, float](), dict[str, float]()
    for _, time, event in read_events(folder):
        for uid, state, *_ in event["endpoints"] if event["event"] == "endpoints_updated" else ():
            if state == "ready":
                ready_at[uid] = min(time, ready_at.get(uid, time))
            elif time >= capacities[uid].started_at:
                not_ready_at[uid] = min(time, not_ready_at.get(uid, time))
    never = float("inf")
    return {
        uid: (ready_at.get(uid, never) if capacity.started_at > 0 else 0.0, not_ready_at.get(uid, never))
        for uid, capacity in capacities.items()
    }


def print_seconds(folder: Path) -> None:
    """Print the view `seconds`."""
    seconds: dict[int, Counter[str]] = defaultdict(Counter)
    for _, time, event in read_events(folder):
        counts = seconds[int(time)]
        if event["event"] == "request":
            counts[event["response"].split()[0] + ("" if event["attempts"] else " without attempt")] += 1
            counts["attempts"] += event["attempts"]
        elif event["event"] == "connection_ended":
            counts[f"ended {event['outcome']}"] += 1
        else:
            counts[event["event"]] += 1
    for second in sorted(seconds):
        print(second, dict(sorted(seconds[second].items())))


def print_load(folder: Path) -> None:
    """Print the view `load`."""
    connections = read_connections(folder)
    # Loads are logged when connections end. Most connections that are open after the last one was established are
    # still open when the logs end, so their loads are unknown.
    last = max((c.established_at for c in connections), default=0.0)
    for time in range(1, min(MAX_LOAD_TIME, int(last) + 1), LOAD_INTERVAL):
        open_now = open_at(connections, time)
        if not open_now:
            continue
        mean = mean_reported_load(open_now)
        server_loads, load = load_by_server(open_now, mean), sum(c.load or mean for c in open_now)
        print(
            f"{time} s: {len(open_now)} connections, mean load {mean:.4f}, on {len(server_loads)} servers; "
            f"{len(count_by_pair(open_now))} pairs of {len({c.session_group for c in open_now})} session groups; "
            f"load {load:.1f} of connections, {sum(server_loads.values()) - load:.1f} of pairs; "
            f"highest server loads {', '.join(f'{highest:.2f}' for _, highest in server_loads.most_common(5))}"
        )


def print_cold(folder: Path) -> None:
    """Print the view `cold`."""
    started_at = _read_start_times(folder)
    count = len(started_at)
    connections = [c for c in read_connections(folder) if c.server in started_at]
    mean = mean_reported_load(connections)
    for age in range(0, MAX_AGE, AGE_INTERVAL):
        new = [c for c in connections if age <= c.established_at - started_at[c.server] < age + AGE_INTERVAL]
        open_now = [
            c for c in connections if c.established_at <= started_at[c.server] + age + AGE_INTERVAL / 2 < c.ended_at
        ]
        if new:
            print(
                f"age {age} s: {len(new) / AGE_INTERVAL / count:.2f} new connections per second and server, load "
                f"{sum(c.load or mean for c in new) / AGE_INTERVAL / count:.3f}; {len(open_now) / count:.1f} open "
                f"connections per server, load {sum(c.load or mean for c in open_now) / count:.2f}"
            )


def _read_start_times(folder: Path) -> dict[str, float]:
    """Return when each new server started, by its last listing."""
    started_at: dict[str, float] = {}
    for _, time, event in read_events(folder):
        if event["event"] == "endpoints_updated":
            started_at.update(
                {uid: boot_time - event["t"] + time for uid, _, boot_time, *_ in event["endpoints"] if boot_time}
            )
    return {uid: time for uid, time in started_at.items() if time > 0}


def print_account(folder: Path) -> None:
    """Print the view `account`."""
    connections, capacities = read_connections(folder), read_capacities(folder)
    ready_periods = read_ready_periods(folder, capacities)
    mean = _fill_in_loads(connections)
    end = max((time for _, time, _ in read_events(folder)), default=0.0)
    for time in ACCOUNT_TIMES:
        if time <= end:
            ready = {
                uid: capacity
                for uid, capacity in capacities.items()
                if ready_periods[uid][0] <= time < ready_periods[uid][1]
            }
            _print_account_line(time, open_at(connections, time), mean, ready)
    _print_durations(connections, end)
    _print_responses(folder)


def _fill_in_loads(connections: list[Connection]) -> float:
    """Fill in loads that were not reported from other connections of the client; return the mean over clients.

    The mean is not over connections: clients with a high load are migrated and disconnected more often, and so have
    more connections with a reported load.
    """
    reported = {c.affinity_key: c.load for c in connections if c.load and c.affinity_key is not None}
    for connection in connections:
        connection.load = connection.load or reported.get(connection.affinity_key, 0.0)
    return fmean(reported.values()) if reported else 0.0


def _print_account_line(
    time: float, open_now: list[Connection], mean: float, ready: dict[str, ServerCapacity]
) -> None:
    pairs, servers_by_group = count_by_pair(open_now), defaultdict[int, set[str]](set)
    for server, group in pairs:
        servers_by_group[group].add(server)
    sizes = Counter(c.session_group for c in open_now if c.session_group is not None).most_common(LARGEST_GROUP_COUNT)
    load = load_by_server(open_now, mean)
    old = [load[uid] / capacity.at(time) for uid, capacity in ready.items() if capacity.started_at <= 0]
    new = [load[uid] / capacity.at(time) for uid, capacity in ready.items() if capacity.started_at > 0]
    print(
        f"{time} s: {len(open_now)} connections of {len(servers_by_group)} session groups on {len(load)} servers; "
        f"{len(pairs)} pairs, {sum(count == 1 for count in pairs.values())} with one connection; "
        f"load {SESSION_GROUP_COST * mean * len(pairs):.1f} of pairs, "
        f"{sum(c.load or mean for c in open_now):.1f} of connections; largest session groups "
        f"{[(size, len(servers_by_group[group])) for group, size in sizes]}; "
        f"median utilization of ready servers: old {_median_and_count(old)}, new {_median_and_count(new)}"
    )


def _median_and_count(values: list[float]) -> str:
    return f"{median(values):.2f} ({len(values)} servers)" if values else "-"


def _print_durations(connections: list[Connection], end: float) -> None:
    durations: dict[str, list[float]] = defaultdict(list)
    for c in connections:
        if DURATION_SAMPLE_FROM <= c.established_at < DURATION_SAMPLE_TO:
            durations[c.end_reason or "open"].append(min(c.ended_at, end) - c.established_at)
    if durations:
        by_reason = (f"{len(some)} {reason} {median(some):.1f} s" for reason, some in sorted(durations.items()))
        print(
            f"connections established from {DURATION_SAMPLE_FROM} to {DURATION_SAMPLE_TO} s: median duration "
            f"{median(chain.from_iterable(durations.values())):.1f} s; {', '.join(by_reason)}"
        )


def _print_responses(folder: Path) -> None:
    responses = defaultdict[int, Counter[str]](Counter)
    for _, time, event in read_events(folder):
        if event["event"] == "request":
            words = event["response"].split()[0], event.get("reject_reason")
            responses[int(time) // RESPONSE_INTERVAL * RESPONSE_INTERVAL][" ".join(filter(None, words))] += 1
    for time in sorted(responses):
        print(f"responses from {time} s: {dict(responses[time].most_common())}")


CONNECTED = "connected"
FINISHED = "finished"  # wants no connection any more


@dataclass(frozen=True, slots=True)
class ClientStateChange:
    """What a client's state becomes: FINISHED, CONNECTED, or the reason why it has no connection."""

    time: float  # seconds since the start of the day
    state: str = ""  # empty: unchanged
    server: str = ""  # only with CONNECTED


def print_losses(folder: Path) -> None:
    """Print the view `losses`."""
    connections, capacities = read_connections(folder), read_capacities(folder)
    mean = mean_reported_load(connections)
    changes = _read_client_states(folder, connections)
    end = max((c.time for some in changes for c in some if c.time < float("inf")), default=0.0)
    totals = Counter[str]()
    for second in range(1, int(end)):
        time = second + 0.5
        open_now = open_at(connections, time)
        load = load_by_server(open_now, mean)
        states = Counter(filter(None, (_client_state(some, time, load, capacities) for some in changes)))
        totals += states
        print(
            second,
            dict(sorted(states.items())),
            f"{len(count_by_pair(open_now))} pairs, {_capacity_use(time, load, capacities)}",
        )
    print("total connection-seconds:", dict(totals.most_common()))


def _read_client_states(folder: Path, connections: list[Connection]) -> list[list[ClientStateChange]]:
    """Return the state changes of each client, in the order of time."""
    changes: dict[int, list[ClientStateChange]] = defaultdict(list)
    for _, time, event in read_events(folder):
        if event["event"] == "request" and event["response"] != "client_disconnected":
            key, requested_at = event["affinity_key"], time - event["duration_ms"] / 1000
            changes[key] += [
                ClientStateChange(requested_at, "first request" if key not in changes else ""),
                ClientStateChange(time, "" if event["response"] == "UP" else "rejected or failed"),
            ]
    for c in connections:
        if c.affinity_key is not None:
            end_state = FINISHED if c.end_reason == "ok" else c.end_reason
            changes[c.affinity_key] += [
                ClientStateChange(c.established_at, CONNECTED, c.server),
                ClientStateChange(c.ended_at, end_state),
            ]
    return [sorted(some, key=lambda change: change.time) for some in changes.values()]


def _client_state(
    changes: list[ClientStateChange], time: float, load: Counter[str], capacities: dict[str, ServerCapacity]
) -> str:
    """Return the state of a client at `time` as `losses` counts it, empty if the client wants no connection."""
    current = ClientStateChange(0.0)
    for change in changes:
        if change.time > time:
            break
        current = change if change.state else current
    if current.state == FINISHED:
        return ""
    if current.state != CONNECTED:
        return current.state
    capacity = capacities.get(current.server, ServerCapacity(1.0, -SLOW_START_DURATION))
    warmth = "warming up" if capacity.is_warming_up(time) else "warm"
    return warmth + (", overloaded" if load[current.server] > capacity.at(time) else "")


def _capacity_use(time: float, load: Counter[str], capacities: dict[str, ServerCapacity]) -> str:
    new = [uid for uid, capacity in capacities.items() if 0 < capacity.started_at <= time]
    old_load = sum(amount for uid, amount in load.items() if uid not in new)
    old_capacity = sum(capacity.full for capacity in capacities.values() if capacity.started_at <= 0)
    return (
        f"load on old servers {old_load:.0f} of at most {old_capacity:.0f}, on {len(new)} new "
        f"{sum(load[uid] for uid in new):.1f} of at most {sum(capacities[uid].full for uid in new):.0f}"
    )


def print_client(folder: Path, affinity_key: str) -> None:
    """Print the view `client`."""
    key = int(affinity_key)
    request_ids = {event["request_id"] for _, _, event in read_events(folder) if event.get("affinity_key") == key}
    events = [
        (time, balancer, event)
        for balancer, time, event in read_events(folder)
        if event.get("request_id") in request_ids
    ]
    for time, balancer, event in sorted(events, key=lambda item: item[0]):
        fields = {name: value for name, value in event.items() if name not in ("t", "name", "affinity_key")}
        print(time, balancer, json.dumps(fields))


VIEWS: dict[str, Callable[..., None]] = {
    "seconds": print_seconds,
    "load": print_load,
    "cold": print_cold,
    "losses": print_losses,
    "account": print_account,
    "client": print_client,
}


def main() -> int:
    """Print the view that the command line names. Return the exit code."""
    arguments = sys.argv[1:]
    view = arguments[1] if len(arguments) > 1 else "seconds"
    if view not in VIEWS or len(arguments) not in ((3,) if view == "client" else (1, 2)):
        print(__doc__, file=sys.stderr)
        return 2
    VIEWS[view](Path(arguments[0]), *arguments[2:])
    return 0


if __name__ == "__main__":
    sys.exit(main())
