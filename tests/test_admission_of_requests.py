"""Admission of requests: load shedding, tenant quotas and retry storms."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import SETTINGS, BalancerHarness
from load_report_harness import harness_with_reports, report_load
from lock_step import (
    HUNDREDS_OF_BALANCERS,
    LARGE_SERVER_COUNT,
    LOAD,
    lose_connections,
)

from aspensaddle.core.actions import (
    Reject,
    RejectReason,
    StartAttempt,
)
from aspensaddle.core.admission import MAX_UTILIZATION, MAX_UTILIZATION_OVER_QUOTA
from aspensaddle.core.events import (
    ServerLatencyReported,
)


def test_rejections_grow_with_the_fraction_of_slow_servers():
    """Guards against a fleet that sheds its clients in circles and serves nobody well."""
    harness = BalancerHarness(11)
    sends = {s.server: s for s in (harness.place() for _ in range(22))}
    for slow, refused in ((1, 0), (3, 30), (11, 60)):  # of 11 + 1: none, half, all
        for server in range(1, slow + 1):
            harness.balancer.handle(harness.now, ServerLatencyReported(sends[server].request_id, server, 0.02))
        harness.tick()
        answers = [harness.ask()[0] for _ in range(60)]
        assert abs(sum(isinstance(a, Reject) for a in answers) - refused) <= 12
        assert {a.reason for a in answers if isinstance(a, Reject)} <= {RejectReason.OVERLOAD}


def test_tenant_over_its_quota_is_rejected_sooner_with_that_reason():
    harness = BalancerHarness(11, replace(SETTINGS, tenant_connection_quotas=(0.0,)))
    sends = {s.server: s for s in (harness.place() for _ in range(22))}
    for server in (1, 2):  # of 11 + 1, a sixth
        harness.balancer.handle(harness.now, ServerLatencyReported(sends[server].request_id, server, 0.02))
    harness.tick()
    assert {harness.ask(tenant=0)[0].reason for _ in range(20)} == {RejectReason.OVER_QUOTA}
    assert all(isinstance(harness.ask(tenant=-1)[0], StartAttempt) for _ in range(20))


@pytest.mark.parametrize(("count", "waits"), [(1, False), (2, False), (40, True), (HUNDREDS_OF_BALANCERS, True)])
def test_only_reconnecting_clients_are_rejected_while_connections_are_being_lost(count, waits):
    """A server that has dropped all it held is held down by clients that come back at once, and no balancer of many
    can tell which server that is."""
    harness = BalancerHarness(LARGE_SERVER_COUNT, replace(SETTINGS, balancer_count=count))

    def refused(returning: bool) -> int:
        answers = [harness.ask(load_hint=LOAD, reconnecting=returning)[0] for _ in range(100)]
        assert all(0 < a.retry_after <= SETTINGS.limits.max_retry_after for a in answers if isinstance(a, Reject))
        assert {a.reason for a in answers if isinstance(a, Reject)} <= {RejectReason.RETRY_STORM}
        return sum(isinstance(a, Reject) for a in answers)

    assert refused(True) == 0
    lose_connections(harness, 8)
    assert (refused(True) > 60) is waits and refused(False) == 0
    for _ in range(90):
        harness.tick()
    assert refused(True) <= 10


def test_tenant_over_its_quota_is_rejected_at_a_lower_utilization():
    harness = harness_with_reports(
        tenant_connection_quotas=(60.0, 1000.0)
    )  # a twentieth stands here, so three are this one's part
    for n in harness.balancer.servers:
        report_load(harness, n, (MAX_UTILIZATION_OVER_QUOTA + MAX_UTILIZATION) / 2)
    harness.tick()
    assert [type(harness.ask(load_hint=0.001, tenant=0)[0]) for _ in range(30)].count(StartAttempt) < 6
    assert all(isinstance(harness.ask(load_hint=0.001, tenant=t)[0], StartAttempt) for t in (1, 2, -1, 10**6))
