"""Decides when clients have to validate their address with a Retry. No I/O; callers pass the current time.

Each Initial with a spoofed source address costs a server a handshake. While unvalidated Initials arrive faster than a
configured rate, or too many sessions are being set up, each of them is answered with a Retry, which needs no state.
Validation stops only after the rate has stayed below half of the limit for some time, so that it does not flap at the
limit.
"""

from __future__ import annotations

from collections import deque

BUCKETS_PER_SECOND = 5  # the rate is counted over a sliding window of one second
MIN_CALM_SECONDS = 3.0  # time below half the limits before validation stops
PENDING_SHARE = 0.5  # share of the session setups allowed at once from which validation is required


class AddressValidationPolicy:
    """Measures the rate of unvalidated Initials and decides whether they have to be validated."""

    def __init__(self, max_per_second: float, max_pending: int) -> None:
        """Start without a requirement.

        Args:
            max_per_second: unvalidated first Initials per second above which validation is required; 0 requires it
                always, infinity never.
            max_pending: session setups that are allowed at once.
        """
        self.max_per_second, self.max_pending = max_per_second, max_pending
        self._buckets: deque[tuple[int, int]] = deque()  # bucket number and its count of Initials
        self._initials_in_window = 0  # sum over all buckets
        self._is_active = False
        self._last_above_half_at = 0.0

    def requires_validation(self, now: float, pending: int) -> bool:
        """Count an unvalidated first Initial and return whether its client has to validate its address.

        Args:
            now: the current time in seconds.
            pending: the number of session setups in progress.
        """
        bucket = int(now * BUCKETS_PER_SECOND)
        self._drop_old_buckets(bucket)
        if not self._buckets or self._buckets[-1][0] != bucket:
            self._buckets.append((bucket, 0))
        self._buckets[-1] = bucket, self._buckets[-1][1] + 1
        self._initials_in_window += 1
        if self._initials_in_window > self.max_per_second or pending >= self.max_pending * PENDING_SHARE:
            self._is_active, self._last_above_half_at = True, now
        elif self._initials_in_window > self.max_per_second / 2 or pending >= self.max_pending * PENDING_SHARE / 2:
            self._last_above_half_at = now
        elif now - self._last_above_half_at >= MIN_CALM_SECONDS:
            self._is_active = False
        return self._is_active and self.max_per_second != float("inf")

    def _drop_old_buckets(self, bucket: int) -> None:
        while self._buckets and self._buckets[0][0] <= bucket - BUCKETS_PER_SECOND:
            self._initials_in_window -= self._buckets.popleft()[1]
