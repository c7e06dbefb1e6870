"""Decides when a replica that leaves has handed its entries over. Does no I/O."""

from __future__ import annotations

from collections.abc import Collection

from aspensaddle.store.peer import Peer

ANSWER_SECONDS = 0.5  # within which a peer that runs answers one of several probes


def holds_all(peer: Peer, own_digest: str) -> bool:
    """Whether the peer has told that it holds all entries of this replica.

    Args:
        peer: The peer.
        own_digest: The combined digest of this replica's entries.
    """
    return peer.acknowledged == own_digest


def is_handed_over(peers: Collection[Peer], own_digest: str, now: float, since: float) -> bool:
    """Whether the replica may exit: each peer that answers holds all its entries, and at least one does.

    Args:
        peers: All other nodes; without any there is nobody to hand over to.
        own_digest: The combined digest of this replica's entries.
        now: Monotonic time in seconds.
        since: When the replica began to leave, in the same time.
    """
    if not peers:
        return True
    answered = [peer for peer in peers if peer.was_heard_since(since)]
    if len(answered) < len(peers) and now - since < ANSWER_SECONDS:
        return False
    return bool(answered) and all(holds_all(peer, own_digest) for peer in answered)
