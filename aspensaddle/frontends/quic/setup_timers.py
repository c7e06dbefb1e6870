"""Timers of session setups, of which each session has one at most. No I/O; callers pass the current time."""

from __future__ import annotations

from heapq import heappop, heappush

from aspensaddle.frontends.quic.session import Session, SetupState


class SetupTimers:
    """The timers of all sessions that are being set up. O(log n) per operation."""

    def __init__(self) -> None:
        """Start without timers."""
        self._timers: list[tuple[float, int, Session]] = []  # a heap of due time, timer ID and session
        self._count = 0

    def start(self, session: Session, setup: SetupState, due_at: float) -> None:
        """Start a timer that is due at a time in seconds and replaces the session's earlier one."""
        self._count += 1
        setup.timer_id = self._count
        heappush(self._timers, (due_at, self._count, session))

    def next_due_at(self) -> float | None:
        """Return when the next timer is due, in seconds; None if there is none."""
        while self._timers and not self._is_current(self._timers[0]):
            heappop(self._timers)
        return self._timers[0][0] if self._timers else None

    def pop_due(self, now: float) -> Session | None:
        """Remove the next timer if it is due, and return its session, which is being set up; else None."""
        due_at = self.next_due_at()
        if due_at is None or due_at > now:
            return None
        return heappop(self._timers)[2]

    def _is_current(self, timer: tuple[float, int, Session]) -> bool:
        setup = timer[2].setup
        return not timer[2].ended and setup is not None and setup.timer_id == timer[1]
