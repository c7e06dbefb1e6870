"""Health checks: which servers are checked, and how often."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import SETTINGS, BalancerHarness, make_endpoint
from load_report_harness import HEALTH_CHECK_SETTINGS, harness_with_reports

from aspensaddle.core.actions import CheckHealth
from aspensaddle.core.events import ServerState


@pytest.mark.parametrize(("price", "a_second"), [(0.0029, 4.0), (0.029, 10 * 0.005 / 0.029)])
def test_health_checks_stay_within_their_cost_budget(price, a_second):
    harness, asked = BalancerHarness(4, replace(HEALTH_CHECK_SETTINGS, health_check_price=price)), 0
    for _ in range(30):
        for _ in range(10):
            harness.place(load_hint=0.001)
        asked += sum(isinstance(a, CheckHealth) for a in harness.tick())
    assert asked / 30 <= 1.1 * a_second and asked >= 4


@pytest.mark.parametrize(
    "settings",
    [
        SETTINGS,
        replace(HEALTH_CHECK_SETTINGS, limits=SETTINGS.limits),
        replace(HEALTH_CHECK_SETTINGS, load_report_fields=("x0",)),
    ],
)
def test_no_health_check_where_settings_forbid_them_or_reports_lack_load(settings):
    harness = BalancerHarness(4, settings)
    assert not [a for _ in range(10) for a in harness.tick() if isinstance(a, CheckHealth)]


def test_only_ready_servers_are_checked_and_new_ones_at_once():
    harness = harness_with_reports()
    harness.withdraw_server(1, ServerState.DRAINING)
    assert [a.server for a in harness.update_endpoints(make_endpoint(9)) if isinstance(a, CheckHealth)] == [9]
    harness.now += 60
    assert {a.server for a in harness.tick() if isinstance(a, CheckHealth)} == {2, 3, 4, 9}
