"""When a rejected client may retry: the Retry-After of each kind of rejection."""

from __future__ import annotations

from random import Random

from aspensaddle.core.settings import Limits

SHUTDOWN_RETRY_AFTER_SECONDS = 0.45  # PROTOCOL: new connections keep coming for up to 0.4 s after SIGTERM
MIN_RETRY_AFTER_FRACTION = 0.2  # of the longest Retry-After


def shutdown_retry_after(limits: Limits) -> float:
    """Return the seconds after which a client of a process that shuts down may retry."""
    if not limits.retry_after_allowed:
        return 0.0
    return min(SHUTDOWN_RETRY_AFTER_SECONDS, limits.max_retry_after)


def rejection_retry_after(limits: Limits, random: Random) -> float:
    """Return the seconds after which a rejected client may retry, drawn so that clients do not return together."""
    if not limits.retry_after_allowed:
        return 0.0
    return random.uniform(MIN_RETRY_AFTER_FRACTION, 1.0) * limits.max_retry_after
