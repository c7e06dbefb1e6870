"""Weighted rotation: the shares of servers by ratio, weight and machine type."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import SETTINGS, BalancerHarness, make_endpoint
from lock_step import DiscoveryHarness, listed_target

from aspensaddle.core.actions import StartAttempt
from aspensaddle.core.events import Outcome


def test_rotation_shares_follow_the_ratios():
    harness = BalancerHarness(2)
    harness.balancer.servers[1].ratio, harness.balancer.servers[2].ratio = 0.75, 0.25
    harness.lay_out()
    sent = [harness.place().server for _ in range(40)]
    assert sent.count(1) in (29, 30, 31)
    # smooth: never more than four of the heavy one in a row
    assert "11111" not in "".join(map(str, sent))


def test_rotation_begins_at_a_random_server():
    firsts = set()
    for seed in range(20):
        (send,) = BalancerHarness(4, seed=seed).submit_request()
        assert isinstance(send, StartAttempt)
        firsts.add(send.server)
    assert firsts == {1, 2, 3, 4}


def test_ended_connections_are_credited_to_their_server():
    harness = BalancerHarness(2)
    sends = [harness.place() for _ in range(10)]
    for s in sends:
        if s.server == 1:
            harness.end(s, Outcome.OK, finished=True)
    assert [harness.place().server for _ in range(5)] == [1] * 5


def test_rotation_counts_load_not_connections():
    harness = BalancerHarness(2)
    heavy = harness.place(load_hint=9.0)
    light = [harness.place(load_hint=1.0).server for _ in range(8)]
    assert heavy.server not in light


def test_listed_weights_scale_the_shares():
    harness = BalancerHarness([make_endpoint(1, weight=3.0), make_endpoint(2, weight=1.0)])
    sent = [harness.place().server for _ in range(40)]
    assert sent.count(1) in (29, 30, 31)


def test_shares_follow_the_core_speed_of_the_machine_type():
    """Listed weights are core counts; the speed of a core depends on the machine type."""
    settings = replace(SETTINGS, machine_types=("other", "plain-runner", "fast-runner"), core_speeds=(1.0, 0.97, 1.5))
    harness = BalancerHarness(
        [
            make_endpoint(1, machine_type=1),
            make_endpoint(2, machine_type=2),
            make_endpoint(3, machine_type=0),
            make_endpoint(4),
        ],
        settings=settings,
    )
    for _ in range(447):
        harness.place(load_hint=0.01)
    held = {n: len(s.connections) for n, s in harness.balancer.servers.items()}
    assert abs(held[1] - 97) <= 2 and abs(held[2] - 150) <= 2 and abs(held[3] - 100) <= 2, held
    harness.update_endpoints(make_endpoint(1, machine_type=2))  # and by what the list says now
    assert harness.balancer.servers[1].weight == harness.balancer.servers[2].weight


@pytest.mark.parametrize(("weight", "least", "most"), [(None, 12, 18), (0, 0, 0), (1e-9, 0, 1), (999999999, 51, 60)])
def test_missing_weight_is_1_and_a_weight_of_0_gets_no_requests(weight, least, most):
    harness = DiscoveryHarness(
        [listed_target(0, capacity_hint=weight), *(listed_target(n, capacity_hint=1.0) for n in range(1, 4))], 230
    )
    assert least <= [harness.fleet.uid(harness.ends().server) for _ in range(60)].count("s-0") <= most
