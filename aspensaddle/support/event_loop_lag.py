"""Measures the event-loop lag: how long events wait until this process handles them."""

from __future__ import annotations

import math

import trio

SLEEP_THRESHOLD_SECONDS = 1e-3  # a shorter I/O wait did not sleep, because events were pending already
LAG_HALF_LIFE_SECONDS = 0.5  # the longest pass seen so far is halved after this time


class EventLoopLagMonitor(trio.abc.Instrument):
    """Measures the duration of each pass of one event loop: the time between two I/O waits.

    Events that an I/O wait returns arrived at its end if the wait slept; otherwise they may have arrived at any time
    after the previous wait.

    Attributes:
        earliest_arrival: The earliest time at which the events of the last I/O wait can have arrived.
        passes: How many passes have begun.
    """

    def __init__(self) -> None:
        self.earliest_arrival = 0.0
        self.passes = 0
        self._wait_ended = 0.0
        self._wait_began = 0.0
        self._longest_pass = 0.0
        self._longest_pass_at = 0.0

    def begin(self) -> None:
        """Start measuring the event loop that calls this."""
        now = trio.current_time()
        self.earliest_arrival = self._wait_ended = self._wait_began = self._longest_pass_at = now
        trio.lowlevel.add_instrument(self)

    def end(self) -> None:
        """Stop measuring."""
        trio.lowlevel.remove_instrument(self)

    def before_io_wait(self, timeout: float) -> None:
        """Record the end of a pass."""
        now = trio.current_time()
        self._wait_began = now
        if (duration := now - self._wait_ended) > self._decayed_longest_pass(now):
            self._longest_pass = duration
            self._longest_pass_at = now

    def after_io_wait(self, timeout: float) -> None:
        """Record the beginning of a pass."""
        now = trio.current_time()
        self.passes += 1
        has_slept = now - self._wait_began > SLEEP_THRESHOLD_SECONDS
        self.earliest_arrival = now if has_slept else self._wait_ended
        self._wait_ended = now

    def recent(self, now: float) -> float:
        """Return the longest recent pass in seconds, the current one included; earlier ones decay."""
        return max(now - self._wait_ended, self._decayed_longest_pass(now))

    def _decayed_longest_pass(self, now: float) -> float:
        return self._longest_pass * math.exp2((self._longest_pass_at - now) / LAG_HALF_LIFE_SECONDS)
