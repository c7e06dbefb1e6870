"""Rate of the requests that this balancer admits, with a prior for a process that has just started."""

from __future__ import annotations

PRIOR_REQUESTS_PER_SECOND = 10.0  # of a process that has seen nothing


class RequestRate:
    """An exponentially weighted rate. Every operation costs O(1)."""

    def __init__(self, span_ticks: float) -> None:
        """Weigh requests over `span_ticks` ticks of one second."""
        self._span = span_ticks
        self._count = span_ticks
        self._prior_weight = 1 / (span_ticks * PRIOR_REQUESTS_PER_SECOND)
        self._unseen = 1.0  # weight of the time before the start

    def count(self) -> None:
        """Count one request."""
        self._count += 1

    def tick(self) -> None:
        """Let one second pass."""
        self._count *= 1 - 1 / self._span
        self._unseen *= 1 - 1 / self._span

    def smoothed(self) -> float:
        """Return requests per second, one per second being assumed for the time before the start."""
        return self._count / self._span

    def observed(self) -> float:
        """Return requests per second by what was seen, and the prior where next to nothing was."""
        seen = self._count - (self._span - 1) * self._unseen
        return seen / (self._span * (1 + self._prior_weight - self._unseen))
