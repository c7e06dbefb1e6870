"""When a client has to prove its address before anything is done for it. Free of I/O; the time is told.

Spoofed Initials cost a runner a handshake each. While they come faster than a stated rate, or too many sessions
are being placed, each unproven one is answered with a Retry, which costs no state. The gate opens again only
when the rate has stayed under half of that for a while, so that it does not flap at the rate itself.
"""

from __future__ import annotations

from collections import deque

BUCKETS_PER_SECOND = 5  # of a second, over which the rate is taken
MIN_CALM_SECONDS = 3.0  # seconds under half the rate before it opens again
PENDING_SHARE = 0.5  # of the sessions that may be placed at once


class AddressValidationPolicy:
    def __init__(self, max_rate: float, max_pending: int) -> None:
        """`max_rate`: unproven first Initials a second; 0 asks each for a proof, infinity none."""
        self.max_rate, self.max_pending = max_rate, max_pending
        self._buckets: deque[tuple[int, int]] = deque()  # bucket of the slice, Initials in it
        self._initials_in_window = 0  # in all slices
        self._is_active = False
        self._above_half_rate_at = 0.0

    def requires_validation(self, now: float, pending: int) -> bool:
        """Note an unproven first Initial; whether it has to prove its address first."""
        bucket = int(now * BUCKETS_PER_SECOND)
        self._drop_old_buckets(bucket)
        if not self._buckets or self._buckets[-1][0] != bucket:
            self._buckets.append((bucket, 0))
        self._buckets[-1] = bucket, self._buckets[-1][1] + 1
        self._initials_in_window += 1
        if self._initials_in_window > self.max_rate or pending >= self.max_pending * PENDING_SHARE:
            self._is_active, self._above_half_rate_at = True, now
        elif self._initials_in_window > self.max_rate / 2 or pending >= self.max_pending * PENDING_SHARE / 2:
            self._above_half_rate_at = now
        elif now - self._above_half_rate_at >= MIN_CALM_SECONDS:
            self._is_active = False
        return self._is_active and self.max_rate != float("inf")

    def _drop_old_buckets(self, bucket: int) -> None:
        while self._buckets and self._buckets[0][0] <= bucket - BUCKETS_PER_SECOND:
            self._initials_in_window -= self._buckets.popleft()[1]
