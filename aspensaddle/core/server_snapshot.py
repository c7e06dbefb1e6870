"""Snapshots of servers for the log."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from aspensaddle.core.server_state import Server


@dataclass(frozen=True, slots=True)
class ServerSnapshot:
    """Measurements of one server. `share` and `load` are in the units of the weighted rotation, times in seconds."""

    connections: int
    load: float
    share: float
    sends: int
    accepts: int
    ejected_seconds: float  # remaining
    slow_seconds: float  # remaining


def snapshot_servers(servers: Iterable[Server], now: float) -> dict[int, ServerSnapshot]:
    """Return a snapshot of each server at the time `now`, by server number."""
    return {
        server.id: ServerSnapshot(
            connections=len(server.connections),
            load=round(server.load, 4),
            share=round(server.share, 4),
            sends=server.window.sends,
            accepts=server.window.accepts,
            ejected_seconds=round(max(0.0, server.ejected_until - now), 2),
            slow_seconds=round(max(0.0, server.slow_until - now), 2),
        )
        for server in servers
    }
