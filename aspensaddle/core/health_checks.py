"""Health checks: when servers are asked for load reports, and the capacity that follows from these.

A failed health check ejects no server: failures are detected on the connections themselves.
"""

from __future__ import annotations

from aspensaddle.core.actions import CheckHealth
from aspensaddle.core.attempt_window import SLOT_SECONDS
from aspensaddle.core.balancer_state import BalancerState
from aspensaddle.core.events import LoadReport
from aspensaddle.core.load_accounting import LoadAccounting
from aspensaddle.core.load_reports import health_check_interval
from aspensaddle.core.server_state import Server

# The capacity of a warm server is a running mean over this many reports, from any servers.
FLEET_CAPACITY_SMOOTHING_REPORTS = 10


class HealthChecks:
    """Asks servers for load reports where the settings allow it, and records the reports."""

    def __init__(self, state: BalancerState, accounting: LoadAccounting) -> None:
        """Record reports in `state`, and update the loads of servers through `accounting`."""
        self._state = state
        self._accounting = accounting

    def start_due_checks(self, now: float) -> list[CheckHealth]:
        """Return the health checks that are due and count them as sent; new servers are checked at once."""
        state = self._state
        interval = health_check_interval(state.settings, state.ready_count, state.request_rate.smoothed())
        interval -= SLOT_SECONDS / 2  # a tolerance of half a tick
        return [
            CheckHealth(server.id)
            for server in state.servers.values()
            if state.uses_load_reports and server.is_ready and server.reported.mark_check_sent_if_due(now, interval)
        ]

    def record_report(self, now: float, server: Server, report: LoadReport | None) -> bool:
        """Record the report of a server; return whether it was usable."""
        state = self._state
        mean_load = self._accounting.mean_connection_load()
        if not state.uses_load_reports:
            return False
        capacity_fraction = state.capacity_fraction(now, server)
        default_capacity = state.reported_capacity * capacity_fraction or 1.0
        if not server.reported.update(report, server.own_load, mean_load, default_capacity):
            return False
        if server.reported.capacity and capacity_fraction >= 1.0:
            report_count = FLEET_CAPACITY_SMOOTHING_REPORTS if state.reported_capacity else 1
            state.reported_capacity += (server.reported.capacity - state.reported_capacity) / report_count
        self._accounting.update_load(server)
        return True
