"""Every decision of the balancer. What goes in and comes out is in `aspensaddle/core/interface.py`.

The ordinary path is Ohta and Andou's: count sends and accepts of each server over a sliding window, take part
of its ratio off the server with the worst R = (S - A) / A each tick, and place by a smooth weighted rotation.
All else extends that where it breaks and says what it guards against; `docs/design.md` tells when each acts.
"""

from __future__ import annotations

from bisect import bisect
from collections import Counter
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import chain, islice
from random import Random

from aspensaddle.core.actions import (
    Action,
    CheckHealth,
    Fail,
    Migrate,
    Reject,
    RejectReason,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from aspensaddle.core.arrivals import Arrivals
from aspensaddle.core.events import (
    AttemptEnded,
    ClientDisconnected,
    ConnectionAdopted,
    ConnectionEstablished,
    ConnectionLoadReported,
    EndpointsChanged,
    EndpointUpdateScope,
    Event,
    HealthCheckCompleted,
    Outcome,
    Request,
    ServerLatencyReported,
    ServerState,
    Started,
    TimerFired,
)
from aspensaddle.core.homes import Homes, choose
from aspensaddle.core.records import RING_POINTS, Area, Heap, Pending, Server
from aspensaddle.core.reports import probe_every, told
from aspensaddle.core.settings import DeduplicationScope, Idempotency, Settings
from aspensaddle.core.shares import Shares
from aspensaddle.core.shortage import Shortage
from aspensaddle.core.window import SLOTS

TICK = 1.0  # T: trouble lasts seconds, and ten of them let sparse traffic leave a trace
DELTA = 0.1  # the part that the worst server loses at a time; the paper's figure
LOCAL_EXCESS = 1.25  # how far above the fleet's mean the own zone may be loaded to save crossings
LOCAL_LOAD = 0.35  # of a core, for each core that is listed: how far it may be loaded for that at all
GROUP_EXCESS = 1.1  # how far above its area's mean a server may be loaded to keep a group whole
KEY_EXCESS = 1.5  # and to be found again by a key
GROUP_WALK = 16  # places of the ring that a group looks at
LADEN = 0.3  # of a core, for each core that is listed: from where a server may lose what stands on it
EVEN_EXCESS = 1.5  # how far above the fleet's mean it must be for that
DRIFT = 0.8  # of the mean load at the last plan, and its inverse: what the plan allows it
EJECT_FIRST, EJECT_LAST = 1.0, 16.0  # back-off of the probes of an ejected server
HOLDS = 2.0  # a connection that has stood for so long was not dropped as soon as it was up
SLOW_PART, SLOW_LASTS = 1 / 3, 2.5  # of the message aim, where notes begin; seconds, two notes missed
FEW = 2.5  # balancers on an ordinary day (the operators' brief, 1.1)
WELL = 4  # servers that one of many balancers takes to be well besides those that it holds something on
FULL, OVER = 0.85, 0.65  # of what a server can do: nothing more is placed there; by tenants over their share
LEAVE = 0.95  # of the same: what is asked beyond leaves
POPULAR = 3.0  # even parts of what comes that a server may get: shares of groups are guessed from few
AGAIN, SHUNNED = 0.6, 15.0  # of who comes again while cores are missing; seconds in which a server recovers
FORGETS = 0.9  # a second: what is left of the breaks that were seen

NO_FAULT = (Outcome.OK, Outcome.NOT_SENT, Outcome.CANCELLED)  # say nothing against the server


def _rank(s: Server) -> tuple[float, int]:
    """R, then the bare count of failures; sends without any accept rank worst."""
    missed, accepts = s.window.sends - s.window.accepts, s.window.accepts
    return (missed / accepts if accepts else float("inf") if missed else 0.0, missed)


class Balancer:
    """Decides for one balancer. `handle` takes the time and an event and returns the actions to carry out."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.shares = Shares()
        self.configure(settings)
        self.random, self.ask_failures = Random(seed), 0
        self.servers: dict[int, Server] = {}
        self.requests: dict[str, Pending] = {}
        self.active: dict[int, Server] = {}  # servers with a count in the window
        self.own, self.whole = Area(), Area()
        self.restless: dict[int, Server] = {}  # servers that time alone changes: ejected, slow or cold
        self.slot = self.ready = self.cold = 0
        self.dirty, self.raised = True, 0.0  # the plan is out of date; what each ratio has gained since
        self.mean, self.measures, self.planned = 1.0, 0, 1.0  # load of a connection; at the last plan
        self.held = self.typical = self.mine = 0.0  # load carried in all; by a server; by this balancer
        self.bears = self.stand = 0.0  # by reports: what a warm server can do; connections of all balancers
        self.homes, self.short, self.blind = Homes(), Shortage(), 0.0  # part not told of slow ones
        self.broke, self.arrivals = 0.0, Arrivals(SLOTS * TICK)  # breaks seen; requests of late
        self.handlers: dict[type, Callable[..., list[Action] | None]] = {
            Started: self._started,
            TimerFired: self._timer_fired,
            AttemptEnded: self._ended,
            EndpointsChanged: self._servers_changed,
            Request: self._request,
            ConnectionAdopted: self._adopted,
            ConnectionEstablished: self._established,
            ConnectionLoadReported: self._load_note,
            ServerLatencyReported: self._delay_note,
            ClientDisconnected: self._client_gone,
            HealthCheckCompleted: self._probed,
        }

    def configure(self, settings: Settings) -> None:
        """Take settings, at the start or later. Classes and zones keep the numbers that they have."""
        self.settings, self.rules, self.limits = settings, settings.rules, settings.limits
        self.message_latency_objective = max(1e-3, min(c.message_latency_objective for c in settings.classes))
        self.group_cost = settings.session_group_cost if settings.session_groups else 0.0
        self.many = max(0.0, 1 - FEW / settings.balancer_count)  # 0 on an ordinary day
        self.shares.quotas, self.reports = settings.tenant_connection_quotas, told(settings)
        self.seen_by = settings.balancer_count if self.reports else 1  # whose load the sums tell

    def handle(self, now: float, event: Event) -> list[Action]:
        return (self.handlers.get(type(event)) or (lambda *_: None))(now, event) or []

    def _started(self, now: float, event: Started) -> list[Action]:
        tick = SetTimer("tick", self.random.uniform(0.0, TICK))  # lest all cut the same server together
        watch = SetTimer("watch", self.random.uniform(0.0, self.rules.poll_interval / 2))
        return [tick, watch] if self.settings.polls_discovery else [tick]

    def _timer_fired(self, now: float, event: TimerFired) -> list[Action]:
        if event.timer == "tick":
            return [SetTimer("tick", TICK), *self._tick(now)]
        return [WatchEndpoints()] if event.timer == "watch" else []

    # ------------------------------------------------------------ fleet list

    def _servers_changed(self, now: float, event: EndpointsChanged) -> list[Action]:
        if event.scope is EndpointUpdateScope.FAILED:
            self.ask_failures += 1
            longest = self.rules.poll_interval if self.settings.polls_discovery else 0.0  # an agent is free
            wait = min(max(1.0, longest), 0.5 * 2 ** min(self.ask_failures, 10))
            return [SetTimer("watch", self.random.uniform(wait / 2, wait))]
        self.ask_failures = 0
        joined: list[Server] = []  # or left
        if event.scope is not EndpointUpdateScope.INCREMENTAL:
            named = {e.server for e in event.endpoints}
            joined = [self.servers.pop(n) for n in list(self.servers) if n not in named]
        for e in event.endpoints:
            s = self.servers[e.server] = self.servers.get(e.server) or Server(e, self.random.random())
            if e.started_at != s.started or (e.state is ServerState.READY) != s.ready:
                joined.append(s)
            s.update(e, self.settings.core_speeds)
            if e.state is ServerState.GONE:  # forgotten, lest a long life gather all that ever ran
                del self.servers[e.server]
        if joined:
            self._join(now, joined)
        self.dirty = True
        self.homes.clear()
        return self._ask(now)

    def _join(self, now: float, joined: list[Server]) -> None:
        """Servers enter at the mean ratio with a clean record, others leave; all are scaled to sum to 1."""
        for s in joined:
            s.ready = s.ready and s.id in self.servers
            s.ratio, s.fails, s.ejected_until, s.slow_until, s.drops = 0.0, 0, 0.0, 0.0, False
        ready = [s for s in self.servers.values() if s.ready]
        old = [s.ratio for s in ready if s.ratio]
        for s in ready:
            s.ratio = s.ratio or (sum(old) / len(old) if old else 1.0)
        self.ready, total = len(ready), sum(s.ratio for s in ready)
        for s in ready:
            s.ratio /= total
        self.own.ring, self.whole.ring = [], []
        for s in joined:
            self._place(now, s)
        self._look(now)

    def _warmth(self, now: float, s: Server) -> float:
        """The least part of its capacity that a server has by now."""
        return self.rules.capacity_fraction(now - s.started) if s.started else 1.0

    def _cold(self, now: float, r: Pending, s: Server) -> bool:
        """Guards against all balancers together pushing a cold server over: each lets so much of what comes,
        at random, go to cold ones that all keep the rule."""
        if (warmth := self._warmth(now, s)) >= 1.0:
            return False
        listed = s.weight if self.measures and self.settings.weights_are_sizes else 0.0
        full = self.bears or listed or self.typical * self.settings.balancer_count / self.seen_by
        may = self.rules.overload_multiple * full * warmth / self.rules.slow_start_duration
        may = max(may, 0.1 * self.mean / max(1.0, self.rules.overload_window), 1e-9)  # the law lets two pass always
        one = self.settings.balancer_count * self.mean  # what all send if each sends one
        if r.few:  # an even part of its group, and for the other groups that are at home there one of all
            part = self.homes.share(r.ask.session_group, 2) / r.few + 1 / max(1, self.ready)
        else:  # to any that this balancer holds nothing on, or all of a group to the first of its walk
            looks = self.ready / max(1, self.ready - len(self.requests))
            part = min(looks / max(1, self.ready), 1 / max(1, self.cold))
            part = POPULAR * max(part, self.homes.share(r.ask.session_group, 0))
        asked = one * self.arrivals.rate() * part
        r.draw = r.draw or self.random.random()  # one for all cold servers that it meets
        alone = now < s.filled_at + (self.mean if r.few else 2 * one) / may
        return r.held_back(alone or r.draw * asked >= may)

    # ------------------------------------------------------------ counters and ratios

    def _tick(self, now: float) -> list[Action]:
        worst = max((s for s in self.active.values() if s.ready), key=_rank, default=None)
        if worst and _rank(worst)[1] and self.ready > 1:
            cut = DELTA * (worst.ratio + self.raised)
            worst.ratio -= cut + cut / (self.ready - 1)
            self.raised += cut / (self.ready - 1)
            self._place(now, worst)
        for s in self.servers.values():
            if s.drops and any(now >= r.up_at + HOLDS for r in s.holds.values() if r.up_at > s.dropped_at):
                s.drops, s.fails, s.ejected_until = False, 0, 0.0
        for s in list(self.restless.values()):
            if s.holds and now > s.noted_at + SLOW_LASTS:  # what stands there has no more to tell
                s.slow_until = min(s.slow_until, now)
            if self.slot % 2 or s.fit != (s.ejected_until <= now and s.slow_until <= now):  # warmth can wait
                self._place(now, s)
        self._look(now)
        self.broke *= FORGETS
        self.arrivals.tick()
        self.slot = (self.slot + 1) % SLOTS
        for s in list(self.active.values()):
            if not s.window.clear(self.slot):
                del self.active[s.id]
        level = self.held / max(1, self.ready)
        self.typical = self.typical + (level - self.typical) / SLOTS if self.typical else level
        if self.dirty or not self.slot and self.raised:  # raises and listed weights can wait
            self._plan(now)
        return [*self._ask(now), *self._even(now), *self._weed(now)]

    def _ask(self, now: float) -> list[Action]:
        """Probe the servers whose turn it is, new ones at once."""
        every = probe_every(self.settings, self.ready, self.arrivals.seen()) - TICK / 2
        return [
            CheckHealth(s.id) for s in self.servers.values() if self.reports and s.ready and s.told.due(now, every)
        ]

    def _probed(self, now: float, event: HealthCheckCompleted) -> list[Action]:
        """A server told what is asked of it. What it can't do leaves, and waits while others can't either."""
        s, each = self.servers.get(event.server), self.mine / max(1, len(self.requests)) or self.mean
        usual = self.bears * (self._warmth(now, s) if s else 0.0) or 1.0
        if s is None or not self.reports or not s.told.take(event.report, s.mine, each, usual):
            return []
        can = s.told.capacity
        if can and self._warmth(now, s) >= 1.0:
            self.bears += (can - self.bears) / (SLOTS if self.bears else 1)
        self._recount(s)
        return self._move(now, s, 1 - LEAVE * can / s.carried) if can and s.carried else []

    def _even(self, now: float) -> list[Action]:
        """Loads swing after a connection was placed: of servers that carry much for their cores, the one with
        most for its share loses up to DELTA of what it holds a tick, while that is far over the mean."""
        laden = [s for s in self.servers.values() if s.holds and s.share and s.carried > LADEN * s.share * self.ready]
        level = self.whole.level() if laden and self.measures and not self.short.missing else 0.0
        if not 0 < level < float("inf"):
            return []
        s = max(laden, key=lambda s: s.key)
        return self._move(now, s, DELTA * min(1.0, s.key / (EVEN_EXCESS * level) - 1))

    def _weed(self, now: float) -> list[Action]:
        """Guards against a few heavy connections taking most of what all can do: while the list tells that
        cores are missing, or servers drop what they hold, who asks for more than its part leaves."""
        blind = self.many * (self._sparse() and self.settings.weights_are_sizes and not self.reports)
        listed = [(s.weight, s.weight * self._warmth(now, s) * s.ready) for s in self.servers.values()]
        mean = self.mean if self.measures >= SLOTS else 0.0  # else told by too few
        self.short.reckon(listed, self.settings.balancer_count * len(self.requests), blind, self.broke, mean)
        heavy = [r for r in self.requests.values() if r.stands and (r.load or 0.0) > self.short.light]
        return [Migrate(r.ask.request_id) for r in heavy if r.server and self._leaves(r.server, r.ask.request_id)]

    def _leaves(self, s: Server, id: str) -> bool:
        """Whether a connection is now asked to leave: each is asked once."""
        return s.holds.pop(id, None) is not None

    def _count(self, s: Server, accepted: bool) -> None:
        self.active[s.id] = s
        s.window.count(self.slot, accepted)

    def _delay_note(self, now: float, event: ServerLatencyReported) -> list[Action] | None:
        """A server that accepts yet answers late: a send without accept, nothing new, and part leaves."""
        if (s := self.servers.get(event.server)) is None:
            return None
        slow = event.latency >= self.message_latency_objective * SLOW_PART
        lasts = SLOW_LASTS * max(1.0, self.settings.balancer_count / FEW)  # all try it as often as a few would
        s.noted_at, s.slow_until, was = now, now + lasts if slow else now, s.slow_until > now
        if slow != was:
            self._place(now, s)
        self._count(s, not slow)
        # Only balancers that hold something there are told; the others still send newcomers.
        part = DELTA * (1 + self.blind) * min(1.0, event.latency / self.message_latency_objective)
        return self._move(now, s, part) if slow else None

    # ------------------------------------------------------------ rotation

    def _charge(self, s: Server, r: Pending, sign: int) -> None:
        """A connection costs its load while it lasts, so that shares hold for load, not arrivals."""
        self.shares.count(r.ask.tenant, sign)
        if r.load is None:
            s.unknown += sign
        else:
            s.known += sign * r.load
        if r.ask.session_group is not None:
            s.groups[r.ask.session_group] += sign
            if not s.groups[r.ask.session_group]:
                del s.groups[r.ask.session_group]
        self._recount(s)

    def _recount(self, s: Server) -> None:
        before, s.carried = s.carried, self._weigh(s)
        self.held += s.carried - before
        if s.share:
            for area in self._areas(s):
                area.carried += (s.carried - before) * s.fit
            self._queue(s)

    def _weigh(self, s: Server) -> float:
        mine = s.known + (s.unknown + self.group_cost * len(s.groups)) * self.mean
        self.mine, s.mine = self.mine + mine - s.mine, mine
        return s.told.now(mine, self.seen_by) if self.reports else mine

    def _queue(self, s: Server) -> None:
        s.key = (s.carried + s.phase * self.mean) / s.share
        for area in self._areas(s):
            heappush(area.heap, (s.key, s.id, s))

    def _areas(self, s: Server) -> tuple[Area, ...]:
        return (self.own, self.whole) if s.zone == self.settings.zone else (self.whole,)

    def _measure(self, now: float, load: float) -> None:
        self.measures = min(self.measures + 1, 100)  # the mean follows a change of traffic
        self.mean += (load - self.mean) / self.measures
        if not DRIFT * self.planned <= self.mean <= self.planned / DRIFT:
            self._plan(now)  # places worked out with another mean make servers without a load look laden

    def _look(self, now: float) -> None:
        """How many of the servers that hold connections of this balancer, all it can judge by, are slow."""
        held, slow = Counter[Area](), Counter[Area]()
        self.stand = sum(s.told.held for s in self.servers.values())
        self.cold = sum(s.ready and self._warmth(now, s) < 1.0 for s in self.servers.values())
        for s in self.servers.values():
            if s.holds or s.slow_until > now and now <= s.noted_at + SLOW_LASTS:  # or has just shed all
                for area in self._areas(s):
                    held[area] += 1
                    slow[area] += s.slow_until > now
        for area in (self.own, self.whole):  # others are held to be well, lest one of few be all
            area.slow = slow[area] / (held[area] + 1 + WELL * self._sparse())
        self.blind = self.many * max(0.0, 1 - held[self.whole] / max(1, self.ready))

    def _place(self, now: float, s: Server) -> None:
        """Give a server its share, its turn and its part in its areas' sums as they are now."""
        if s.fit:
            for area in self._areas(s):
                area.count(s, -1)
        warmth = self._warmth(now, s)
        # Live weights fall as 1 / (1 + load held): squared, lest slow kinds settle at too high a load.
        weight = max(0.0, s.weight) ** (1 + self.settings.live_weights)
        if self.reports:  # they tell what it can do now, cold or not
            weight, warmth = s.told.capacity or (self.bears or 1.0) * warmth, 1.0
        s.share = (s.ratio + self.raised) * weight * warmth if s.ready else 0.0
        s.fit = s.share > 0 and s.ejected_until <= now and s.slow_until <= now
        if s.fit:
            for area in self._areas(s):
                area.count(s, 1)
        self.restless.pop(s.id, None)
        if s.ready and (warmth < 1.0 or not s.fit):
            self.restless[s.id] = s
        if s.share:
            self._queue(s)

    def _plan(self, now: float) -> None:
        """Lay out the whole rotation anew."""
        self.dirty, self.held, raised, self.raised, self.planned = False, 0.0, self.raised, 0.0, self.mean
        for area in (self.own, self.whole):
            area.fit, area.share, area.carried, area.heap = 0, 0.0, 0.0, []
        for s in self.servers.values():
            s.ratio += raised
            s.carried, s.fit = self._weigh(s), False
            self.held += s.carried
            self._place(now, s)

    def _pick(self, now: float, r: Pending) -> Server | None:
        areas = [self.own, self.whole] if not r.few and self._local() else [self.whole]
        for lax in range(3):  # slow servers too, then all that may be sent to
            for area in areas:
                s = None if lax else self._home(now, area, r)
                if s or r.why is RejectReason.AFFINITY_SERVER_WARMING_UP or (s := self._due(now, area.heap, r, lax)):
                    return s
        return None

    def _local(self) -> bool:
        """Whether to save a crossing: not where a small zone would be buried under its own clients, and from
        some load on not at all: clients of a balancer that has gone leave room that can't be seen here."""
        own, share = self.own, self.own.share * self.ready  # by listed cores, but for cuts
        others = max(1.0, self.settings.balancer_count / FEW / self.seen_by)  # if each carries as much
        busy = self.measures and own.carried * others > LOCAL_LOAD * share
        return (
            own.fit > 0 and not busy and own.level() <= LOCAL_EXCESS * self.settings.zone_count * self.whole.level()
        )

    def _home(self, now: float, area: Area, r: Pending) -> Server | None:
        """Each server that holds any of a group pays for it: its members go to the homes that the list tells,
        or to the first of their walk round the ring that is not ahead of the rotation by a bounded excess.
        Where packets pass through, keys do the same: at another balancer a connection finds its server."""
        key = (
            r.ask.affinity_key if r.ask.session_group is None and self.settings.pass_through else r.ask.session_group
        )
        if key is None or not area.fit:
            return None
        if r.few:
            walk = self.homes.walk(key, self.servers.values())
            walk = (s for s in walk if s.shunned_until <= now and s.id not in r.tried)
            homes = sorted(islice(walk, r.few), key=lambda s: s.key)
            if self.short.missing:  # while servers come and go, a client finds its home again
                homes = choose(r.ask.affinity_key or self.random.getrandbits(32), homes)
            waits = r.ask.reconnecting and not r.attempts and self.random.random() < AGAIN
            if waits and homes and homes[0].fit and self._cold(now, r, homes[0]):
                r.why = RejectReason.AFFINITY_SERVER_WARMING_UP  # what its home can't take yet would push others over
                return None
            return next((s for s in chain(homes, walk) if s.fit and self._may_send(now, r, s)), None)
        limit = (KEY_EXCESS if r.ask.session_group is None else GROUP_EXCESS) * area.level()
        if not area.ring:
            area.ring = sorted(p for s in {e[2].id: e[2] for e in area.heap}.values() for p in s.points)
        ring, start = area.ring, bisect(area.ring, (hash((key, RING_POINTS)), 0))
        for i in range(start, start + min(len(ring), GROUP_WALK)):
            s = ring[i % len(ring)][2]
            if s.fit and s.key <= limit and s.id not in r.tried and self._may_send(now, r, s):
                return s
        return None

    def _sparse(self) -> bool:
        """Whether what is carried here says next to nothing of servers: one of many, with few connections."""
        return self.many > 0 and len(self.requests) < self.ready

    def _due(self, now: float, heap: Heap, r: Pending, lax: int) -> Server | None:
        passed, chosen = [], None
        while heap and chosen is None:
            entry = heappop(heap)
            s = entry[2]
            if entry[0] == s.key and s.ready:  # else an older place of this server
                passed.append(entry)
                fit = s.fit or lax and s.ejected_until <= now
                if (lax > 1 or fit and s.id not in r.tried) and self._may_send(now, r, s):
                    chosen = s
        for entry in passed:
            heappush(heap, entry)
        return chosen

    def _move(self, now: float, s: Server, part: float) -> list[Action]:
        """Ask part of a server's connections to come again, first those that free most: heavy ones, the last
        of a group."""

        def frees(id: str) -> float:
            r = s.holds[id]
            alone = (
                0.0 if r.ask.session_group is None else self.group_cost * self.mean / s.groups[r.ask.session_group]
            )
            return (self.mean if r.load is None else r.load) + alone

        count = int(part * len(s.holds) + self.random.random()) if part > 0 else 0
        going = sorted(s.holds, key=frees, reverse=True)[:count]
        return [Migrate(id) for id in going if self._leaves(s, id)]

    # ------------------------------------------------------------ attempts of a request

    def _request(self, now: float, event: Request) -> list[Action]:
        if event.request_id in self.requests or not 0 <= event.class_index < len(self.settings.classes):
            return []
        r = self.requests[event.request_id] = Pending(event, now + event.time_left)
        if r.load is not None:
            self._measure(now, r.load)
        self.homes.note(r.ask.session_group)
        # A fleet pushed past its load serves nobody well: from a sixth slow some wait, from a third all.
        # And what a server has dropped, or was too heavy, holds others down if all come back at once.
        storm = event.reconnecting * max(self.many * self.broke / (1 + self.broke), AGAIN * self.short.missing)
        over = self.shares.over(event.tenant, len(self.requests), self.stand, self.settings.balancer_count)
        r.limit, why = (OVER, RejectReason.OVER_QUOTA) if over else (FULL, RejectReason.OVERLOAD)
        if (draw := self.random.random()) < max(slow := 6 * self.whole.slow * (1 + over) - 1, storm):
            return self._give_up(now, r, why if draw < slow else RejectReason.RETRY_STORM)
        self.arrivals.count()
        return self._attempt(now, r)

    def _may_send(self, now: float, r: Pending, s: Server) -> bool:
        """Whether an attempt there can have no second effect and push no cold server over."""
        cls, first = self.settings.classes[r.ask.class_index], r.ran_on
        if first is not None and cls.idempotency is not Idempotency.IDEMPOTENT:
            same = (
                s.zone == first.zone if cls.deduplication_scope is DeduplicationScope.ZONE else s.cell == first.cell
            )
            if (
                not cls.allows_retry_after(now - r.ran_at)
                or not same
                and cls.deduplication_scope is not DeduplicationScope.ALL
            ):
                return False
        return not self._cold(now, r, s) and (not s.told.capacity or s.carried <= r.limit * s.told.capacity)

    def _attempt(self, now: float, r: Pending) -> list[Action]:
        left, spent, r.why = (
            r.deadline - now,
            r.attempts >= self.limits.max_attempts,
            RejectReason.NO_AVAILABLE_SERVER,
        )
        r.few = (
            self.homes.count(r.ask.session_group, self.ready)
            if r.ask.session_group is not None and self._sparse()
            else 0
        )
        s = self._pick(now, r) if left > 0 and not spent else None
        if s is None:
            return self._give_up(now, r, r.unsent(left, spent))
        r.attempts, r.sent_at, r.server, r.tried = r.attempts + 1, now, s, [*r.tried, s.id]
        s.filled_at = now
        if s.ejected_until:  # a half-open probe: no other attempt until it has ended
            s.ejected_until = max(s.ejected_until, now + left)
            self._place(now, s)
        self._charge(s, r, 1)
        return [StartAttempt(r.ask.request_id, s.id, left)]

    def _established(self, now: float, event: ConnectionEstablished) -> None:
        r = self.requests.get(event.request_id)
        if r is not None and r.server is not None and r.attempts == event.attempt + 1 and not r.stands:
            self._accept(now, r, r.server, event.latency)
            r.server.holds[event.request_id] = r

    def _accept(self, now: float, r: Pending, s: Server, latency: float) -> None:
        r.stands, r.up_at = True, now
        if s.drops or s.fails:  # of one that dropped some the ejection is over when the connection has held
            s.fails, s.ejected_until = (s.fails, now + HOLDS) if s.drops else (0, 0.0)
            self._place(now, s)
        self._count(s, latency <= self.settings.classes[r.ask.class_index].latency_objective)

    def _ended(self, now: float, event: AttemptEnded) -> list[Action]:
        r = self.requests.get(event.request_id)
        if r is None or r.server is None or r.attempts != event.attempt + 1:
            return []
        s, outcome = r.server, event.outcome
        self._release(r, s)
        if outcome is Outcome.OK and not r.stands:
            self._accept(now, r, s, event.latency)
        elif outcome not in NO_FAULT:
            self._count(s, False)
            if r.stands and outcome is Outcome.CONNECTION_LOST:
                self.broke, s.shunned_until = self.broke + s.ready, now + SHUNNED * (self.short.missing > 0)
            # One trim a tick is too slow for a server that is gone, or fails at once and so is always due.
            failed = not r.stands and outcome is not Outcome.TIMED_OUT  # that may be the store's doing
            if r.stands and outcome is Outcome.CONNECTION_LOST and now < r.up_at + HOLDS:
                # Guards against a server that takes connections and drops them at once: it carries nothing,
                # so it would always be due, and its clients would come back to it for ever.
                failed, s.drops, s.dropped_at = True, True, now
            s.fails += failed
            if failed and (outcome is Outcome.UNREACHABLE or s.fails > 1):
                wait = min(EJECT_LAST, EJECT_FIRST * 2 ** min(s.fails - 1, 10))
                s.ejected_until = now + wait * self.random.uniform(0.75, 1.25)
                self._place(now, s)
        if event.finished or r.stands:
            del self.requests[event.request_id]
            return []
        if not outcome.known_not_executed and r.ran_on is None:
            r.ran_on, r.ran_at = s, r.sent_at
        return self._attempt(now, r)

    def _release(self, r: Pending, s: Server) -> None:
        self._charge(s, r, -1)
        s.holds.pop(r.ask.request_id, None)
        r.server = None

    def _adopted(self, now: float, event: ConnectionAdopted) -> None:
        s, id = self.servers.get(event.server), event.request.request_id
        if s is not None and id not in self.requests:
            r = self.requests[id] = s.holds[id] = Pending(event.request, float("inf"))
            r.attempts, r.server, r.stands = 1, s, True
            self.homes.note(r.ask.session_group)
            self._charge(s, r, 1)

    def _load_note(self, now: float, event: ConnectionLoadReported) -> list[Action]:
        r = self.requests.get(event.request_id)
        if r is not None and r.server is not None:
            if r.load is None:
                self._measure(now, event.load)
            self._charge(r.server, r, -1)
            r.load = event.load
            self._charge(r.server, r, 1)
            if r.load > self.short.light and self._leaves(r.server, event.request_id):
                return [Migrate(event.request_id)]
        return []

    def _client_gone(self, now: float, event: ClientDisconnected) -> None:
        r = self.requests.pop(event.request_id, None)
        if r is not None and r.server is not None:
            self._release(r, r.server)

    # ------------------------------------------------------------ refusals

    def _give_up(self, now: float, r: Pending, why: RejectReason) -> list[Action]:
        """The final answer of a request that is not placed. A refusal says that a repeat is harmless."""
        del self.requests[r.ask.request_id]
        if r.ran_on is not None and not self.settings.classes[r.ask.class_index].client_may_retry:
            return [Fail(r.ask.request_id)]
        wait = self.random.uniform(0.2, 1.0) * self.limits.max_retry_after if self.limits.retry_after_allowed else 0.0
        return [Reject(r.ask.request_id, wait, why)]
