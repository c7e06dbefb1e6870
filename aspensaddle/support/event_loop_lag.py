"""How late this process comes to what has arrived, seen from its event loop."""

from __future__ import annotations

import math

import trio

SLEPT = 1e-3  # seconds; a wait shorter than this is held to have found what was there already
HALVES_IN = 0.5  # seconds in which what was seen counts half as much


class Lateness(trio.abc.Instrument):
    """One loop's passes. What a wait finds came at its end, if it slept; else, at the earliest, after the wait
    before it. Cost: two clock readings a pass."""

    def __init__(self) -> None:
        self.since = self._woke = self._before = 0.0
        self.passes = 0
        self._worst = self._worst_at = 0.0

    def begin(self) -> None:
        """Within the loop, which is seen from here on."""
        self.since = self._woke = self._before = self._worst_at = trio.current_time()
        trio.lowlevel.add_instrument(self)

    def end(self) -> None:
        trio.lowlevel.remove_instrument(self)

    def before_io_wait(self, timeout: float) -> None:
        self._before = now = trio.current_time()
        if (busy := now - self._woke) > self._faded(now):
            self._worst, self._worst_at = busy, now

    def after_io_wait(self, timeout: float) -> None:
        now = trio.current_time()
        self.passes += 1
        self.since = now if now - self._before > SLEPT else self._woke  # the earliest that it can have come
        self._woke = now

    def recent(self, now: float) -> float:
        """How long a pass has taken of late, at worst, the one that is on included."""
        return max(now - self._woke, self._faded(now))

    def _faded(self, now: float) -> float:
        return self._worst * math.exp2((self._worst_at - now) / HALVES_IN)
