"""Simulated time: a queue of callbacks, run in time order."""

from collections.abc import Callable
from heapq import heappop, heappush


class EventQueue:
    """Runs callbacks at their simulated time; those of the same time run in scheduling order."""

    def __init__(self) -> None:
        """Start at time 0 with nothing scheduled."""
        self.now = 0.0
        self._sequence = 0
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []

    def next_number(self) -> int:
        """Return a number that is unique in the simulation and higher than all earlier ones."""
        self._sequence += 1
        return self._sequence

    def schedule(self, time: float, callback: Callable[[], None]) -> None:
        """Run `callback` at `time`, in seconds from the start of the simulation."""
        heappush(self._scheduled, (time, self.next_number(), callback))

    def run_until(self, end: float) -> None:
        """Run everything that is due up to and including `end`, then set the time to it."""
        while self._scheduled and self._scheduled[0][0] <= end:
            self.now, _, callback = heappop(self._scheduled)
            callback()
        self.now = end
