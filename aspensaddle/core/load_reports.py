"""Load reports of servers: their capacity, and the load that all balancers ask of them.

Loads are seconds of a standard core per second. A report gives the utilization of a server and its connections, of
all balancers together, with some delay and error (`docs/deployments.md`).
"""

from __future__ import annotations

from dataclasses import dataclass

from aspensaddle.core.events import LoadReport
from aspensaddle.core.load_report_fields import has_load_fields
from aspensaddle.core.settings import Settings

SMOOTHED_REPORTS = 4  # a capacity is a running mean over so many reports
MIN_CONNECTIONS = 5.0  # below these two a report says nothing of the capacity
MIN_UTILIZATION = 0.02
MAX_PLAUSIBLE_UTILIZATION = 1e3
MAX_PLAUSIBLE_CONNECTIONS = 1e9
HEALTH_CHECK_COST_FRACTION = 0.005  # of the operators' score, for all health checks together
DEFAULT_CHECK_INTERVAL_SECONDS = 5.0


@dataclass(slots=True)
class ReportedLoad:
    """What one server reported. A capacity of 0 is not known yet."""

    connection_capacity: float = 0.0  # connections that it can bear
    capacity: float = 0.0
    load: float = 0.0  # of all balancers, at the report
    own_load: float = 0.0  # of this balancer, at the report
    connections: float = 0.0
    checked_at: float = float("-inf")

    def mark_check_sent_if_due(self, now: float, interval: float) -> bool:
        """Return whether a health check is due after `interval` seconds, and count it as sent."""
        if now < self.checked_at + interval:
            return False
        self.checked_at = now
        return True

    def update(
        self, report: LoadReport | None, own_load: float, mean_connection_load: float, default_capacity: float
    ) -> bool:
        """Take a report; return False where it is missing or out of range.

        `own_load` is this balancer's load there, `default_capacity` that of a server without a known capacity.
        """
        if report is None:
            return False
        utilization = report.utilization
        connections = report.connections
        if not (
            0 <= utilization < MAX_PLAUSIBLE_UTILIZATION and 0 <= connections < MAX_PLAUSIBLE_CONNECTIONS
        ):  # NaN too
            return False
        if connections >= MIN_CONNECTIONS and utilization >= MIN_UTILIZATION:
            weight = SMOOTHED_REPORTS if self.connection_capacity else 1
            self.connection_capacity += (connections / utilization - self.connection_capacity) / weight
        self.capacity = self.connection_capacity * mean_connection_load
        self.load = utilization * (self.capacity or default_capacity)
        self.own_load = own_load
        self.connections = connections
        return True

    def current_load(self, own_load: float, balancer_count: int) -> float:
        """Return the load now, if the other balancers changed theirs as much as this one since the report."""
        return max(0.0, self.load + balancer_count * (own_load - self.own_load))


def uses_load_reports(settings: Settings) -> bool:
    """Return whether health checks tell the load that all balancers together ask of a server."""
    return settings.limits.health_checks_allowed and has_load_fields(settings.load_report_fields)


def health_check_interval(settings: Settings, server_count: int, requests_per_second: float) -> float:
    """Return the seconds between two health checks of a server.

    All checks together cost `HEALTH_CHECK_COST_FRACTION` of the score at the settings' price, whatever the number of
    balancers. `requests_per_second` are admitted by this balancer.
    """
    if requests_per_second <= 0:
        return DEFAULT_CHECK_INTERVAL_SECONDS
    return settings.health_check_price * server_count / (HEALTH_CHECK_COST_FRACTION * requests_per_second)
