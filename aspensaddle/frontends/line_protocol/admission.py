"""Who holds the descriptors for clients, and in which stage of its life each connection is.

A connection waits (its first line has not come), asks (a valid OPEN, until the last byte of its answer is out) or
lingers (its answer is out and its sending ended; it is read out until the client has ended too). Nobody but its own
task writes to it or closes it: it is told to, by a scope, and those with an answer to come are never told. Those who
wait or linger have shares of their own and a bounded stay, so those who say nothing, however many, keep out nobody
who asks. `docs/shutdown.md` has the stages, `docs/descriptors.md` the sum.
"""

from __future__ import annotations

import resource
from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum

import trio

from aspensaddle.frontends.line_protocol.link import Link
from aspensaddle.support.counters import Counters

BATCH = 16  # connections accepted before those that are there have their turn
# Beside clients, runners and probes: standard streams 3, the loop 5, listener 1, discovery's calls 3, a file that is
# read 2; and a batch of those who were told that they are over their share and have not gone yet.
FIXED = 14 + BATCH
LEAST_ASIDE = 8  # of those who wait, and of those who linger
FIRST_LINE_WITHIN = 2.0  # from the accept on, whatever comes; the pages owe a client 3 s from its connect on
LINGER_WITHIN = 0.7  # a connection whose runner has ended has to be ended within a second


class Stage(Enum):
    WAITING = "waiting"
    ASKING = "asking"
    LINGERING = "lingering"


class Stay:
    """One connection's stay."""

    __slots__ = ("link", "stage", "first", "ending", "turned_out")

    def __init__(self, link: Link) -> None:
        now = trio.current_time()
        self.link, self.stage = link, Stage.WAITING
        self.first = trio.CancelScope(deadline=now + FIRST_LINE_WITHIN)  # for its first line
        self.ending = trio.CancelScope(shield=True)  # for its reading out
        self.turned_out = False  # before its first line came


class Admission:
    def __init__(self, counters: Counters, sockets: int, reserve: int = 0) -> None:
        self._counters = counters
        self._stages: dict[Stage, dict[Stay, None]] = {stage: {} for stage in Stage}  # each the oldest first
        self._over = False
        self.configure(sockets, reserve)

    def configure(self, sockets: int, reserve: int = 0) -> None:
        """Lay out the shares of what `reserve` leaves. What the machine allows counts too, where it is less than
        what the platform says."""
        most = min(sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0]) - reserve - FIXED
        room = max(2 + 2 * LEAST_ASIDE, most)
        # A third of the descriptors may be held by clients with requests, and each may need one to a runner.
        self.most_asking = max(1, min((most + FIXED) // 3, (room - 2 * LEAST_ASIDE) // 2))
        aside = room - 2 * self.most_asking
        self.most_waiting, self.most_lingering = aside - aside // 2, aside // 2

    def count(self, stage: Stage) -> int:
        return len(self._stages[stage])

    @property
    def open(self) -> int:
        return sum(map(len, self._stages.values()))

    @property
    def asking(self) -> int:
        return self.count(Stage.ASKING)

    @property
    def full(self) -> bool:
        """Whether one more with a valid OPEN could want for a descriptor to its runner."""
        return self.asking >= self.most_asking

    def room(self, starting: int = 0) -> bool:
        """Whether one more may be accepted: those who were told to go need a moment to be gone. `starting` are
        accepted already and not in a stage yet."""
        aside = self.count(Stage.WAITING) + self.count(Stage.LINGERING) + starting
        return aside < self.most_waiting + self.most_lingering + BATCH

    @contextmanager
    def stay(self, link: Link) -> Iterator[Stay]:
        """A connection's stay, from its accept until it is closed."""
        stay = Stay(link)
        self._stages[Stage.WAITING][stay] = None
        if self._over:
            self._turn_out(stay)
        elif self.count(Stage.WAITING) > self.most_waiting:
            self.turn_out_oldest()
        try:
            yield stay
        finally:
            self._stages[stay.stage].pop(stay, None)

    def ask(self, stay: Stay) -> None:
        """A valid OPEN has come: an answer is owed."""
        self._to(stay, Stage.ASKING)

    def linger(self, stay: Stay, within: float = LINGER_WITHIN) -> None:
        """The last byte of its answer is out."""
        stay.ending.deadline = min(stay.ending.deadline, trio.current_time() + within)
        self._to(stay, Stage.LINGERING)
        if self.count(Stage.LINGERING) > self.most_lingering:
            self.cut_oldest()

    def _to(self, stay: Stay, stage: Stage) -> None:
        self._stages[stay.stage].pop(stay, None)
        stay.stage = stage
        self._stages[stage][stay] = None

    def _turn_out(self, stay: Stay) -> None:
        if not stay.turned_out:
            self._counters.add("turned out")
            stay.turned_out = True
            stay.first.cancel()

    def turn_out_oldest(self) -> None:
        """Have the one that has waited longest for its first line answered and ended."""
        if stay := next((s for s in self._stages[Stage.WAITING] if not s.turned_out), None):
            self._turn_out(stay)

    def turn_out_all(self) -> None:
        """And all that come from now on: the process ends."""
        self._over = True
        for stay in list(self._stages[Stage.WAITING]):
            self._turn_out(stay)

    def cut_oldest(self) -> None:
        """Have the one closed that is being read out for longest."""
        if stay := next((s for s in self._stages[Stage.LINGERING] if not s.ending.cancel_called), None):
            self._counters.add("lingering cut")
            stay.ending.cancel()

    def cut_all(self) -> None:
        for stay in list(self._stages[Stage.LINGERING]):
            stay.ending.cancel()

    def make_room(self) -> None:
        """An accept found no descriptor: the next one has to."""
        self.cut_oldest()
        if not self.count(Stage.LINGERING):
            self.turn_out_oldest()
