"""Which established session may be evicted from a full table. No I/O; callers pass the current time."""

from __future__ import annotations

from aspensaddle.frontends.quic.session import Session

MIN_IDLE_SECONDS = 1.0  # a session that was active more recently is not evicted
MAX_CANDIDATES = 16  # sessions examined per eviction


def find_most_idle(sessions: dict[str, Session], now: float) -> Session | None:
    """Return the most idle of the first sessions if it may be evicted, and move those sessions to the end.

    Only a session with routable connection IDs may be: it is adopted again with its client's next datagram.

    Args:
        sessions: sessions by id; the order changes, so that the next call examines others.
        now: the current time in seconds.
    """
    found: Session | None = None
    for _ in range(min(MAX_CANDIDATES, len(sessions))):
        session_id = next(iter(sessions))
        session = sessions[session_id] = sessions.pop(session_id)
        is_evictable = session.setup is None and not session.routed_by_address
        if not is_evictable or now - session.last_active_at < MIN_IDLE_SECONDS:
            continue
        if found is None or session.last_active_at < found.last_active_at:
            found = session
    return found
