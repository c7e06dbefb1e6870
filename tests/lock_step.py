"""Many balancers in lock step, without sockets: settings, events and plays that several test modules share."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from math import sqrt
from random import Random

from helpers import SETTINGS, BalancerHarness, make_endpoint

from aspensaddle.core.actions import Action, Fail, Reject, StartAttempt
from aspensaddle.core.events import ConnectionLoadReported, Endpoint, Outcome, ServerLatencyReported
from aspensaddle.core.settings import Limits, ServiceRules, Settings
from aspensaddle.discovery.endpoint_registry import EndpointRegistry
from aspensaddle.discovery.endpoint_update import parse_endpoint_list

LOAD = 0.05  # of a core, the mean connection
WEIGHT = 2.0  # cores that are listed
RULES = ServiceRules(0.016, 0.5, 0.12, 24.0, 4.0, 2.0, 10.0)
NOW = 1.79e9
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
JOINING_STARTS = [7 * n / 24 for n in range(24)]  # six in ten servers are replaced within 7 s


def large_fleet(count: int, weight: float = 2.0, **more: object) -> list[Endpoint]:
    return [make_endpoint(n, weight=weight, **more) for n in range(count)]


def harnesses_in_lock_step(
    servers=SERVER_COUNT, settings=MANY_BALANCERS_SETTINGS, count=MANY_BALANCERS
) -> list[BalancerHarness]:
    return [BalancerHarness(servers, settings, seed=n) for n in range(count)]


def place_on_each(harnesses: list[BalancerHarness], server: int) -> Iterator[tuple[BalancerHarness, StartAttempt]]:
    """Place one more connection on each balancer; yield those that went to `server`."""
    for harness in harnesses:
        (send,) = harness.submit_request(load_hint=LOAD)
        if isinstance(send, StartAttempt):
            harness.establish(send)
            if send.server == server:
                yield harness, send


def report_latency(harness: BalancerHarness, server: int, delay: float) -> None:
    harness.balancer.handle(harness.now, ServerLatencyReported("", server, delay))


def lose_connections(harness: BalancerHarness, times: int) -> None:
    """Establish connections that hold for 10 s and are then lost."""
    for _ in range(times):
        send = harness.place(load_hint=LOAD)
        harness.tick(0.1)
        harness.balancer.requests[send.request_id].established_at -= 10
        harness.end(send, Outcome.CONNECTION_LOST, finished=True)


def place_with_reported_load(harness: BalancerHarness, load: float) -> tuple[StartAttempt, list[Action]]:
    """Establish a connection that reports its load; return its attempt and the actions that follow."""
    send = harness.place()
    return send, harness.balancer.handle(
        harness.now, ConnectionLoadReported(send.request_id, send.server, load)
    ) or []


def play_joining_servers(count: int, settings: Settings, groups: int, asked: float) -> dict[int, list[float]]:
    """Play a fleet of which six in ten servers join, with `asked` connections per second and server.

    Some balancers get several times the mean, and the sizes of the session groups follow Zipf's law. Return for each
    joining server its ages, in seconds, at which it was sent a connection.
    """
    draw, now, servers = Random(count), 1000.0, OLD_SERVER_COUNT + len(JOINING_STARTS)
    entries = [make_endpoint(n, weight=2.0, started_at=now + start) for n, start in enumerate(JOINING_STARTS)]
    entries += [make_endpoint(n, weight=2.0) for n in range(len(JOINING_STARTS), servers)]
    harnesses = [BalancerHarness([e for e in entries if not e.started_at], settings, seed=n) for n in range(count)]
    busy, sizes = [1 / (1 + n) ** 0.5 for n in range(count)], [1 / (1 + g) for g in range(groups)]
    sent: dict[int, list[float]] = {n: [] for n in range(len(JOINING_STARTS))}
    for step in range(int(JOINING_SECONDS / 0.5)):
        t = now + step / 2
        for harness in harnesses:
            if step % 2:
                harness.tick(0.5)
            harness.now = t
            harness.update_endpoints(
                *(e for e in entries if t <= e.started_at + 2.0 < t + 0.5)
            )  # the list is 2 s late
        for harness in draw.choices(harnesses, busy, k=int(asked * servers / 2)):
            (send,) = harness.submit_request(
                load_hint=LOAD, session_group=draw.choices(range(groups), sizes)[0] if groups else None
            )
            if isinstance(send, StartAttempt):
                harness.establish(send)
                if send.server in sent:
                    sent[send.server].append(t - entries[send.server].started_at)
    return sent


def warm_up_load_rate(settings: Settings, age: float, bears: float = 2.0) -> float:
    """Return the load per second that fills a server of a given age within its warm-up."""
    rules = settings.rules
    warmth = rules.initial_capacity_fraction + (1 - rules.initial_capacity_fraction) * min(
        1.0, age / rules.slow_start_duration
    )
    return bears * warmth / rules.slow_start_duration


@dataclass
class Fleet:
    """A fleet to play: processes, servers, traffic and slow start rules."""

    processes: int
    servers: int = 24
    cold: int = 12  # of them that warm up, all started at time 0
    asked: float = 1.5  # connections a second for each server
    seconds: float = 8.0
    groups: int = 0
    restarts: float | None = None  # when most of the processes restart, in seconds
    late: float = 2.0  # seconds within which each process learns of a start
    live: float = 1.0  # fraction of the processes that get requests
    rules: ServiceRules = field(default_factory=lambda: RULES)


def request_budget(rules: ServiceRules, age: float) -> float:
    """Return how many requests of mean load may reach a server of a given age within the overload window."""
    warmth = rules.initial_capacity_fraction + (1 - rules.initial_capacity_fraction) * min(
        1.0, age / rules.slow_start_duration
    )
    return rules.overload_multiple * WEIGHT * warmth / rules.slow_start_duration * rules.overload_window / LOAD


def play_fleet(f: Fleet, seed: int) -> dict[int, list[float]]:
    """Return for each warming server its ages, in seconds, at which it was sent a request."""
    draw, start = Random(seed), 1000.0
    settings = replace(
        SETTINGS, balancer_count=f.processes, session_groups=f.groups > 0, rules=f.rules, limits=Limits()
    )
    known = [make_endpoint(n, weight=WEIGHT, started_at=start if n < f.cold else 0.0) for n in range(f.servers)]
    old = known[f.cold :]

    def process(n: int, now: float, entries: list) -> BalancerHarness:
        return BalancerHarness(entries, settings, seed=1000 * seed + n, now=now)

    harnesses = [process(n, start - 20.0, old) for n in range(f.processes)]
    told = [start + draw.uniform(0.0, f.late) for _ in harnesses]
    busy = [1 / (1 + n) ** 0.7 if n < max(1, f.live * f.processes) else 0.0 for n in range(f.processes)]
    sizes = [1 / (1 + g) for g in range(f.groups)]
    sent: dict[int, list[float]] = {n: [] for n in range(f.cold)}
    now = start - 20.0  # they have run for a while, and know what comes
    due = [now + draw.random() for _ in harnesses]
    heard = [False] * f.processes
    while now < start + f.seconds:
        now += 0.1
        for n, harness in enumerate(harnesses):
            harness.now = now
            if now >= due[n]:
                due[n] += 1.0
                harness.tick(0.0)
            if now >= told[n] and not heard[n]:
                heard[n] = True
                harness.update_endpoints(*known[: f.cold])
        if f.restarts is not None and now - 0.1 < start + f.restarts <= now:
            for n in range(f.processes):
                if n % 10 < 7:
                    harnesses[n], heard[n], due[n] = process(n, now, known), True, now + draw.random()
        count = int(f.asked * f.servers * 0.1 + draw.random())
        for n in draw.choices(range(f.processes), busy, k=count):
            harness = harnesses[n]
            group = draw.choices(range(f.groups), sizes)[0] if f.groups else None
            (send,) = harness.submit_request(load_hint=LOAD, session_group=group)
            if isinstance(send, StartAttempt):
                harness.establish(send)
                if send.server in sent:
                    sent[send.server].append(now - start)
                if draw.random() < 0.5:
                    harness.end(send, Outcome.OK, finished=True)
    return sent


def budget_violations(f: Fleet, seeds: range) -> list[tuple[int, int, float, float]]:
    """Return the servers over their budget and its random spread: seed, server, requests in the window, allowed."""
    over = []
    for seed in seeds:
        for server, ages in play_fleet(f, seed).items():
            for first in ages:
                count = sum(first <= age < first + f.rules.overload_window for age in ages)
                n = request_budget(f.rules, first)
                if count > n + 2 * sqrt(n) + 2:
                    over.append((seed, server, count, round(n + 2 * sqrt(n) + 2, 1)))
                    break
    return over


def listed_target(n, started=0.0, **more):
    return {
        "uid": f"s-{n}",
        "endpoint": f"127.0.{n // 250}.{n % 250 + 1}:80",
        "state": "active",
        "capacity_hint": WEIGHT,
        "boot_ms": int(started * 1000),
        **more,
    }


class DiscoveryHarness(BalancerHarness):  # by Unix time, as in the daemon
    def __init__(self, targets, balancers=1, seed=1, now=NOW, rules=RULES, **settings):
        self.fleet, self.skew = EndpointRegistry(()), now - NOW
        super().__init__([], replace(SETTINGS, rules=rules, balancer_count=balancers, **settings), seed, now)
        self.tell(*targets, full=True)

    def tell(self, *targets, full=False):
        update = parse_endpoint_list({"rev": 1, "all": full, "targets": list(targets)})
        self.update_endpoints(*self.fleet.apply(update), scope=update.scope)

    def ends(self, draw=None, **more):
        """Send one request, end its attempts as drawn, and return its final action."""
        (action,) = self.submit_request(load_hint=LOAD, **more)
        while isinstance(action, StartAttempt):
            assert self.balancer.servers[action.server].is_ready and action.server in self.fleet.addresses
            if (outcome := draw.choice(list(Outcome)) if draw else Outcome.OK) is Outcome.OK:
                self.establish(action)
                return action
            (action,) = self.end(action, outcome)
        assert isinstance(action, Reject | Fail) and action.request_id not in self.balancer.requests
        return action


def play_discovery(processes, starts, asked, restarts=False):
    """Play eight seconds of all processes.

    Return how many requests were rejected, how many went to the servers of `starts` (start times by uid), and which
    of these servers were sent more than their budget and its random spread allow.
    """
    draw, turned, sent = Random(1), 0, {uid: [] for uid in starts}
    for step, now in ((step, NOW + step / 10) for step in range(80)):
        starts = dict.fromkeys(starts, now) if restarts and not step % 10 else starts
        for harness in processes:
            harness.now = now + harness.skew
            if not step % 10:
                harness.tick(0.0)
                harness.tell(*(listed_target(int(uid[2:]), now) for uid in starts if restarts))
        for harness in draw.choices(processes, k=asked // 10):
            if not isinstance(action := harness.ends(), StartAttempt):
                turned += 1
            elif (uid := harness.fleet.uid(action.server)) in sent:
                sent[uid].append((now, request_budget(RULES, now - starts[uid])))
    fell = [
        uid
        for uid, there in sent.items()
        for first, n in there
        if sum(first <= at < first + RULES.overload_window for at, _ in there) > n + 2 * sqrt(n) + 2
    ]
    return turned, sum(map(len, sent.values())), fell
