"""Load reports of servers: the capacity of a server, and the load that all balancers together place on it.

Loads are in seconds of a standard core per second. A report contains the utilization of a server and its number of
connections, both from all balancers together. It is delayed and inexact (`docs/deployments.md`).
"""

from __future__ import annotations

from dataclasses import dataclass

from aspensaddle.core.events import LoadReport
from aspensaddle.core.load_report_fields import has_load_fields
from aspensaddle.core.settings import Settings

CAPACITY_SMOOTHING_REPORTS = 4  # the capacity is a running mean over this many reports
# Reports below either of these two say too little about the capacity and do not update it.
MIN_REPORTED_CONNECTIONS = 5.0
MIN_REPORTED_UTILIZATION = 0.02
MAX_PLAUSIBLE_UTILIZATION = 1e3
MAX_PLAUSIBLE_CONNECTIONS = 1e9
HEALTH_CHECK_COST_FRACTION = 0.005  # fraction of the operators' score that all health checks together may cost
DEFAULT_CHECK_INTERVAL_SECONDS = 5.0


@dataclass(slots=True)
class ReportedLoad:
    """The load and capacity of one server by its reports. A capacity of 0 is not known yet."""

    connection_capacity: float = 0.0  # connections at a utilization of 1
    capacity: float = 0.0  # load at a utilization of 1
    load: float = 0.0  # load from all balancers at the time of the report
    own_load: float = 0.0  # load from this balancer at the time of the report
    connections: float = 0.0  # from all balancers
    check_sent_at: float = float("-inf")

    def mark_check_sent_if_due(self, now: float, interval: float) -> bool:
        """Return whether a health check is due, `interval` seconds after the last one; if so, count it as sent."""
        if now < self.check_sent_at + interval:
            return False
        self.check_sent_at = now
        return True

    def update(
        self, report: LoadReport | None, own_load: float, mean_connection_load: float, default_capacity: float
    ) -> bool:
        """Update the load and capacity from a report; return False if it is missing or out of range.

        `own_load` is the load from this balancer on the server, `mean_connection_load` the mean load of a connection,
        and `default_capacity` the capacity to assume while that of the server is unknown.
        """
        if report is None:
            return False
        utilization = report.utilization
        connections = report.connections
        if not (
            0 <= utilization < MAX_PLAUSIBLE_UTILIZATION and 0 <= connections < MAX_PLAUSIBLE_CONNECTIONS
        ):  # NaN fails too
            return False
        if connections >= MIN_REPORTED_CONNECTIONS and utilization >= MIN_REPORTED_UTILIZATION:
            weight = CAPACITY_SMOOTHING_REPORTS if self.connection_capacity else 1
            self.connection_capacity += (connections / utilization - self.connection_capacity) / weight
        self.capacity = self.connection_capacity * mean_connection_load
        self.load = utilization * (self.capacity or default_capacity)
        self.own_load = own_load
        self.connections = connections
        return True

    def current_load(self, own_load: float, balancer_count: int) -> float:
        """Estimate the current load of the server, from all balancers.

        The load from each balancer is assumed to have changed since the report as much as that from this one.
        """
        return max(0.0, self.load + balancer_count * (own_load - self.own_load))


def uses_load_reports(settings: Settings) -> bool:
    """Return whether health checks report the load that all balancers together place on a server."""
    return settings.limits.health_checks_allowed and has_load_fields(settings.load_report_fields)


def health_check_interval(settings: Settings, server_count: int, requests_per_second: float) -> float:
    """Return the interval in seconds between two health checks of a server.

    It is chosen so that all health checks together cost `HEALTH_CHECK_COST_FRACTION` of the operators' score at
    `health_check_price`, whatever the number of balancers. `requests_per_second` is the rate that this balancer
    admits.
    """
    if requests_per_second <= 0:
        return DEFAULT_CHECK_INTERVAL_SECONDS
    return settings.health_check_price * server_count / (HEALTH_CHECK_COST_FRACTION * requests_per_second)
