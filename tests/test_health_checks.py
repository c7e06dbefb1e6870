"""Health checks: which servers are checked, and how often."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import SETTINGS, BalancerHarness, make_endpoint
from load_report_harness import HEALTH_CHECK_SETTINGS, harness_with_reports

from aspensaddle.core.actions import CheckHealth
from aspensaddle.core.events import ServerState


@pytest.mark.parametrize(("price", "max_per_second"), [(0.0029, 4.0), (0.029, 10 * 0.005 / 0.029)])
def test_health_checks_stay_within_their_cost_budget(price, max_per_second):
    harness, checks = BalancerHarness(4, replace(HEALTH_CHECK_SETTINGS, health_check_price=price)), 0
    for _ in range(30):
        for _ in range(10):
            harness.place(load_hint=0.001)
        checks += sum(isinstance(action, CheckHealth) for action in harness.tick())
    assert checks / 30 <= 1.1 * max_per_second and checks >= 4


@pytest.mark.parametrize(
    "settings",
    [
        SETTINGS,
        replace(HEALTH_CHECK_SETTINGS, limits=SETTINGS.limits),
        replace(HEALTH_CHECK_SETTINGS, load_report_fields=("x0",)),
    ],
)
def test_no_server_is_checked_if_settings_forbid_it_or_reports_have_no_load(settings):
    harness = BalancerHarness(4, settings)
    assert not [action for _ in range(10) for action in harness.tick() if isinstance(action, CheckHealth)]


def test_only_ready_servers_are_checked_and_new_servers_at_once():
    harness = harness_with_reports()
    harness.withdraw_server(1, ServerState.DRAINING)
    assert [
        action.server for action in harness.update_endpoints(make_endpoint(9)) if isinstance(action, CheckHealth)
    ] == [9]
    harness.now += 60
    assert {action.server for action in harness.tick() if isinstance(action, CheckHealth)} == {2, 3, 4, 9}
