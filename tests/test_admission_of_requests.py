"""Admission of requests: load shedding, tenant quotas and retry storms."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import Any

import pytest
from helpers import SETTINGS, BalancerHarness
from load_report_harness import harness_with_reports, report_load
from lock_step import HUNDREDS_OF_BALANCERS, LARGE_SERVER_COUNT, LOAD, lose_connections

from aspensaddle.core.actions import Reject, RejectReason, StartAttempt
from aspensaddle.core.admission import (
    MAX_UTILIZATION,
    MAX_UTILIZATION_OVER_QUOTA,
    SHORTAGE_REJECT_FRACTION,
    Admission,
)
from aspensaddle.core.balancer_state import BalancerState
from aspensaddle.core.events import Request, ServerLatencyReported
from aspensaddle.core.request_state import RequestState


def test_rejections_grow_with_the_fraction_of_slow_servers():
    """Without rejections, an overloaded fleet would migrate its clients from server to server endlessly."""
    harness = BalancerHarness(11)
    attempts = {attempt.server: attempt for attempt in (harness.place() for _ in range(22))}
    # One more server is assumed not to be slow: of 11 + 1 servers, 1, 3 and 11 slow ones reject none, half and all.
    for slow_count, expected_rejections in ((1, 0), (3, 30), (11, 60)):
        for server in range(1, slow_count + 1):
            harness.balancer.handle(harness.now, ServerLatencyReported(attempts[server].request_id, server, 0.02))
        harness.tick()
        actions = [harness.submit_request()[0] for _ in range(60)]
        assert abs(sum(isinstance(action, Reject) for action in actions) - expected_rejections) <= 12
        assert {action.reason for action in actions if isinstance(action, Reject)} <= {RejectReason.OVERLOAD}


def test_tenant_over_its_quota_is_rejected_at_fewer_slow_servers_and_with_that_reason():
    harness = BalancerHarness(11, replace(SETTINGS, tenant_connection_quotas=(0.0,)))
    attempts = {attempt.server: attempt for attempt in (harness.place() for _ in range(22))}
    for server in (1, 2):  # a sixth of 11 + 1 servers, one more being assumed not to be slow
        harness.balancer.handle(harness.now, ServerLatencyReported(attempts[server].request_id, server, 0.02))
    harness.tick()
    assert {harness.submit_request(tenant=0)[0].reason for _ in range(20)} == {RejectReason.OVER_QUOTA}
    assert all(isinstance(harness.submit_request(tenant=-1)[0], StartAttempt) for _ in range(20))


@pytest.mark.parametrize(
    ("count", "expects_rejections"), [(1, False), (2, False), (40, True), (HUNDREDS_OF_BALANCERS, True)]
)
def test_many_balancers_reject_only_reconnecting_clients_while_connections_are_being_lost(count, expects_rejections):
    """If all clients reconnected at once, they would keep the server down that lost their connections. With many
    balancers, none of them can tell which server that is."""
    harness = BalancerHarness(LARGE_SERVER_COUNT, replace(SETTINGS, balancer_count=count))

    def rejections(is_reconnect: bool) -> int:
        actions = [harness.submit_request(load_hint=LOAD, reconnecting=is_reconnect)[0] for _ in range(100)]
        assert all(
            0 < action.retry_after <= SETTINGS.limits.max_retry_after
            for action in actions
            if isinstance(action, Reject)
        )
        assert {action.reason for action in actions if isinstance(action, Reject)} <= {RejectReason.RETRY_STORM}
        return sum(isinstance(action, Reject) for action in actions)

    assert rejections(True) == 0
    lose_connections(harness, 8)
    assert (rejections(True) > 60) is expects_rejections and rejections(False) == 0
    for _ in range(90):
        harness.tick()
    assert rejections(True) <= 10


def test_tenant_over_its_quota_is_rejected_at_a_lower_utilization():
    # This balancer has 20 of 400 connections, a twentieth, so that its share of the quota of tenant 0 is three.
    harness = harness_with_reports(tenant_connection_quotas=(60.0, 1000.0))
    for server in harness.balancer.servers:
        report_load(harness, server, (MAX_UTILIZATION_OVER_QUOTA + MAX_UTILIZATION) / 2)
    harness.tick()
    assert [type(harness.submit_request(load_hint=0.001, tenant=0)[0]) for _ in range(30)].count(StartAttempt) < 6
    assert all(
        isinstance(harness.submit_request(load_hint=0.001, tenant=other)[0], StartAttempt)
        for other in (1, 2, -1, 10**6)
    )


DRAWS = 2000  # requests over which the rate of rejections is measured


def new_request(tenant: int = -1, reconnecting: bool = False) -> RequestState:
    return RequestState(Request("r1", 0, 3.0, tenant=tenant, reconnecting=reconnecting), deadline=3.0)


def reject_reasons(state: BalancerState, **request_fields: Any) -> Counter[RejectReason | None]:
    admission = Admission(state)
    return Counter(admission.reject_reason(new_request(**request_fields)) for _ in range(DRAWS))


@pytest.mark.parametrize(
    ("slow_fraction", "rejected_fraction"), [(0.0, 0.0), (1 / 6, 0.0), (1 / 4, 0.5), (1 / 3, 1.0)]
)
def test_overload_rejections_grow_from_a_sixth_to_a_third_of_slow_servers(slow_fraction, rejected_fraction):
    state = BalancerState(SETTINGS, seed=1)
    state.fleet_pool.slow_fraction = slow_fraction
    reasons = reject_reasons(state)
    assert reasons[RejectReason.OVERLOAD] == pytest.approx(rejected_fraction * DRAWS, abs=0.05 * DRAWS)
    assert set(reasons) <= {None, RejectReason.OVERLOAD}


def test_tenant_over_its_quota_is_rejected_at_half_the_slow_fraction():
    state = BalancerState(replace(SETTINGS, tenant_connection_quotas=(0.0, 10.0)), seed=1)
    state.fleet_pool.slow_fraction = 1 / 6
    assert reject_reasons(state, tenant=0) == {RejectReason.OVER_QUOTA: DRAWS}
    assert reject_reasons(state, tenant=1) == {None: DRAWS}


def test_utilization_limit_is_lower_for_a_tenant_over_its_quota():
    admission = Admission(BalancerState(replace(SETTINGS, tenant_connection_quotas=(0.0,)), seed=1))
    limits = []
    for tenant in (0, -1):
        request = new_request(tenant=tenant)
        assert admission.reject_reason(request) is None
        limits.append(request.utilization_limit)
    assert limits == [MAX_UTILIZATION_OVER_QUOTA, MAX_UTILIZATION]


def test_only_reconnecting_clients_are_rejected_during_a_capacity_shortage():
    state = BalancerState(SETTINGS, seed=1)
    state.shortage.missing_fraction = 1.0
    storm_rejections = reject_reasons(state, reconnecting=True)[RejectReason.RETRY_STORM]
    assert storm_rejections == pytest.approx(SHORTAGE_REJECT_FRACTION * DRAWS, abs=0.05 * DRAWS)
    assert reject_reasons(state) == {None: DRAWS}


@pytest.mark.parametrize(("balancer_count", "rejected_fraction"), [(2, 0.0), (10, 0.75 * 0.9)])
def test_lost_connections_reject_reconnecting_clients_only_with_many_balancers(balancer_count, rejected_fraction):
    state = BalancerState(replace(SETTINGS, balancer_count=balancer_count), seed=1)
    state.lost_connections = 9.0
    storm_rejections = reject_reasons(state, reconnecting=True)[RejectReason.RETRY_STORM]
    assert storm_rejections == pytest.approx(rejected_fraction * DRAWS, abs=0.05 * DRAWS)
