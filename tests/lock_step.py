"""Many balancers whose clocks advance together, without sockets: settings, events and simulations for tests."""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from math import sqrt
from random import Random

from helpers import SETTINGS, BalancerHarness, make_endpoint

from aspensaddle.core.actions import Action, Fail, Reject, StartAttempt
from aspensaddle.core.affinity import SessionGroups
from aspensaddle.core.events import ConnectionLoadReported, Endpoint, Outcome, ServerLatencyReported
from aspensaddle.core.server_state import Server
from aspensaddle.core.settings import Limits, ServiceRules, Settings
from aspensaddle.discovery.endpoint_registry import EndpointRegistry
from aspensaddle.discovery.endpoint_update import parse_endpoint_list

LOAD = 0.05  # load of a mean connection, in cores
WEIGHT = 2.0  # listed cores of a server
RULES = ServiceRules(0.016, 0.5, 0.12, 24.0, 4.0, 2.0, 10.0)
NOW = 1.79e9  # a Unix time in seconds
BALANCER_COUNTS = (1, 230, 1024)

MANY_BALANCERS = 40
SERVER_COUNT = 12
MANY_BALANCERS_SETTINGS = replace(SETTINGS, balancer_count=MANY_BALANCERS)
MESSAGE_LATENCY_OBJECTIVE = SETTINGS.classes[0].message_latency_objective

HUNDREDS_OF_BALANCERS = 200
LARGE_SERVER_COUNT = 60
SESSION_GROUP_SETTINGS = replace(SETTINGS, balancer_count=HUNDREDS_OF_BALANCERS, session_groups=True)

OLD_SERVER_COUNT = 16
JOINING_SECONDS = 10.0
# Start times of the joining servers in seconds; within 7 s they replace six in ten servers.
JOINING_STARTS = [7 * n / 24 for n in range(24)]


def large_fleet(count: int, weight: float = 2.0, **fields: object) -> list[Endpoint]:
    return [make_endpoint(n, weight=weight, **fields) for n in range(count)]


def harnesses_in_lock_step(
    servers=SERVER_COUNT, settings=MANY_BALANCERS_SETTINGS, count=MANY_BALANCERS
) -> list[BalancerHarness]:
    return [BalancerHarness(servers, settings, seed=n) for n in range(count)]


def place_on_each(harnesses: list[BalancerHarness], server: int) -> Iterator[tuple[BalancerHarness, StartAttempt]]:
    """Place one more connection through each balancer; yield those that went to `server`."""
    for harness in harnesses:
        (attempt,) = harness.submit_request(load_hint=LOAD)
        if isinstance(attempt, StartAttempt):
            harness.establish(attempt)
            if attempt.server == server:
                yield harness, attempt


def report_latency(harness: BalancerHarness, server: int, delay: float) -> None:
    harness.balancer.handle(harness.now, ServerLatencyReported("", server, delay))


def lose_connections(harness: BalancerHarness, count: int) -> None:
    """Establish connections that hold for 10 s and are then lost."""
    for _ in range(count):
        attempt = harness.place(load_hint=LOAD)
        harness.tick(0.1)
        harness.balancer.requests[attempt.request_id].established_at -= 10
        harness.end(attempt, Outcome.CONNECTION_LOST, finished=True)


def place_with_reported_load(harness: BalancerHarness, load: float) -> tuple[StartAttempt, list[Action]]:
    """Establish a connection that reports its load; return its attempt and the actions that follow."""
    attempt = harness.place()
    return attempt, harness.balancer.handle(
        harness.now, ConnectionLoadReported(attempt.request_id, attempt.server, load)
    ) or []


def simulate_joining_servers(
    count: int, settings: Settings, groups: int, connection_rate: float
) -> dict[int, list[float]]:
    """Simulate a fleet of which six in ten servers join, with `connection_rate` connections per second and server.

    Some balancers get several times the mean traffic, and the sizes of the session groups follow Zipf's law.
    Return for each joining server its ages, in seconds, at which it was sent a connection.
    """
    rng, now, servers = Random(count), 1000.0, OLD_SERVER_COUNT + len(JOINING_STARTS)
    endpoints = [make_endpoint(n, weight=2.0, started_at=now + start) for n, start in enumerate(JOINING_STARTS)]
    endpoints += [make_endpoint(n, weight=2.0) for n in range(len(JOINING_STARTS), servers)]
    harnesses = [
        BalancerHarness([endpoint for endpoint in endpoints if not endpoint.started_at], settings, seed=n)
        for n in range(count)
    ]
    balancer_weights, group_weights = [1 / (1 + n) ** 0.5 for n in range(count)], [1 / (1 + g) for g in range(groups)]
    sent: dict[int, list[float]] = {n: [] for n in range(len(JOINING_STARTS))}
    for step in range(int(JOINING_SECONDS / 0.5)):
        time = now + step / 2
        for harness in harnesses:
            if step % 2:
                harness.tick(0.5)
            harness.now = time
            # The list arrives 2 s late.
            harness.update_endpoints(
                *(endpoint for endpoint in endpoints if time <= endpoint.started_at + 2.0 < time + 0.5)
            )
        for harness in rng.choices(harnesses, balancer_weights, k=int(connection_rate * servers / 2)):
            (attempt,) = harness.submit_request(
                load_hint=LOAD, session_group=rng.choices(range(groups), group_weights)[0] if groups else None
            )
            if isinstance(attempt, StartAttempt):
                harness.establish(attempt)
                if attempt.server in sent:
                    sent[attempt.server].append(time - endpoints[attempt.server].started_at)
    return sent


def warm_up_load_rate(settings: Settings, age: float, cores: float = 2.0) -> float:
    """Return the new load per second that fills a server of a given age during its slow start."""
    rules = settings.rules
    capacity_fraction = rules.initial_capacity_fraction + (1 - rules.initial_capacity_fraction) * min(
        1.0, age / rules.slow_start_duration
    )
    return cores * capacity_fraction / rules.slow_start_duration


@dataclass
class Fleet:
    """A fleet to simulate: balancers, servers, traffic and slow start rules."""

    balancers: int
    servers: int = 24
    warming_servers: int = 12  # number of the servers that warm up, all started at time 0
    connection_rate: float = 1.5  # new connections per second and server
    seconds: float = 8.0  # simulated time after the start of the servers that warm up
    groups: int = 0  # number of session groups
    restart_at: float | None = None  # time at which most of the balancers restart, in seconds
    list_delay: float = 2.0  # maximum seconds until a balancer learns of a start
    active_fraction: float = 1.0  # fraction of the balancers that get requests
    rules: ServiceRules = field(default_factory=lambda: RULES)


def request_budget(rules: ServiceRules, age: float) -> float:
    """Return how many requests of mean load may reach a server of a given age within the overload window."""
    capacity_fraction = rules.initial_capacity_fraction + (1 - rules.initial_capacity_fraction) * min(
        1.0, age / rules.slow_start_duration
    )
    return (
        rules.overload_multiple
        * WEIGHT
        * capacity_fraction
        / rules.slow_start_duration
        * rules.overload_window
        / LOAD
    )


def simulate_fleet(fleet: Fleet, seed: int) -> dict[int, list[float]]:
    """Simulate a fleet; return for each server that warms up its ages, in seconds, at which it was sent a request."""
    rng, start = Random(seed), 1000.0
    settings = replace(
        SETTINGS, balancer_count=fleet.balancers, session_groups=fleet.groups > 0, rules=fleet.rules, limits=Limits()
    )
    all_endpoints = [
        make_endpoint(n, weight=WEIGHT, started_at=start if n < fleet.warming_servers else 0.0)
        for n in range(fleet.servers)
    ]
    warm_endpoints = all_endpoints[fleet.warming_servers :]

    def new_harness(n: int, now: float, endpoints: list) -> BalancerHarness:
        return BalancerHarness(endpoints, settings, seed=1000 * seed + n, now=now)

    harnesses = [new_harness(n, start - 20.0, warm_endpoints) for n in range(fleet.balancers)]
    notified_at = [start + rng.uniform(0.0, fleet.list_delay) for _ in harnesses]
    balancer_weights = [
        1 / (1 + n) ** 0.7 if n < max(1, fleet.active_fraction * fleet.balancers) else 0.0
        for n in range(fleet.balancers)
    ]
    group_weights = [1 / (1 + g) for g in range(fleet.groups)]
    sent: dict[int, list[float]] = {n: [] for n in range(fleet.warming_servers)}
    now = start - 20.0  # the balancers have run for a while, and have a measured request rate
    next_tick_at = [now + rng.random() for _ in harnesses]
    is_notified = [False] * fleet.balancers
    while now < start + fleet.seconds:
        now += 0.1
        for n, harness in enumerate(harnesses):
            harness.now = now
            if now >= next_tick_at[n]:
                next_tick_at[n] += 1.0
                harness.tick(0.0)
            if now >= notified_at[n] and not is_notified[n]:
                is_notified[n] = True
                harness.update_endpoints(*all_endpoints[: fleet.warming_servers])
        if fleet.restart_at is not None and now - 0.1 < start + fleet.restart_at <= now:
            for n in range(fleet.balancers):
                if n % 10 < 7:
                    harnesses[n], is_notified[n], next_tick_at[n] = (
                        new_harness(n, now, all_endpoints),
                        True,
                        now + rng.random(),
                    )
        count = int(fleet.connection_rate * fleet.servers * 0.1 + rng.random())
        for n in rng.choices(range(fleet.balancers), balancer_weights, k=count):
            harness = harnesses[n]
            group = rng.choices(range(fleet.groups), group_weights)[0] if fleet.groups else None
            (attempt,) = harness.submit_request(load_hint=LOAD, session_group=group)
            if isinstance(attempt, StartAttempt):
                harness.establish(attempt)
                if attempt.server in sent:
                    sent[attempt.server].append(now - start)
                if rng.random() < 0.5:
                    harness.end(attempt, Outcome.OK, finished=True)
    return sent


def simulate_groups_with_one_home(balancers: int, group_count: int, seed: int) -> list[float]:
    """Simulate session groups that all prefer one server, which starts while requests come at a steady rate.

    Return the ages of that server, in seconds, at which it was sent a request.
    """
    rng, start, warming = Random(seed), 1000.0, 0
    settings = replace(SETTINGS, balancer_count=balancers, session_groups=True, rules=RULES, limits=Limits())
    endpoints = [make_endpoint(n, weight=WEIGHT, started_at=start if n == warming else 0.0) for n in range(24)]
    groups = groups_with_first_server(warming, endpoints, group_count)
    harnesses = [BalancerHarness(endpoints[1:], settings, seed=1000 * seed + n, now=start) for n in range(balancers)]
    sent = []
    for step in range(-200, 100):
        for harness in harnesses:
            harness.now = start + step / 10
            if step == 0:
                harness.update_endpoints(endpoints[warming])
            if not step % 10:
                harness.tick(0.0)
        for harness in rng.choices(harnesses, k=rng.choice([4, 5])):
            (attempt,) = harness.submit_request(load_hint=LOAD, session_group=rng.choice(groups))
            if isinstance(attempt, StartAttempt):
                harness.establish(attempt)
                if attempt.server == warming:
                    sent.append(step / 10)
                else:
                    harness.end(attempt, Outcome.OK, finished=True)
    return sent


def groups_with_first_server(server: int, endpoints: list[Endpoint], count: int) -> list[int]:
    """Return the first `count` session groups that prefer a server to all others."""
    servers = [Server(endpoint, 0.0) for endpoint in endpoints]
    for record, endpoint in zip(servers, endpoints, strict=True):
        record.update(endpoint, ())
    preferences = SessionGroups()
    groups = (
        group for group in itertools.count() if next(preferences.preferred_servers(group, servers)).id == server
    )
    return list(itertools.islice(groups, count))


def requests_over_budget(rules: ServiceRules, ages: list[float]) -> list[tuple[int, float]]:
    """Return the numbers of requests in overload windows that exceed the budget, with its random spread, and that."""
    over_budget = []
    for window_start in ages:
        count = sum(window_start <= age < window_start + rules.overload_window for age in ages)
        budget = request_budget(rules, window_start)
        max_count = budget + 2 * sqrt(budget) + 2
        if count > max_count:
            over_budget.append((count, round(max_count, 1)))
    return over_budget


def budget_violations(fleet: Fleet, seeds: range) -> list[tuple[int, int, float, float]]:
    """Return the servers above their budget and its random spread.

    Each is given as seed, server, number of requests in the window and maximum number.
    """
    violations = []
    for seed in seeds:
        for server, ages in simulate_fleet(fleet, seed).items():
            violations += [(seed, server, *window) for window in requests_over_budget(fleet.rules, ages)[:1]]
    return violations


def endpoint_entry(n, started_at=0.0, **fields):
    """Return the entry of server `n` in an endpoint list of discovery."""
    return {
        "uid": f"s-{n}",
        "endpoint": f"127.0.{n // 250}.{n % 250 + 1}:80",
        "state": "active",
        "capacity_hint": WEIGHT,
        "boot_ms": int(started_at * 1000),
        **fields,
    }


class DiscoveryHarness(BalancerHarness):
    """A balancer that gets its servers as endpoint lists of discovery. Its clock is Unix time, as in the daemon."""

    def __init__(self, entries, balancers=1, seed=1, now=NOW, rules=RULES, **settings):
        self.registry, self.clock_skew = EndpointRegistry(()), now - NOW
        super().__init__([], replace(SETTINGS, rules=rules, balancer_count=balancers, **settings), seed, now)
        self.update_list(*entries, full=True)

    def update_list(self, *entries, full=False):
        update = parse_endpoint_list({"rev": 1, "all": full, "targets": list(entries)})
        self.update_endpoints(*self.registry.apply(update), scope=update.scope)

    def finish_request(self, rng=None, **fields):
        """Send one request, end its attempts with outcomes drawn from `rng`, and return the last action.

        An attempt whose outcome is OK is established; without `rng` that is the first one.
        """
        (action,) = self.submit_request(load_hint=LOAD, **fields)
        while isinstance(action, StartAttempt):
            assert self.balancer.servers[action.server].is_ready and action.server in self.registry.addresses
            if (outcome := rng.choice(list(Outcome)) if rng else Outcome.OK) is Outcome.OK:
                self.establish(action)
                return action
            (action,) = self.end(action, outcome)
        assert isinstance(action, Reject | Fail) and action.request_id not in self.balancer.requests
        return action


def simulate_discovery(harnesses, starts, requests_per_second, restarts=False):
    """Simulate eight seconds of balancers that follow the endpoint list.

    With `restarts`, the servers of `starts` (start times by uid) restart every second. Return how many requests were
    rejected, how many went to these servers, and which of them were sent more than their budget and its random
    spread allow.
    """
    rng, rejected, sent = Random(1), 0, {uid: [] for uid in starts}
    for step, now in ((step, NOW + step / 10) for step in range(80)):
        starts = dict.fromkeys(starts, now) if restarts and not step % 10 else starts
        for harness in harnesses:
            harness.now = now + harness.clock_skew
            if not step % 10:
                harness.tick(0.0)
                harness.update_list(*(endpoint_entry(int(uid[2:]), now) for uid in starts if restarts))
        for harness in rng.choices(harnesses, k=requests_per_second // 10):
            if not isinstance(action := harness.finish_request(), StartAttempt):
                rejected += 1
            elif (uid := harness.registry.uid(action.server)) in sent:
                sent[uid].append((now, request_budget(RULES, now - starts[uid])))
    over_budget = [
        uid
        for uid, arrivals in sent.items()
        for window_start, budget in arrivals
        if sum(window_start <= arrived_at < window_start + RULES.overload_window for arrived_at, _ in arrivals)
        > budget + 2 * sqrt(budget) + 2
    ]
    return rejected, sum(map(len, sent.values())), over_budget
