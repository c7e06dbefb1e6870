"""What a balancer keeps of servers, areas and requests. Records and sums: nothing here decides anything.

A server's places on the ring are the same at every balancer.
"""

from __future__ import annotations

from collections import Counter
from typing import TypeAlias

from aspensaddle.core.actions import RejectReason
from aspensaddle.core.events import Endpoint, Request, ServerState
from aspensaddle.core.reports import Told
from aspensaddle.core.window import Window

RING_POINTS = 8  # places of a server on the ring, to even out gaps

Heap: TypeAlias = list[tuple[float, int, "Server"]]


class Server:
    """What this balancer knows of one server."""

    def __init__(self, entry: Endpoint, phase: float) -> None:
        self.id, self.zone, self.cell = entry.server, entry.zone, entry.cell
        self.phase = phase  # a random place in the first round, so that balancers do not march in step
        self.ratio = self.share = self.key = 0.0  # r; r by weight and warmth; load at which its turn comes
        self.window, self.told = Window(), Told()  # sends and accepts; its own reports
        self.known, self.unknown, self.mine = 0.0, 0, 0.0  # load told, connections of untold load, both
        self.carried = 0.0  # that, or where reports tell it the load of all balancers
        self.groups = Counter[int]()  # of the connections here, standing or on their way
        self.holds: dict[str, Pending] = {}  # connections that stand
        self.fails, self.ejected_until, self.slow_until, self.noted_at = 0, 0.0, 0.0, 0.0
        self.drops, self.dropped_at, self.filled_at = False, 0.0, 0.0  # as soon as it was up; last sent one
        self.shunned_until = 0.0  # it has dropped a connection
        self.fit = False  # counts in its areas' shares
        self.points = [(hash((self.id, i)), self.id, self) for i in range(RING_POINTS)]  # alike everywhere
        self.weight, self.started, self.ready = 1.0, 0.0, False

    def update(self, entry: Endpoint, speeds: tuple[float, ...]) -> None:
        self.weight, self.started = entry.weight, entry.started_at  # 0: long ago
        if 0 <= entry.machine_type < len(speeds):
            self.weight *= speeds[entry.machine_type]
        self.ready = entry.state is ServerState.READY


class Area:
    """The rotation over the servers of the own zone, or of the whole fleet."""

    def __init__(self) -> None:
        self.ring: list[tuple[int, int, Server]] = []  # the order in which groups look for a home
        self.slow = 0.0  # part of the servers on which this balancer holds connections
        self.fit, self.share, self.carried = 0, 0.0, 0.0  # of the servers that are fit
        self.heap: Heap = []  # the rotation: whose turn comes first

    def level(self) -> float:  # load carried for each part of the share
        return self.carried / self.share / (1 - self.slow) if self.fit and self.slow < 1 else float("inf")

    def count(self, s: Server, sign: int) -> None:
        self.fit += sign
        self.share = self.share + sign * s.share if self.fit else 0.0  # no crumbs of rounding
        self.carried = self.carried + sign * s.carried if self.fit else 0.0


class Pending:
    """A request or the connection it became."""

    def __init__(self, ask: Request, deadline: float) -> None:
        self.ask, self.deadline, self.load, self.draw = ask, deadline, ask.load_hint, 0.0
        self.attempts, self.sent_at, self.stands, self.up_at, self.limit = 0, 0.0, False, 0.0, 1.0
        self.tried: list[int] = []
        self.few = 0  # servers that its group is at home on, where that is reckoned
        self.server: Server | None = None
        self.ran_on: Server | None = None  # where the first attempt that may have run went
        self.ran_at = 0.0
        self.why = RejectReason.NO_AVAILABLE_SERVER  # there is no server for the attempt that is looked for

    def held_back(self, held: bool) -> bool:
        """Note whether the bound on cold servers kept an attempt from one; the same again."""
        if held:
            self.why = RejectReason.SLOW_START_LIMIT
        return held

    def unsent(self, left: float, spent: bool) -> RejectReason:
        """Why no attempt goes out: with so many seconds left, all attempts spent or not, or for want of a server."""
        return RejectReason.ATTEMPTS_EXHAUSTED if spent else self.why if left > 0 else RejectReason.DEADLINE_EXCEEDED
