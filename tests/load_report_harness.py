"""A test harness for a balancer whose servers send load reports."""

from __future__ import annotations

from dataclasses import replace

from helpers import SETTINGS, BalancerHarness

from aspensaddle.core.events import HealthCheckCompleted, Outcome
from aspensaddle.core.load_report_fields import parse_load_report

HEALTH_CHECK_SETTINGS = replace(
    SETTINGS,
    balancer_count=3,
    load_report_fields=("inflight", "x0"),
    health_check_price=0.0029,
    limits=replace(SETTINGS.limits, health_checks_allowed=True),
    weights_are_sizes=False,
)


def report_load(
    harness: BalancerHarness, server: int, utilization: float, connections: float = 100, **other_fields: float
) -> list:
    """Let a health check of a server complete with a load report; return the actions that follow."""
    report = parse_load_report({"x0": utilization, "inflight": connections, **other_fields})
    return harness.balancer.handle(harness.now, HealthCheckCompleted(server, Outcome.OK, 0.01, report)) or []


def harness_with_reports(servers=4, **settings) -> BalancerHarness:
    """Return a harness with five connections per server on average; each server has reported a utilization of 0.4."""
    harness = BalancerHarness(servers, replace(HEALTH_CHECK_SETTINGS, **settings))
    for _ in range(5 * len(harness.balancer.servers)):
        harness.place(load_hint=0.02)
    for server in harness.balancer.servers:
        report_load(harness, server, 0.4)
    return harness
