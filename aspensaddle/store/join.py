"""Decides when a replica that has started holds enough to serve. Does no I/O.

It has to hold what its peers hold. A peer that is itself joining can't promise that, so the copy of a peer that is
serving (or leaving) counts. Only where all peers are as new as this one is there nothing to wait for.
"""

from __future__ import annotations

from collections.abc import Collection
from enum import Enum

from aspensaddle.store.messages import ReplicaPhase
from aspensaddle.store.peer import Peer

# A restarted balancer has to be ready within 10 s (operators, STANDING); its process needs the rest to start.
JOIN_LIMIT_SECONDS = 8.0


class JoinOutcome(Enum):
    """How a replica came to serve; the values stand in the log.

    Attributes:
        COPIED: It holds what every peer that answers and serves held.
        ALL_NEW: No peer serves: all that answer have just started as well, and hold the same as this replica.
        NO_PEER: There is no other node, or none has answered.
        INCOMPLETE: The limit is over, and a peer may hold entries that this replica lacks.
    """

    COPIED = "copied"
    ALL_NEW = "all new"
    NO_PEER = "no peer"
    INCOMPLETE = "incomplete"


def has_source(peers: Collection[Peer], now: float, since: float) -> bool:
    """Whether a peer that serves, or did until it began to leave, answers."""
    return any(_is_source(peer) and not peer.is_silent(now, since) for peer in peers)


def join_outcome(peers: Collection[Peer], now: float, since: float) -> JoinOutcome | None:
    """Return how the join has ended, or None while it has to go on.

    Args:
        peers: All other nodes.
        now: Monotonic time in seconds.
        since: When the join began, in the same time.
    """
    if now - since >= JOIN_LIMIT_SECONDS:
        return JoinOutcome.INCOMPLETE if _answered(peers, since) else JoinOutcome.NO_PEER
    if any(not peer.was_heard_since(since) and not peer.is_silent(now, since) for peer in peers):
        return None
    answered = _answered(peers, since)
    if not answered:
        return JoinOutcome.NO_PEER
    if any(_is_source(peer) for peer in answered):
        return _outcome_with_sources(answered, now, since)
    return _outcome_without_sources(answered, now, since)


def _answered(peers: Collection[Peer], since: float) -> list[Peer]:
    return [peer for peer in peers if peer.was_heard_since(since)]


def _is_source(peer: Peer) -> bool:
    return peer.heard_at is not None and not peer.phase.is_joining


def _outcome_with_sources(answered: list[Peer], now: float, since: float) -> JoinOutcome | None:
    sources = [peer for peer in answered if _is_source(peer)]
    if not any(peer.copy.is_complete for peer in sources):
        return None
    waits_for_another = any(not peer.copy.is_complete and not peer.is_silent(now, since) for peer in sources)
    return None if waits_for_another else JoinOutcome.COPIED


def _outcome_without_sources(answered: list[Peer], now: float, since: float) -> JoinOutcome | None:
    present = [peer for peer in answered if not peer.is_silent(now, since)]
    if any(peer.phase is ReplicaPhase.COPYING for peer in present):
        return None  # it will serve once it has copied a peer that does not answer this replica
    if not all(peer.copy.is_complete for peer in present):
        return None
    return JoinOutcome.ALL_NEW if present else None
