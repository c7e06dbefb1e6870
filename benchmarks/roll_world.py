"""Plays a `roll+mass` day against real `Balancer` modules in lock step: `python benchmarks/roll_world.py --seed 1`.

No sockets, no processes, simulated time: a day of 200 balancers takes seconds, so that variants of the policy can be
compared. Half of the runners are replaced from 4 to 16 s, all balancers start anew a tenth at a time from 4 to 24 s,
one runner of twenty hangs for 6 s. `--quiet-day` leaves all that out.

The modules are the real ones. All else is a model, written from the operators' pages, and nothing in it is measured:
what a runner does when it is asked for more than it can do, how fast it is warm, when it drops what, how clients
come again, how late lists and notes arrive. It says which of two policies is steadier, not what a day will serve.
Of the model's own making, beyond the pages: how long a message waits as a runner nears its capacity (`MESSAGE`), and
which part of messages is then answered in time (`NEAR`); a client wants its connection until a fixed moment; warmth
grows with time alone; fronts have time for all. These are set so that the program of 7d1fbc5 shows here what its
played days show (seed 901 and others: served 0.40 to 0.56, pairs of group and runner from 57 to 172, some thousand
refusals, hundreds of breaks and moves): runners do `TRUE` of what they are listed for, only hung ones tell delays,
what has piled up on an overrun one stays when its connections are dropped, loads are as uneven as the logs tell them.
"""

from __future__ import annotations

import argparse
import sys
import time
from bisect import bisect
from collections import Counter, defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import accumulate
from math import exp, sqrt
from random import Random
from statistics import median

from aspensaddle.core.actions import Fail, Migrate, Reject, SetTimer, StartAttempt
from aspensaddle.core.balancer import Balancer
from aspensaddle.core.events import (
    AttemptEnded,
    ClientDisconnected,
    ConnectionAdopted,
    ConnectionEstablished,
    ConnectionLoadReported,
    Endpoint,
    EndpointsChanged,
    EndpointUpdateScope,
    Event,
    Outcome,
    Request,
    ServerLatencyReported,
    ServerState,
    Started,
    TimerFired,
)
from aspensaddle.core.settings import Limits, RequestClass, ServiceRules, Settings

T0 = 1000.0  # the modules' clock at the start of the day: a start at 0 means long ago
DAY, STEP = 30.0, 0.05
CORES, SPEEDS, TRUE_SPEEDS, FAST = 2.0, (1.5, 0.97), ((1.3, 1.7), (0.85, 1.1)), 0.58
TRUE, CLIP = 0.78, 0.58  # of the listed cores, what a runner can do; of a core, the heaviest connection
MEAN = 1 / 9.0  # of a core, a connection of class 0, before that
LOADS, WORTH, DEADLINE, FIRST_CLASS = (1.0, 0.35), (5.0, 3.0), (1.2, 1.8), 0.71
LIFE, LOAD_SIGMA, SWING_SIGMA = 35.0, 1.5, 0.5
PAIR = 0.24  # what a runner pays for each group it holds any of
FILLED = 0.62  # of its capacity, what a runner is asked at the start
BEHIND = (0.15, 0.06)  # seconds of backlog from which a class gets no answer in time
MESSAGE, NEAR = 0.005, 0.85  # work of a message, which waits by 1 / (1 - level); level from which some are late
LATENCY, CONNECT_TIMEOUT, TOLD, MOVED = 0.08, 0.25, 0.01, 0.01
REJOIN, REJOIN_MOVED = (0.11, 1.6), (0.06, 0.25)
NOTICE, SILENT_NOTICE, LISTED = (2.1, 6.2), (5.0, 12.0), (0.67, 2.8)
LOOKS = (1.0, 4.0, 10.0, 16.0, 20.0, 24.0, 28.0)
SETTINGS = Settings(
    classes=(
        RequestClass(0.3, 1.2, 5.0, message_latency_objective=0.15),
        RequestClass(0.3, 1.8, 3.0, message_latency_objective=0.06),
    ),
    zone_count=2,
    session_groups=True,
    machine_types=("fast-runner", "plain-runner"),
    core_speeds=SPEEDS,
    session_group_cost=3.0,
    rules=ServiceRules(0.0, 2.0, 0.12, 24.0, 4.0, 2.0, 10.0),
    limits=Limits(6, CONNECT_TIMEOUT, health_checks_allowed=True),
    health_check_price=0.0044,
)


@dataclass(slots=True, eq=False)
class Client:
    key: int
    cls: int
    zone: int
    group: int
    base: float  # its usual load
    load: float  # its load now
    ends: float
    honours: bool
    state: str = "between"  # asking, up, refused, between, fallen, done
    turn: int = 0  # counts changes of state: what was due for an older one is void
    front: Front | None = None
    module: Balancer | None = None
    id: str = ""
    attempt: int = -1
    server: int = -1
    sent_at: float = 0.0
    up_at: float = 0.0
    repeats: int = 0  # of the same try
    failures: int = 0
    returning: bool = False
    swung: float = 0.0  # its load changes then


@dataclass(slots=True, eq=False)
class Runner:
    entry: Endpoint
    speed: float
    start: float = -1e9
    cold: float = 1.0
    slow_start_duration: float = 1.0
    state: str = "runs"  # drains, stopped, fallen
    hung_from: float = 1e9
    hung_to: float = 1e9
    backlog: float = 0.0  # work piled up
    setups: float = 0.0  # work of set-ups still to do
    load: float = 0.0
    drop_next: float = 0.0
    holds: dict[int, Client] = field(default_factory=dict)
    groups: Counter[int] = field(default_factory=Counter)
    sends: deque[float] = field(default_factory=deque)

    def warmth(self, now: float) -> float:
        return self.cold + (1 - self.cold) * min(1.0, max(0.0, now - self.start) / self.slow_start_duration)

    def capacity(self, now: float) -> float:
        return TRUE * CORES * self.speed * self.warmth(now)

    def asks(self) -> float:
        return max(0.0, self.load) + PAIR * len(self.groups) + self.setups  # set-ups spread over a second

    def hung(self, now: float) -> bool:
        return self.hung_from <= now < self.hung_to

    def delay(self, now: float) -> float:
        """What a message waits."""
        capacity = self.capacity(now)
        queue = MESSAGE / max(0.05, 1 - self.asks() / capacity)
        return now - self.hung_from if self.hung(now) else queue + self.backlog / capacity

    def answers(self, now: float, cls: int) -> float:
        """The part of messages that is answered in time."""
        capacity = self.capacity(now)
        if self.hung(now) or self.backlog > BEHIND[cls] * capacity:
            return 0.0
        return min(1.0, max(0.0, (1 - self.asks() / capacity) / (1 - NEAR)))

    def hold(self, c: Client, sign: int) -> None:
        if sign > 0:
            self.connections[c.key] = c
        else:
            del self.connections[c.key]
        self.load += sign * c.load
        self.groups[c.group] += sign
        if not self.groups[c.group]:
            del self.groups[c.group]


@dataclass(slots=True, eq=False)
class Front:
    index: int
    zone: int
    weight: float
    module: Balancer
    out: bool = False
    up: defaultdict[int, dict[int, Client]] = field(default_factory=lambda: defaultdict(dict))


@dataclass(slots=True)
class Look:
    at: float
    connections: int
    pairs: int
    single: int  # pairs with one connection
    pair_work: float
    load: float
    old: tuple[int, float, float]  # runners, median level (asked / capacity), median of work asked
    new: tuple[int, float, float]
    overrun: float  # part of connections

    def __str__(self) -> str:
        return (
            f"{self.at:4.0f} s  {self.connections:5d} conn  {self.pairs:4d} pairs  {self.single:3d} single  "
            f"work {self.pair_work:3.0f} / {self.load:3.0f}  old {self.old[0]:2d} at {self.old[1]:.2f} "
            f"({self.old[2]:.2f})  new {self.new[0]:2d} at {self.new[1]:.2f} ({self.new[2]:.2f})  "
            f"overrun {self.overrun:.2f}"
        )


@dataclass(slots=True)
class Result:
    served: float
    lost: dict[str, float]  # part of what was wanted, by cause
    looks: list[Look]
    counts: list[Counter[str]]  # of each 5 s
    stay: float  # median, of connections that began between 10 and 25 s
    falls: int

    def __str__(self) -> str:
        lost = "  ".join(f"{name} {part:.3f}" for name, part in sorted(self.lost.items()))
        bins = [
            f"{5 * n:2d}-{5 * n + 5:2d} s  "
            + "  ".join(f"{k} {c[k]:5d}" for k in ("moves", "drained", "restarted", "breaks", "refusals", "sends"))
            for n, c in enumerate(self.counts)
        ]
        return "\n".join(
            [
                f"served {self.served:.3f}  lost: {lost}",
                *map(str, self.looks),
                *bins,
                f"median stay {self.stay:.1f} s, falls {self.falls}",
            ]
        )


class World:
    def __init__(
        self, seed: int, balancers: int = 196, runners: int = 51, clients: int = 900, quiet: bool = False
    ) -> None:
        self.draw, self.seed, self.now, self.count = Random(seed), seed, 0.0, 0
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.clients: dict[int, Client] = {}
        self.runners: dict[int, Runner] = {}
        self.listed: dict[int, Endpoint] = {}
        draw = self.draw
        self.rate, self.setup = clients / LIFE, draw.uniform(0.0065, 0.018)
        self.drop_at, self.honour = draw.uniform(0.5, 1.5), draw.uniform(0.74, 1.0)
        self.groups = list(accumulate(1 / (g + 2) for g in range(draw.randint(25, 38))))
        self.first_zone = 0.5 * (1 + draw.uniform(0.15, 0.45))
        self.wanted, self.served, self.falls = 0.0, 0.0, 0
        self.lost, self.stays, self.looks = defaultdict[str, float](float), list[float](), list[Look]()
        self.counts = [Counter[str]() for _ in range(int(DAY / 5))]
        for n in range(runners):
            self.runner(n, n % 2, 0 if n < round(FAST * runners) else 1)
            self.listed[n] = self.runners[n].entry
        self.fronts = []
        for i in range(balancers):
            front = Front(i, i % 2, exp(draw.gauss(0.0, 0.6)), self.module(i, 0, balancers))
            self.fronts.append(front)
            self.begin(front)
        self.stand(clients)
        self.at(draw.expovariate(self.rate), self.arrive)
        if not quiet:
            self.trouble(runners, balancers)

    # ------------------------------------------------------------ time

    def at(self, when: float, what: Callable[[], None]) -> None:
        self.count += 1
        heappush(self.due, (when, self.count, what))

    def then(self, c: Client, delay: float, what: Callable[[Client], None]) -> None:
        """Unless the client's state has changed by then."""
        turn = c.turn

        def run() -> None:
            if c.turn == turn:
                what(c)

        self.at(self.now + delay, run)

    def tally(self, what: str) -> None:
        self.counts[min(len(self.counts) - 1, int(self.now / 5))][what] += 1

    # ------------------------------------------------------------ the start

    def runner(self, n: int, zone: int, kind: int, start: float | None = None) -> Runner:
        entry = Endpoint(n, zone, weight=CORES, started_at=0.0 if start is None else T0 + start, machine_type=kind)
        r = self.runners[n] = Runner(entry, self.draw.uniform(*TRUE_SPEEDS[kind]))
        if start is not None:
            r.start, r.cold = start, self.draw.uniform((0.2, 0.12)[kind], 0.35)
            r.slow_start_duration = self.draw.uniform(*((14.0, 22.0), (10.0, 24.0))[kind])
        return r

    def client(self) -> Client:
        draw, self.count = self.draw, self.count + 1
        cls = int(draw.random() >= FIRST_CLASS)
        base = MEAN * LOADS[cls] * exp(draw.gauss(0.0, LOAD_SIGMA) - LOAD_SIGMA**2 / 2)
        c = Client(
            self.count,
            cls,
            int(draw.random() >= self.first_zone),
            bisect(self.groups, draw.random() * self.groups[-1]),
            base,
            base,
            self.now + draw.expovariate(1 / LIFE),
            draw.random() < self.honour,
        )
        self.clients[c.key] = c
        self.at(c.ends, lambda: self.finish(c))
        return c

    def stand(self, clients: int) -> None:
        """Each group on as few runners as hold it evenly, those that share it filled alike."""
        members: defaultdict[int, list[Client]] = defaultdict(list)
        for _ in range(clients):
            c = self.client()
            members[c.group].append(c)
        room = {n: FILLED * r.capacity(0.0) for n, r in self.runners.items()}
        for group in sorted(members, key=lambda g: -sum(c.load for c in members[g])):
            load = sum(c.load for c in members[group])
            fits = [n for n in room if room[n] >= load + PAIR]
            homes = [min(fits, key=lambda n: room[n])] if fits else sorted(room, key=lambda n: -room[n])
            sums = list(accumulate(max(0.0, room[n] - PAIR) for n in homes))
            if load > sums[-1]:  # room is short: overfilled alike, no more homes than an empty fleet would give
                homes = homes[: 1 + int(load / (FILLED * median(r.capacity(0.0) for r in self.runners.values())))]
            homes = homes[: 1 + bisect(sums, load)]
            for n in homes:
                room[n] -= PAIR
            for c in sorted(members[group], key=lambda c: -c.load):
                n = max(homes, key=lambda n: room[n])
                room[n] -= c.load
                self.ask(c, adopted=n)

    def module(self, index: int, life: int, balancers: int) -> Balancer:
        settings = Settings(
            **{
                **{f: getattr(SETTINGS, f) for f in SETTINGS.__slots__},
                "zone": index % 2,
                "balancer_index": index,
                "balancer_count": balancers,
            }
        )
        return Balancer(settings, 100_003 * self.seed + 1_000 * life + index)

    def begin(self, f: Front) -> None:
        self.feed(f, Started())
        self.feed(f, EndpointsChanged(EndpointUpdateScope.CACHED, tuple(self.listed.values())))

    # ------------------------------------------------------------ the modules

    def feed(self, f: Front, event: Event) -> None:
        for action in f.module.handle(T0 + self.now, event):
            if isinstance(action, SetTimer):
                self.at(self.now + action.delay, lambda m=f.module, t=action.timer: self.fire(f, m, t))  # type: ignore[misc]
            elif isinstance(action, StartAttempt | Reject | Fail | Migrate):
                c = self.clients.get(int(action.request_id.split(".")[0]))
                if c is None or c.request_id != action.request_id:
                    continue
                if isinstance(action, StartAttempt):
                    self.send(c, action)
                elif isinstance(action, Migrate):
                    self.tally("moves")
                    self.then(c, MOVED, lambda c: self.away(c, Outcome.CANCELLED))
                else:
                    self.refused(c, action.retry_after if isinstance(action, Reject) else 0.0)

    def fire(self, f: Front, module: Balancer, token: str) -> None:
        if f.module is module and not f.out:
            self.feed(f, TimerFired(token))

    def tell(self, entry: Endpoint, at: float) -> None:
        """A change of the list reaches all within 0.3 s."""

        def change() -> None:
            self.listed[entry.server] = entry
            if entry.state is ServerState.GONE:
                del self.listed[entry.server]

        self.at(at, change)
        for f in self.fronts:
            self.at(
                at + self.draw.uniform(0.0, 0.3),
                lambda f=f: (
                    None
                    if f.out
                    else self.feed(  # type: ignore[misc]
                        f, EndpointsChanged(EndpointUpdateScope.INCREMENTAL, (entry,))
                    )
                ),
            )

    # ------------------------------------------------------------ clients

    def arrive(self) -> None:
        self.at(self.now + self.draw.expovariate(self.rate), self.arrive)
        self.ask(self.client())

    def ask(self, c: Client, adopted: int | None = None) -> None:
        fronts = [f for f in self.fronts if f.zone == c.zone and not f.out] or [f for f in self.fronts if not f.out]
        f = c.front = self.draw.choices(fronts, [f.weight for f in fronts])[0]
        self.count += 1
        c.turn, c.module, c.id, c.attempt, c.state = c.turn + 1, f.module, f"{c.key}.{self.count}", -1, "asking"
        request = Request(
            c.id,
            c.cls,
            DEADLINE[c.cls],
            affinity_key=c.key,
            session_group=c.group,
            repeat=c.repeats > 0,
            reconnecting=c.returning,
        )
        if adopted is None:
            self.feed(f, request)
            return
        c.server, c.attempt = adopted, 0
        self.feed(f, ConnectionAdopted(request, adopted))
        self.up(c)

    def send(self, c: Client, action: StartAttempt) -> None:
        self.tally("sends")
        r, now = self.runners[action.server], self.now
        c.turn, c.attempt, c.server, c.sent_at = c.turn + 1, c.attempt + 1, action.server, now
        if r.state in ("stopped", "fallen") or r.hung(now):
            self.then(
                c,
                min(action.timeout, CONNECT_TIMEOUT if r.hung(now) else STEP),
                lambda c: self.failed(c, Outcome.UNREACHABLE),
            )
            return
        if r.state == "drains":
            self.then(c, STEP, lambda c: self.failed(c, Outcome.REJECTED))
            return
        r.setups += self.setup
        r.sends.append(now)
        while r.sends[0] < now - 2.0:
            r.sends.popleft()
        if now < r.start + r.slow_start_duration:
            listed = CORES * SPEEDS[r.entry.machine_type] * r.warmth(now)
            n = 4.0 * listed / r.slow_start_duration * 2.0 / MEAN
            if len(r.sends) > n + 2 * sqrt(n) + 2:
                self.fall(r)
        latency = LATENCY + r.backlog / r.capacity(now)
        late = latency > action.timeout
        self.then(
            c,
            min(latency, action.timeout),
            (lambda c: self.failed(c, Outcome.TIMED_OUT)) if late else self.established,
        )

    def failed(self, c: Client, outcome: Outcome) -> None:
        assert c.front
        self.feed(c.front, AttemptEnded(c.id, c.attempt, c.server, outcome, self.now - c.sent_at))

    def established(self, c: Client) -> None:
        r = self.runners[c.server]
        if r.state in ("stopped", "fallen") or r.hung(self.now):
            self.failed(c, Outcome.UNREACHABLE)
            return
        assert c.front
        self.feed(c.front, ConnectionEstablished(c.id, c.attempt, c.server, self.now - c.sent_at))
        self.up(c)
        if r.state == "drains":
            self.tally("drained")
            self.away(c, Outcome.CANCELLED)

    def up(self, c: Client) -> None:
        assert c.front
        c.turn, c.state, c.up_at, c.repeats, c.failures = c.turn + 1, "up", self.now, 0, 0
        self.runners[c.server].hold(c, 1)
        c.front.up[c.server][c.key] = c
        self.then(c, TOLD, self.note)

    def note(self, c: Client) -> None:
        assert c.front
        r = self.runners[c.server]
        if not r.hung(self.now):  # else it tells nothing
            load = c.load
            if c.swung <= self.now:
                c.swung = self.now + self.draw.uniform(6.0, 18.0)
                load = min(CLIP, c.base * exp(self.draw.gauss(0.0, SWING_SIGMA) - SWING_SIGMA**2 / 2))
            r.load, c.load = r.load + load - c.load, load
        self.then(c, self.draw.uniform(6.0, 18.0), self.note)
        if not r.hung(self.now):
            self.feed(c.front, ConnectionLoadReported(c.id, c.server, c.load))

    def leave(self, c: Client) -> None:
        """The connection is off its runner."""
        assert c.front
        c.turn += 1
        self.runners[c.server].hold(c, -1)
        c.front.up[c.server].pop(c.key, None)
        if 10.0 <= c.up_at < 25.0:
            self.stays.append(self.now - c.up_at)

    def away(self, c: Client, outcome: Outcome, heard: bool = True) -> None:
        """A connection ends before its client is done; the client comes again."""
        assert c.front
        self.leave(c)
        c.state, c.returning = "between", True
        if self.runners[c.server].state == "fallen":
            c.state = "fallen"
        if heard:
            self.feed(c.front, AttemptEnded(c.id, c.attempt, c.server, outcome, 0.0, True))
        moved = outcome is Outcome.CANCELLED and self.runners[c.server].state == "runs"
        self.then(c, self.draw.uniform(*(REJOIN_MOVED if moved else REJOIN)), self.ask)

    def refused(self, c: Client, wait: float) -> None:
        self.tally("refusals")
        c.turn, c.state, c.repeats = c.turn + 1, "refused", c.repeats + 1
        if not (c.honours and wait):
            wait = self.draw.uniform(0.015, 0.12) * 2 ** (c.repeats - 1)
        if c.repeats > 2:
            c.repeats, c.failures = 0, c.failures + 1
            wait = self.draw.uniform(1.0, 3.0) * 2 ** min(c.failures - 1, 2)
        self.then(c, wait, self.ask)

    def finish(self, c: Client) -> None:
        if c.state == "up":
            self.leave(c)
            assert c.front
            self.feed(c.front, AttemptEnded(c.id, c.attempt, c.server, Outcome.OK, 0.0, True))
        elif c.state == "asking" and c.front and not c.front.out:
            self.feed(c.front, ClientDisconnected(c.id))
        c.turn, c.state = c.turn + 1, "done"
        del self.clients[c.key]

    # ------------------------------------------------------------ troubles

    def trouble(self, runners: int, balancers: int) -> None:
        order = self.draw.sample(range(runners), runners)
        old, steps = order[: runners // 2], 6
        notice = self.draw.uniform(*NOTICE)
        for i, n in enumerate(old):
            begin = 4.0 + 12.0 * (i * steps // len(old)) / (steps - 1)
            self.at(begin, lambda n=n, new=runners + i: self.replace(n, new, notice))  # type: ignore[misc]
        for n in order[runners // 2 :][: max(1, runners // 20)]:
            self.runners[n].hung_from = begin = self.draw.uniform(6.0, 16.0)
            self.runners[n].hung_to = begin + 6.0
        for i, index in enumerate(self.draw.sample(range(balancers), balancers)):
            self.at(4.0 + 2.0 * (10 * i // balancers), lambda f=self.fronts[index]: self.restart(f))  # type: ignore[misc]

    def replace(self, n: int, new: int, notice: float) -> None:
        r, e = self.runners[n], self.runners[n].entry
        r.state = "drains"
        for c in list(r.connections.values()):
            self.tally("drained")
            self.away(c, Outcome.CANCELLED)
        told = self.now + notice
        self.tell(Endpoint(n, e.zone, 0, ServerState.DRAINING, e.weight, machine_type=e.machine_type), told)
        self.tell(Endpoint(n, e.zone, 0, ServerState.GONE, e.weight, machine_type=e.machine_type), told + 3.0)
        self.at(told + 2.5, lambda: setattr(r, "state", "stopped"))
        fresh = self.runner(new, e.zone, e.machine_type, self.now)
        self.tell(fresh.entry, self.now + self.draw.uniform(*LISTED))

    def restart(self, f: Front) -> None:
        f.out = True
        for c in list(self.clients.values()):
            if c.front is f and c.state == "up":
                self.tally("restarted")
                self.away(c, Outcome.CANCELLED, heard=False)
            elif c.front is f and c.state == "asking":
                c.turn, c.state = c.turn + 1, "between"
                self.then(c, self.draw.uniform(*REJOIN), self.ask)

        def again() -> None:
            f.out, f.module = False, self.module(f.index, 1, len(self.fronts))
            self.begin(f)

        self.at(self.now + 3.0, again)

    def fall(self, r: Runner) -> None:
        r.state, self.falls = "fallen", self.falls + 1
        for c in list(r.connections.values()):
            self.tally("breaks")
            self.away(c, Outcome.CONNECTION_LOST)
        e = r.entry
        self.tell(
            Endpoint(e.server, e.zone, 0, ServerState.GONE, e.weight, machine_type=e.machine_type),
            self.now + self.draw.uniform(*SILENT_NOTICE),
        )

    # ------------------------------------------------------------ the day

    def work(self, r: Runner) -> None:
        """A step of a runner: what it can't do piles up, and from some backlog on it drops the heaviest."""
        now, asks, capacity = self.now, r.asks(), r.capacity(self.now)
        if not r.hung(now):
            r.backlog = max(0.0, r.backlog + (asks - capacity) * STEP)
            r.setups -= r.setups * STEP
        if r.backlog > self.drop_at * capacity and now >= r.drop_next and not r.hung(now):
            r.drop_next = now + 0.25
            for c in sorted(r.connections.values(), key=lambda c: -c.load):
                if r.asks() <= 0.5 * capacity:
                    break
                self.tally("breaks")
                self.away(c, Outcome.CONNECTION_LOST)

    def notes(self, f: Front) -> None:
        """Once a second, as the driver tells of lines that do not come back."""
        for n, held in list(f.up.items()):
            if held and self.runners[n].hung(self.now):
                self.feed(f, ServerLatencyReported(next(iter(held.values())).id, n, self.runners[n].delay(self.now)))

    def account(self) -> None:
        served = {n: [r.answers(self.now, cls) for cls in (0, 1)] for n, r in self.runners.items()}
        for c in self.clients.values():
            worth, r = WORTH[c.cls] * STEP, self.runners.get(c.server)
            part = served[c.server][c.cls] if c.state == "up" else 0.0
            self.wanted += worth
            self.served += worth * part
            if part < 1.0:
                cause = "between" if c.state == "asking" else c.state
                if c.state == "up" and r is not None:
                    cause = "hung" if r.hung(self.now) else "overrun" if r.warmth(self.now) >= 1 else "cold"
                self.lost[cause] += worth * (1 - part)

    def look(self) -> Look:
        live = [r for r in self.runners.values() if r.state == "runs"]
        pairs = [k for r in self.runners.values() for k in r.groups.values()]

        def level(rs: list[Runner]) -> tuple[int, float, float]:
            return (
                (len(rs), median(r.asks() / r.capacity(self.now) for r in rs), median(r.asks() for r in rs))
                if rs
                else (0, 0.0, 0.0)
            )

        over = sum(len(r.connections) for r in live if not r.answers(self.now, 0))
        return Look(
            self.now,
            sum(pairs),
            len(pairs),
            pairs.count(1),
            PAIR * len(pairs),
            sum(r.load for r in self.runners.values()),
            level([r for r in live if r.start < 0]),
            level([r for r in live if r.start >= 0]),
            over / max(1, sum(pairs)),
        )

    def play(self) -> Result:
        looks = list(LOOKS)
        for step in range(1, round(DAY / STEP) + 1):
            end = step * STEP
            while self.due and self.due[0][0] <= end:
                self.now, _, what = heappop(self.due)
                what()
            self.now = end
            for r in list(self.runners.values()):
                if r.state in ("runs", "drains"):
                    self.work(r)
            for f in self.fronts[step % 20 :: 20]:
                if not f.out:
                    self.notes(f)
            self.account()
            if looks and end >= looks[0] - STEP / 2:
                looks.pop(0)
                self.looks.append(self.look())
        stays = self.stays + [
            self.now - c.up_at for c in self.clients.values() if c.state == "up" and 10.0 <= c.up_at < 25.0
        ]  # those that stand, so far
        lost = {name: worth / self.wanted for name, worth in self.lost.items()}
        return Result(self.served / self.wanted, lost, self.looks, self.counts, median(stays or [0.0]), self.falls)


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--balancers", type=int, default=196)
    parser.add_argument("--runners", type=int, default=51)
    parser.add_argument("--clients", type=int, default=620)
    parser.add_argument("--quiet-day", action="store_true")
    args = parser.parse_args()
    began = time.monotonic()
    print(World(args.seed, args.balancers, args.runners, args.clients, args.quiet_day).play())
    print(f"took {time.monotonic() - began:.1f} s", file=sys.stderr)
    return 0


if __name__ == "__main__":
    sys.exit(main())
