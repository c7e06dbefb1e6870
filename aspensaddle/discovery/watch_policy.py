"""Timing of the discovery watch: timeouts, hedging, backoff and the worst-case staleness that follows from them.

`docs/freshness.md` derives the worst case. Everything here is in seconds.
"""

from __future__ import annotations

from random import Random

HEARTBEAT_SECONDS = 2.0  # interval of the service's heartbeats, empty lines (operators' page PROTOCOL)

SILENCE_TIMEOUT_SECONDS = HEARTBEAT_SECONDS + 0.5  # longest time without a complete line
CONNECT_TIMEOUT_SECONDS = 0.5
HEDGE_DELAY_SECONDS = 1.5  # a call without a complete line after this time is hedged: a second one is started
MAX_HEDGING_BALANCERS = 6  # at 0.25 s for a call, a service completes 6 calls within the hedge delay
RESPONSE_TIMEOUT_SECONDS = 3.5  # longest time until the first complete line, since the service may queue a call
QUEUED_RESPONSE_SECONDS = 1.0  # longest time in the service's queue, unless the call hangs or the queue is too long
START_JITTER_SECONDS = 2.0  # spread of the first calls where all balancers call one service
INITIAL_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 2.0
MAX_FLEET_RETRIES_PER_SECOND = 40.0  # limit of all balancers' retries together, while the service rejects calls

# Backoff stays short for this long after a change of the service's address. After this time, changes that the new
# service holds count as known.
RELOCATION_SECONDS = 4.0

# With pushed lists the service is a local agent: it responds at once, and what it holds counts as known at once.
AGENT_RESPONSE_TIMEOUT_SECONDS = 0.5
AGENT_MAX_BACKOFF_SECONDS = 0.25

# Either a watch falls silent and the next call hangs, or a call fails just before the service recovers and the call
# after the backoff hangs.
WORST_CASE_STALENESS_SECONDS = (
    max(SILENCE_TIMEOUT_SECONDS, CONNECT_TIMEOUT_SECONDS + MAX_BACKOFF_SECONDS, START_JITTER_SECONDS)
    + HEDGE_DELAY_SECONDS
    + CONNECT_TIMEOUT_SECONDS
    + QUEUED_RESPONSE_SECONDS
)

_MAX_BACKOFF_DOUBLINGS = 10  # keeps the power of two small; the maximum delay is reached earlier


def start_delay(random: Random, *, is_local_agent: bool) -> float:
    """Return the delay of the first call. A local agent serves this balancer alone and needs no jitter."""
    return 0.0 if is_local_agent else random.uniform(0.0, START_JITTER_SECONDS)


def response_timeout(*, is_local_agent: bool) -> float:
    """Return how long a call waits for its first complete line."""
    return AGENT_RESPONSE_TIMEOUT_SECONDS if is_local_agent else RESPONSE_TIMEOUT_SECONDS


def backoff_delay(failures: int, random: Random, *, is_local_agent: bool, is_relocating: bool) -> float:
    """Return the delay after a call that failed: exponential backoff with jitter.

    Args:
        failures: Failed calls in a row, this one included.
        random: Source of the jitter, which keeps balancers whose calls failed together from retrying together.
        is_local_agent: Whether the service is an agent of this balancer alone.
        is_relocating: Whether the address is new and its service may still be starting.
    """
    if is_local_agent:
        limit = AGENT_MAX_BACKOFF_SECONDS
    else:
        limit = INITIAL_BACKOFF_SECONDS if is_relocating else MAX_BACKOFF_SECONDS
    doublings = min(max(0, failures - 1), _MAX_BACKOFF_DOUBLINGS)
    longest = min(limit, INITIAL_BACKOFF_SECONDS * 2**doublings)
    return random.uniform(longest / 2, longest)


def may_hedge(balancer_count: int, *, is_local_agent: bool) -> bool:
    """Return whether a call without a response counts as lost: too few others can be queued before it to delay it."""
    return not is_local_agent and balancer_count <= MAX_HEDGING_BALANCERS


def rejected_delay(failures: int, random: Random, *, balancer_count: int) -> float:
    """Return the delay after a call that the service rejected: exponential backoff with full jitter.

    Args:
        failures: Failed calls in a row, this one included.
        random: Source of the jitter.
        balancer_count: Balancers that share the service; its limit on retries is divided among them.
    """
    limit = max(MAX_BACKOFF_SECONDS, 2 * balancer_count / MAX_FLEET_RETRIES_PER_SECOND)
    doublings = min(max(0, failures - 1), _MAX_BACKOFF_DOUBLINGS)
    return random.uniform(0.0, min(limit, INITIAL_BACKOFF_SECONDS * 2**doublings))


def reconnect_delay(random: Random, *, timed_out: bool) -> float:
    """Return the delay after a watch that was followed and ended.

    Watches that the service closes are closed together, so reconnecting needs jitter. Silence is detected at a
    different time by each balancer, so it needs none.
    """
    return 0.0 if timed_out else random.uniform(0.0, INITIAL_BACKOFF_SECONDS)
