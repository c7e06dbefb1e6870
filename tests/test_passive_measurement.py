"""Passive measurement: the ratios that follow from accepted attempts, against figures worked out by hand."""

from __future__ import annotations

import pytest
from helpers import BalancerHarness, make_endpoint

from aspensaddle.core.attempt_window import WINDOW_SLOTS
from aspensaddle.core.events import ServerState
from aspensaddle.core.passive_measurement import CUT_FRACTION


def ratios(harness: BalancerHarness) -> dict[int, float]:
    return {
        server.id: server.ratio + harness.balancer.rotation.pending_ratio_increase
        for server in harness.balancer.servers.values()
        if server.is_ready
    }


def count_failure(harness: BalancerHarness, server: int) -> None:
    """Count one attempt that the server did not accept."""
    harness.balancer.passive_measurement.count(harness.balancer.servers[server], accepted=False)


def count_accepts(harness: BalancerHarness, server: int, times: int = 1) -> None:
    for _ in range(times):
        harness.balancer.passive_measurement.count(harness.balancer.servers[server], accepted=True)


def test_ratios_start_equal_and_sum_to_one():
    assert ratios(BalancerHarness(4)) == dict.fromkeys((1, 2, 3, 4), 0.25)


def test_server_with_the_worst_rejection_ratio_loses_a_tenth_of_its_ratio_to_the_others():
    harness = BalancerHarness(5)
    count_accepts(harness, 1, 4)
    count_accepts(harness, 2, 3)
    count_failure(harness, 1)  # R = 1/4
    count_failure(harness, 2)  # R = 1/3: the worst
    harness.tick()
    ratio_by_server = ratios(harness)
    assert ratio_by_server[2] == pytest.approx(0.2 * (1 - CUT_FRACTION))
    assert ratio_by_server[1] == ratio_by_server[3] == pytest.approx(0.2 + 0.02 / 4)
    assert sum(ratio_by_server.values()) == pytest.approx(1.0)


def test_server_that_accepted_no_attempt_ranks_worst():
    harness = BalancerHarness(3)
    count_accepts(harness, 1)
    for _ in range(9):
        count_failure(harness, 1)  # R = 9
    count_failure(harness, 2)  # R is infinite
    harness.tick()
    assert ratios(harness)[2] < ratios(harness)[1]


def test_ratios_stay_while_no_attempt_fails():
    harness = BalancerHarness(3)
    count_accepts(harness, 1, 5)
    harness.tick()
    assert ratios(harness) == {n: pytest.approx(1 / 3) for n in (1, 2, 3)}


def test_failure_is_forgotten_after_all_slots_of_the_window():
    harness = BalancerHarness(2)
    count_failure(harness, 1)
    for _ in range(WINDOW_SLOTS):
        harness.tick()
    assert harness.balancer.servers[1].window.sends == 0
    after = ratios(harness)
    harness.tick()
    assert ratios(harness) == after
    assert after[1] == pytest.approx(0.5 * (1 - CUT_FRACTION) ** WINDOW_SLOTS)


def test_joining_servers_enter_at_the_mean_ratio_and_leaving_ones_rescale_it():
    harness = BalancerHarness(2)
    harness.update_endpoints(make_endpoint(3), make_endpoint(4))
    assert ratios(harness) == {n: pytest.approx(0.25) for n in (1, 2, 3, 4)}
    harness.withdraw_server(4)
    harness.update_endpoints(make_endpoint(3, state=ServerState.DRAINING))
    assert ratios(harness) == {1: pytest.approx(0.5), 2: pytest.approx(0.5)}
