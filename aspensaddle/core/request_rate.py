"""Rate of the requests that this balancer admits, with a prior for a process that has just started."""

from __future__ import annotations

PRIOR_REQUESTS_PER_SECOND = 10.0  # rate that is assumed for a process that has not seen any requests


class RequestRate:
    """An exponentially weighted moving average of the request rate. Every operation costs O(1).

    The average starts at one request per second, as if the process had received that rate for a long time before its
    start. `smoothed` includes these assumed requests; `observed` leaves them out and uses the prior in their place.
    """

    def __init__(self, span_ticks: float) -> None:
        """Average over about `span_ticks` ticks of one second."""
        self._span = span_ticks
        self._count = span_ticks
        self._prior_weight = 1 / (span_ticks * PRIOR_REQUESTS_PER_SECOND)
        self._prestart_weight = 1.0  # weight of the time before the process started

    def count(self) -> None:
        """Count one request."""
        self._count += 1

    def tick(self) -> None:
        """Age the counts by one second."""
        self._count *= 1 - 1 / self._span
        self._prestart_weight *= 1 - 1 / self._span

    def smoothed(self) -> float:
        """Return the requests per second, with one per second assumed for the time before the process started."""
        return self._count / self._span

    def observed(self) -> float:
        """Return the requests per second observed since the process started; close to the prior at first."""
        observed_count = self._count - (self._span - 1) * self._prestart_weight
        return observed_count / (self._span * (1 + self._prior_weight - self._prestart_weight))
