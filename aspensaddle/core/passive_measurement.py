"""Passive measurement: the share of new connections of a server follows from its rejection ratio.

Ohta and Andou, "WWW Server Load Balancing Technique Employing Passive Measurement of Server Performance": attempts S
and accepted attempts A of each server are counted over a sliding window. Every tick the server with the largest
rejection ratio R = (S - A) / A loses a part of its ratio, which the others share.
"""

from __future__ import annotations

from aspensaddle.core.attempt_window import SLOT_SECONDS, WINDOW_SLOTS
from aspensaddle.core.balancer_state import BalancerState
from aspensaddle.core.server_state import Server
from aspensaddle.core.weighted_rotation import WeightedRotation

TICK_SECONDS = SLOT_SECONDS
CUT_FRACTION = 0.1  # of its ratio, what the worst server loses at a tick; the paper's figure


def rejection_rank(server: Server) -> tuple[float, int]:
    """Return the rejection ratio, then the count of failures. Attempts without any accepted one rank worst."""
    accepts = server.window.accepts
    missed = server.window.sends - accepts
    if accepts:
        return (missed / accepts, missed)
    return (float("inf") if missed else 0.0, missed)


class PassiveMeasurement:
    """Counts attempts by slot and cuts the ratio of the worst server."""

    def __init__(self, state: BalancerState, rotation: WeightedRotation) -> None:
        """Start at slot 0 without counts."""
        self._state = state
        self._rotation = rotation
        self.slot = 0
        self.active: dict[int, Server] = {}  # servers with a count in the window

    def count(self, server: Server, *, accepted: bool) -> None:
        """Count an attempt at a server."""
        self.active[server.id] = server
        server.window.count(self.slot, accepted)

    def cut_worst(self, now: float) -> None:
        """Take a part off the ratio of the worst server and share it among the others."""
        ready_count = self._state.ready_count
        candidates = (server for server in self.active.values() if server.is_ready)
        worst = max(candidates, key=rejection_rank, default=None)
        if worst is None or ready_count <= 1:
            return
        _, failures = rejection_rank(worst)
        if not failures:
            return
        cut = CUT_FRACTION * (worst.ratio + self._rotation.pending_ratio_increase)
        each = cut / (ready_count - 1)
        worst.ratio -= cut + each  # the increase below applies to all servers, this one included
        self._rotation.pending_ratio_increase += each
        self._rotation.update_server(now, worst)

    def advance_slot(self) -> None:
        """Open the next slot, dropping what it counted a window ago."""
        self.slot = (self.slot + 1) % WINDOW_SLOTS
        for server in list(self.active.values()):
            if not server.window.clear(self.slot):
                del self.active[server.id]
