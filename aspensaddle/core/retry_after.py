"""Retry-After: how long a rejected client waits before it retries, for each kind of rejection."""

from __future__ import annotations

from random import Random

from aspensaddle.core.settings import Limits

SHUTDOWN_RETRY_AFTER_SECONDS = 0.45  # PROTOCOL: new connections arrive for up to 0.4 s after SIGTERM
MIN_RETRY_AFTER_FRACTION = 0.2  # shortest Retry-After of a rejection, as a fraction of `max_retry_after`


def shutdown_retry_after(limits: Limits) -> float:
    """Return the Retry-After in seconds for clients rejected during a graceful shutdown; 0 where not allowed."""
    if not limits.retry_after_allowed:
        return 0.0
    return min(SHUTDOWN_RETRY_AFTER_SECONDS, limits.max_retry_after)


def rejection_retry_after(limits: Limits, random: Random) -> float:
    """Return the Retry-After in seconds for a rejected client; 0 where not allowed.

    It is random, so that clients rejected together do not retry together.
    """
    if not limits.retry_after_allowed:
        return 0.0
    return random.uniform(MIN_RETRY_AFTER_FRACTION, 1.0) * limits.max_retry_after
