"""Decides which peer's entries are copied next. Does no I/O.

One peer is copied at a time: what arrives stays bounded however many peers there are, and after the first copy the
others differ in little.
"""

from __future__ import annotations

from collections.abc import Iterable

from aspensaddle.store.messages import ReplicaPhase
from aspensaddle.store.peer import Peer

STALL_SECONDS = 0.5  # without a message; another peer is copied first then


def choose_source(peers: Iterable[Peer], current: Peer | None, now: float) -> Peer | None:
    """Return the peer to copy from: one that leaves before one that serves, and the current one before others.

    Args:
        peers: All peers.
        current: The peer that is being copied, if there is one.
        now: Monotonic time in seconds.
    """
    candidates = [peer for peer in peers if peer.copy.has_work and not peer.is_silent(now, since=float("-inf"))]
    return min(candidates, key=lambda peer: _rank(peer, current, now), default=None)


def _rank(peer: Peer, current: Peer | None, now: float) -> tuple[bool, bool, bool, bool]:
    is_stalled = peer.heard_at is not None and now - peer.heard_at >= STALL_SECONDS
    return is_stalled, peer.phase is not ReplicaPhase.LEAVING, peer.phase.is_joining, peer is not current
