"""What is known of a server, for the log."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerSnapshot:
    """What is known of one server. `share` and `load` are in the units of the rotation, times in seconds."""

    connections: int
    load: float
    share: float
    sends: int
    accepts: int
    ejected_seconds: float  # remaining
    slow_seconds: float  # remaining
