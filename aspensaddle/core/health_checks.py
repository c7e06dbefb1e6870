"""Health checks: when servers are asked for load reports, and what these tell of capacity.

A check that fails ejects nothing: faults are seen on the connections themselves.
"""

from __future__ import annotations

from aspensaddle.core.actions import CheckHealth
from aspensaddle.core.attempt_window import SLOT_SECONDS
from aspensaddle.core.balancer_state import BalancerState
from aspensaddle.core.events import LoadReport
from aspensaddle.core.load_accounting import LoadAccounting
from aspensaddle.core.load_reports import health_check_interval
from aspensaddle.core.server_state import Server

SMOOTHED_SERVERS = 10  # reports that the capacity of a warm server is a running mean over


class HealthChecks:
    """Asks servers for load reports where the settings allow it, and takes the reports."""

    def __init__(self, state: BalancerState, accounting: LoadAccounting) -> None:
        """Take reports into `state`, and update the loads of servers by `accounting`."""
        self._state = state
        self._accounting = accounting

    def due(self, now: float) -> list[CheckHealth]:
        """Return the health checks that are due and count them as sent; new servers are checked at once."""
        state = self._state
        interval = health_check_interval(state.settings, state.ready_count, state.request_rate.smoothed())
        interval -= SLOT_SECONDS / 2  # half a tick of tolerance
        return [
            CheckHealth(server.id)
            for server in state.servers.values()
            if state.uses_load_reports and server.is_ready and server.reported.mark_check_sent_if_due(now, interval)
        ]

    def take_report(self, now: float, server: Server, report: LoadReport | None) -> bool:
        """Take the report of a server; return False where it tells nothing."""
        state = self._state
        mean_load = self._accounting.mean_connection_load()
        if not state.uses_load_reports:
            return False
        warmth = state.capacity_fraction(now, server)
        default_capacity = state.reported_capacity * warmth or 1.0
        if not server.reported.update(report, server.own_load, mean_load, default_capacity):
            return False
        if server.reported.capacity and warmth >= 1.0:
            weight = SMOOTHED_SERVERS if state.reported_capacity else 1
            state.reported_capacity += (server.reported.capacity - state.reported_capacity) / weight
        self._accounting.update_load(server)
        return True
