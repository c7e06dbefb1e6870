"""Passive measurement: a server's ratio of the new connections follows from its rejection ratio.

Ohta and Andou, "WWW Server Load Balancing Technique Employing Passive Measurement of Server Performance": attempts S
and accepted attempts A of each server are counted over a sliding window. Every tick the server with the largest
rejection ratio R = (S - A) / A loses a part of its ratio of the new connections, which is divided among the others.
"""

from __future__ import annotations

from aspensaddle.core.attempt_window import SLOT_SECONDS, WINDOW_SLOTS
from aspensaddle.core.balancer_state import BalancerState
from aspensaddle.core.server_state import Server
from aspensaddle.core.weighted_rotation import WeightedRotation

TICK_SECONDS = SLOT_SECONDS
CUT_FRACTION = 0.1  # part of its ratio that the worst server loses per tick, as in the paper


def rejection_rank(server: Server) -> tuple[float, int]:
    """Return the rejection ratio and the number of attempts not accepted; a server that accepted none ranks worst."""
    accepts = server.window.accepts
    not_accepted = server.window.sends - accepts
    if accepts:
        return (not_accepted / accepts, not_accepted)
    return (float("inf") if not_accepted else 0.0, not_accepted)


class PassiveMeasurement:
    """Counts attempts by slot, and lowers the ratio of the worst server."""

    def __init__(self, state: BalancerState, rotation: WeightedRotation) -> None:
        """Start at slot 0 without counts."""
        self._state = state
        self._rotation = rotation
        self.slot = 0
        self.active: dict[int, Server] = {}  # servers with attempts in the window

    def count(self, server: Server, *, accepted: bool) -> None:
        """Count an attempt at a server in the current slot."""
        self.active[server.id] = server
        server.window.count(self.slot, accepted)

    def cut_ratio_of_worst_server(self, now: float) -> None:
        """Take a part of the ratio of the worst server, and divide it evenly among the others."""
        ready_count = self._state.ready_count
        candidates = (server for server in self.active.values() if server.is_ready)
        worst = max(candidates, key=rejection_rank, default=None)
        if worst is None or ready_count <= 1:
            return
        _, failures = rejection_rank(worst)
        if not failures:
            return
        cut = CUT_FRACTION * (worst.ratio + self._rotation.pending_ratio_increase)
        gain = cut / (ready_count - 1)
        worst.ratio -= cut + gain  # the increase below applies to every ratio, also to this one
        self._rotation.pending_ratio_increase += gain
        self._rotation.update_server(now, worst)

    def advance_slot(self) -> None:
        """Start the next slot, and drop the counts that it holds from one window ago."""
        self.slot = (self.slot + 1) % WINDOW_SLOTS
        for server in list(self.active.values()):
            if not server.window.clear(self.slot):
                del self.active[server.id]
