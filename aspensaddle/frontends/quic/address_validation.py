"""When a client has to prove its address before anything is done for it. Free of I/O; the time is told.

Spoofed Initials cost a runner a handshake each. While they come faster than a stated rate, or too many sessions
are being placed, each unproven one is answered with a Retry, which costs no state. The gate opens again only
when the rate has stayed under half of that for a while, so that it does not flap at the rate itself.
"""

from __future__ import annotations

from collections import deque

SLICES = 5  # of a second, over which the rate is taken
CALM = 3.0  # seconds under half the rate before it opens again
PENDING_PART = 0.5  # of the sessions that may be placed at once


class AddressValidationPolicy:
    def __init__(self, above_per_s: float, most_pending: int) -> None:
        """`above_per_s`: unproven first Initials a second; 0 asks each for a proof, infinity none."""
        self.above, self.most_pending = above_per_s, most_pending
        self._slices: deque[tuple[int, int]] = deque()  # number of the slice, Initials in it
        self._count = 0  # in all slices
        self._closed = False
        self._calm_since = 0.0

    def unproven(self, now: float, pending: int) -> bool:
        """Note an unproven first Initial; whether it has to prove its address first."""
        number = int(now * SLICES)
        self._forget(number)
        if not self._slices or self._slices[-1][0] != number:
            self._slices.append((number, 0))
        self._slices[-1] = number, self._slices[-1][1] + 1
        self._count += 1
        if self._count > self.above or pending >= self.most_pending * PENDING_PART:
            self._closed, self._calm_since = True, now
        elif self._count > self.above / 2 or pending >= self.most_pending * PENDING_PART / 2:
            self._calm_since = now
        elif now - self._calm_since >= CALM:
            self._closed = False
        return self._closed and self.above != float("inf")

    def _forget(self, number: int) -> None:
        while self._slices and self._slices[0][0] <= number - SLICES:
            self._count -= self._slices.popleft()[1]
