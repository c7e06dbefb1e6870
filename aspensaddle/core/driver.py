"""Drives one `Balancer`: owns it, its clock and its timers, and knows no wire.

A front hands in what happens, by request id. What the balancer decides goes to the `Owner` of the request it
concerns, or to the `Services` of the process. Calls come from one thread, and an owner or service that is
told something only notes it down: it never calls back from within.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from heapq import heappop, heappush
from statistics import median
from typing import Protocol, TypeAlias

import aspensaddle.core.interface as api
from aspensaddle.core.balance import Balancer

NOTE_EVERY = 1.0  # a slow server is told of once a second, as on the simulator's wire
SLOW_PART = 1 / 3  # of the shortest message aim: where notes of slow messages begin
CLOSED_AGAIN = 0.45  # who is given up as the process ends comes again once the front has left it (PROTOCOL: 0.4 s)
DUE_SLIP = 0.001  # an end this close to its deadline is the deadline's own

RequestAction: TypeAlias = api.Send | api.Refuse | api.Fail | api.Cancel | api.Move


class Owner(Protocol):
    """What holds a request in a front."""

    def act(self, action: RequestAction) -> None: ...
    def waits(self) -> bool:
        """Whether somebody still waits for the answer, looked up anew on the wire where that can be seen."""


class Services(Protocol):
    """What a process does for its balancer beside the requests."""

    def watch(self, on: bool) -> None: ...
    def fetch(self) -> None: ...
    def probe(self, server: int) -> None: ...
    def timer_set(self) -> None:
        """A timer may now be due earlier than before."""


def unix_clock() -> Callable[[], float]:
    """Unix time that only goes forward at an even pace, whatever is done to the wall clock after the start.

    Starts of servers are told in Unix time, so the balancer's clock is that and needs no conversion.
    """
    offset = time.time() - time.monotonic()
    return lambda: time.monotonic() + offset


@dataclass(slots=True)
class _Pending:
    """A request in hand, or the connection it became."""

    owner: Owner
    cls: int
    deadline: float
    attempt: int = -1
    server: int = -1
    sent_at: float = 0.0
    begun: bool = False  # the attempt that is out may have sent its first byte
    ran_at: float | None = None  # when the first attempt that may have run was sent


class _Delays:
    """The waits for lines to come back from one server, since its last note."""

    __slots__ = ("waits", "slow", "id", "noted_at")

    def __init__(self) -> None:
        self.waits: list[float] = []
        self.slow = False
        self.id = ""
        self.noted_at = 0.0


class Driver:
    def __init__(
        self, settings: api.Settings, seed: int, services: Services, clock: Callable[[], float] | None = None
    ) -> None:
        self.settings, self.services = settings, services
        self.balancer = Balancer(settings, seed)
        self._clock = clock or unix_clock()
        self._last = 0.0
        self._timers: list[tuple[float, int, str]] = []
        self._count = 0
        self._pending: dict[str, _Pending] = {}
        self._ready: set[int] = set()
        self._last_send = float("inf")  # by the clock
        self._delays: dict[int, _Delays] = {}
        self._late = 0.0  # how late this process itself has been of late, seconds
        self._slow = SLOW_PART * min(c.message_aim for c in settings.classes)

    def configure(self, settings: api.Settings) -> None:
        """Other settings from now on; what is known and in hand stays."""
        self.settings = settings
        self.balancer.configure(settings)
        self._slow = SLOW_PART * min(c.message_aim for c in settings.classes)

    # ------------------------------------------------------------ time

    def now(self) -> float:
        self._last = max(self._last, self._clock())
        return self._last

    def next_timer(self) -> float | None:
        """Seconds until a timer is due."""
        return max(0.0, self._timers[0][0] - self.now()) if self._timers else None

    def run_timers(self) -> None:
        now = self.now()
        while self._timers and self._timers[0][0] <= now:
            self._feed(api.TimerFired(heappop(self._timers)[2]))

    # ------------------------------------------------------------ the list

    def start(self, entries: Iterable[api.ServerEntry]) -> None:
        """Start with the list as last held, which may be old."""
        self._feed(api.Started())
        self.servers(api.ListScope.SAVED, tuple(entries))

    def servers(self, scope: api.ListScope, entries: tuple[api.ServerEntry, ...] = ()) -> None:
        if scope is not api.ListScope.FAILED:
            if scope is not api.ListScope.CHANGES:
                self._ready.clear()
            for e in entries:
                if e.state is api.ServerState.READY:
                    self._ready.add(e.server)
                else:
                    self._ready.discard(e.server)
        self._feed(api.ServersChanged(scope, entries))

    # ------------------------------------------------------------ requests

    def __contains__(self, id: str) -> bool:
        return id in self._pending

    def request(self, owner: Owner, request: api.Request) -> None:
        """Place a request. Its id must not be in hand already."""
        now = self.now()
        self._pending[request.id] = _Pending(owner, request.cls, now + request.time_left)
        self._feed(request, now)

    def may_begin(self, id: str) -> bool:
        """The one check right before the first byte of an attempt; the front writes it at once if this is true.

        Guards against what came between the choice of the server and a connection that is up: the server was
        told to drain or has left, the client has left, the process is past its last send, the time for repeats
        is over, or the request's own.
        """
        pending, now = self._pending.get(id), self.now()
        if pending is None or pending.server not in self._ready or now >= min(pending.deadline, self._last_send):
            return False
        if pending.ran_at is not None and not self.settings.classes[pending.cls].repeat_open(now - pending.ran_at):
            return False
        pending.begun = pending.owner.waits()
        return pending.begun

    def last_send_within(self, seconds: float) -> None:
        """The process ends: no attempt begins later than this. What is still to be sent then is given up."""
        self._last_send = min(self._last_send, self.now() + seconds)

    def give_up(self, id: str) -> None:
        """End a request that this process, which ends, can't serve any more, with the answer that its class and
        what may have run allow."""
        if (pending := self._pending.pop(id, None)) is None:
            return
        ran = pending.begun or pending.ran_at is not None
        harmless = not ran or self.settings.classes[pending.cls].harmless_again
        self._feed(api.ClientGone(id))
        limits = self.settings.limits
        wait = min(CLOSED_AGAIN, limits.max_retry_after) if limits.retry_after else 0.0
        pending.owner.act(api.Refuse(id, wait, api.Why.STOPPING) if harmless else api.Fail(id))

    def adopted(self, owner: Owner, request: api.Request, server: int) -> None:
        """A connection that already flowed before this process began."""
        self._pending[request.id] = _Pending(owner, request.cls, float("inf"), 0, server)
        self._feed(api.Adopted(request, server))

    def established(self, id: str) -> None:
        if pending := self._pending.get(id):
            now = self.now()
            self._feed(api.Established(id, pending.attempt, pending.server, now - pending.sent_at), now)

    def ended(self, id: str, outcome: api.Outcome, finished: bool = False) -> None:
        """The attempt that is out, or the connection that it became, has ended."""
        if pending := self._pending.get(id):
            now = self.now()
            if now < pending.deadline <= now + DUE_SLIP:
                # Guards against a time-out that wakes a hair early and buys an attempt of no length.
                now = self._last = pending.deadline
            if not outcome.proven_unrun and pending.ran_at is None:
                pending.ran_at = pending.sent_at
            pending.begun = False
            if finished:
                del self._pending[id]
            self._feed(api.Ended(id, pending.attempt, pending.server, outcome, now - pending.sent_at, finished), now)

    def gone(self, id: str) -> None:
        """Nobody waits for the request any more."""
        if self._pending.pop(id, None):
            self._feed(api.ClientGone(id))

    def load(self, id: str, load: float) -> None:
        if pending := self._pending.get(id):
            self._feed(api.LoadNote(id, pending.server, load))

    def delay(self, id: str, delay: float) -> None:
        """The runner itself says that a message takes this long there now."""
        if pending := self._pending.get(id):
            self._feed(api.DelayNote(id, pending.server, delay))

    def probed(self, server: int, outcome: api.Outcome, latency: float, report: api.Report | None = None) -> None:
        self._feed(api.ProbeResult(server, outcome, latency, report))

    def late(self, by: float) -> None:
        """This process came to something so many seconds after it was due. It forgets half of that each time."""
        self._late = max(by, self._late / 2)

    def waited(self, id: str, wait: float) -> None:
        """A line came back on a connection after this long, or has been out so long already."""
        if not (pending := self._pending.get(id)):
            return
        delays = self._delays.setdefault(pending.server, _Delays())
        delays.waits.append(wait)
        now = self.now()
        if now < delays.noted_at + NOTE_EVERY:
            return
        # The median guards against one line that was late for a reason of its own, or of this process.
        # What this process was late itself says nothing of a server: under load it would call all of them slow.
        delay = max(0.0, median(delays.waits) - self._late)
        delays.waits.clear()
        delays.noted_at = now
        slow, was = delay > self._slow, delays.slow
        delays.slow = slow
        if slow or was:
            self._feed(api.DelayNote(id, pending.server, delay), now)

    def beliefs(self) -> dict[int, dict[str, float]]:
        """What is believed of each server, to be held against what really passes on its connections."""
        now = self.now()
        return {
            s.id: {
                "connections": len(s.holds),
                "load": round(s.carried, 4),
                "share": round(s.share, 4),
                "sends": s.window.sends,
                "accepts": s.window.accepts,
                "ejected": round(max(0.0, s.ejected_until - now), 2),
                "slow": round(max(0.0, s.slow_until - now), 2),
            }
            for s in self.balancer.servers.values()
        }

    # ------------------------------------------------------------ routing

    def _feed(self, event: api.Event, now: float | None = None) -> None:
        now = self.now() if now is None else now
        for action in self.balancer.handle(now, event):
            self._route(now, action)

    def _route(self, now: float, action: api.Action) -> None:
        match action:
            case api.SetTimer():
                self._count += 1
                heappush(self._timers, (now + action.delay, self._count, action.token))
                self.services.timer_set()
            case api.WatchList():
                self.services.watch(action.on)
            case api.FetchList():
                self.services.fetch()
            case api.Probe():
                self.services.probe(action.server)
            case api.Tell() | api.CloseIdle():
                pass  # balancers share nothing here, and no connection is kept idle
            case _:
                self._route_request(now, action)

    def _route_request(self, now: float, action: RequestAction) -> None:
        pending = self._pending.get(action.id)
        if pending is None:
            return
        if isinstance(action, api.Send):
            if now >= self._last_send:
                self.give_up(action.id)
                return
            pending.attempt, pending.server, pending.sent_at = pending.attempt + 1, action.server, now
        elif isinstance(action, api.Refuse | api.Fail):
            del self._pending[action.id]
        pending.owner.act(action)
