"""A balancer whose servers report their load."""

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


def report_load(harness: BalancerHarness, server: int, x0: float, held: float = 100, **more: float) -> list:
    told = parse_load_report({"x0": x0, "inflight": held, **more})
    return harness.balancer.handle(harness.now, HealthCheckCompleted(server, Outcome.OK, 0.01, told)) or []


def harness_with_reports(servers=4, **more) -> BalancerHarness:
    """A harness with five connections a server, whose servers all reported a utilization of 0.4."""
    harness = BalancerHarness(servers, replace(HEALTH_CHECK_SETTINGS, **more))
    for _ in range(5 * len(harness.balancer.servers)):
        harness.place(load_hint=0.02)
    for n in harness.balancer.servers:
        report_load(harness, n, 0.4)
    return harness
