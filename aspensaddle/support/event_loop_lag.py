"""Measures how late this process comes to what has arrived, from the passes of its event loop."""

from __future__ import annotations

import math

import trio

SLEEP_THRESHOLD_SECONDS = 1e-3  # a shorter I/O wait found what was there already
LAG_HALF_LIFE_SECONDS = 0.5  # the longest pass seen counts half as much after this time


class EventLoopLagMonitor(trio.abc.Instrument):
    """Times the passes of one event loop.

    What an I/O wait returns arrived at its end if the wait slept; otherwise, at the earliest, after the wait before.

    Attributes:
        since: The earliest time at which what the last I/O wait returned can have arrived.
        passes: How many passes were seen.
    """

    def __init__(self) -> None:
        self.since = 0.0
        self.passes = 0
        self._wait_ended = 0.0
        self._wait_began = 0.0
        self._longest_pass = 0.0
        self._longest_pass_at = 0.0

    def begin(self) -> None:
        """Watch the loop that calls this, from now on."""
        now = trio.current_time()
        self.since = self._wait_ended = self._wait_began = self._longest_pass_at = now
        trio.lowlevel.add_instrument(self)

    def end(self) -> None:
        """Watch the loop no more."""
        trio.lowlevel.remove_instrument(self)

    def before_io_wait(self, timeout: float) -> None:
        """Note the end of a pass."""
        now = trio.current_time()
        self._wait_began = now
        if (duration := now - self._wait_ended) > self._decayed_longest_pass(now):
            self._longest_pass = duration
            self._longest_pass_at = now

    def after_io_wait(self, timeout: float) -> None:
        """Note the beginning of a pass."""
        now = trio.current_time()
        self.passes += 1
        has_slept = now - self._wait_began > SLEEP_THRESHOLD_SECONDS
        self.since = now if has_slept else self._wait_ended
        self._wait_ended = now

    def recent(self, now: float) -> float:
        """Return the longest recent pass in seconds, the current one included."""
        return max(now - self._wait_ended, self._decayed_longest_pass(now))

    def _decayed_longest_pass(self, now: float) -> float:
        return self._longest_pass * math.exp2((self._longest_pass_at - now) / LAG_HALF_LIFE_SECONDS)
