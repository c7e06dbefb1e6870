"""The timers of one balancer, in the order in which they are due."""

from __future__ import annotations

from collections.abc import Iterator
from heapq import heappop, heappush


class TimerQueue:
    """Timers by due time, in seconds of the caller's clock. Timers due at one time fire in the order of `set`."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._timers: list[tuple[float, int, str]] = []
        self._count = 0

    def set(self, due_at: float, timer: str) -> None:
        """Add a timer. A timer that is set twice fires twice."""
        self._count += 1
        heappush(self._timers, (due_at, self._count, timer))

    def next_due_at(self) -> float | None:
        """Return when the earliest timer is due, or None without timers."""
        return self._timers[0][0] if self._timers else None

    def pop_due(self, now: float) -> Iterator[str]:
        """Remove and yield each timer that is due, including timers that are set during the iteration."""
        while self._timers and self._timers[0][0] <= now:
            yield heappop(self._timers)[2]
