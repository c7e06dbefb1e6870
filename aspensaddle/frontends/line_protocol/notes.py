"""What a runner's `LOAD X` says: the connection's load, or how long a message takes at the runner.

The settings say that runners send notes of two kinds: the load of the connection, in microseconds of work a
second, and the milliseconds that a message takes there, once a second on one connection of each balancer. The
protocol has one word for both. They are told apart by what each can be:

- The first note of a connection, with its `UP`, is its load: it is told as soon as the connection stands.
- A message takes no longer than a client waits at the longest, since a runner with more work than that piled
  up drops connections. So a figure over the longest deadline, in milliseconds, is a load.
- A figure below that is a delay if it would be a load out of all proportion (`FALL`) to the one before, or if
  the runner's last such figure came a second ago, as delays do. Else it is taken for a load, and taken back
  if the next second shows that it was none.

Measured on six fleet days: figures that several balancers were told at the same moment, and so are delays but for
chance, reached 1,122 to 1,679 on four of them (on two a load happened to be equal). Of figures below 5,000 that were
shared so or came in step, half lay below a fiftieth of the load before; of the other 1,525 changes one in fifty fell
below a twentieth. The labels are these same signs, so this shows how far they agree, not that none is mistaken.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from aspensaddle.core.settings import Settings

FALL = 0.05  # of the load before: loads swing and fall idle, but hardly to less
EVERY, SLIP = 1.0, 0.1  # seconds between two delays of a runner, and how far that may be off on its way


@dataclass(frozen=True, slots=True)
class Load:
    """The connection's load is now this: work a second, in seconds of a standard core."""

    load: float


@dataclass(frozen=True, slots=True)
class Delay:
    """A message takes this many seconds at the runner now."""

    delay: float


Note: TypeAlias = Load | Delay


class Teller:
    """One runner: when its last figure came that can be a delay, on any connection."""

    __slots__ = ("at",)

    def __init__(self) -> None:
        self.at = float("-inf")

    def again(self, now: float) -> bool:
        """Note a figure down; whether it came in step with the one before."""
        passed, self.at = now - self.at, now
        return abs(passed - EVERY) <= SLIP


class Notes:
    """The notes on one connection, which stands since `up_at` (seconds)."""

    __slots__ = ("load", "_before", "_teller", "_longest", "_up_until")

    def __init__(self, settings: Settings, teller: Teller, up_at: float) -> None:
        self.load = 0.0  # as last told
        self._before: float | None = None  # what a load that may be none took the place of
        self._teller = teller
        self._longest = 1000 * max(c.deadline for c in settings.classes) if settings.servers_report_latency else 0.0
        self._up_until = up_at + min(c.message_latency_objective for c in settings.classes)

    def read(self, line: bytes, now: float) -> tuple[Note, ...]:
        """What a LOAD line says; nothing where it has no figure in range."""
        try:
            figure = float(line.split()[1])
        except (IndexError, ValueError):
            return ()
        if not 0 <= figure < 1e12:
            return ()
        if figure >= self._longest or now <= self._up_until:
            return self._loaded(figure, None)
        again = self._teller.again(now)
        if not again and figure >= FALL * self.load * 1e6:
            return self._loaded(figure, self.load)
        delay = Delay(figure / 1e3)
        if again and self._before is not None:
            self.load, self._before = self._before, None
            return Load(self.load), delay
        return (delay,)

    def _loaded(self, figure: float, before: float | None) -> tuple[Note, ...]:
        self.load, self._before = figure / 1e6, before
        return (Load(self.load),)
