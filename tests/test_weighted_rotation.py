"""Weighted rotation: shares of servers by ratio, weight and machine type, and the order of servers by load."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import SETTINGS, BalancerHarness, make_endpoint
from lock_step import DiscoveryHarness, endpoint_entry

from aspensaddle.core.actions import StartAttempt
from aspensaddle.core.events import Outcome


def test_connections_are_distributed_by_ratio():
    harness = BalancerHarness(2)
    harness.balancer.servers[1].ratio, harness.balancer.servers[2].ratio = 0.75, 0.25
    harness.rebuild_rotation()
    sent = [harness.place().server for _ in range(40)]
    assert sent.count(1) in (29, 30, 31)
    # The rotation is smooth: the server with the higher ratio is never chosen more than four times in a row.
    assert "11111" not in "".join(map(str, sent))


def test_rotation_starts_at_a_random_server():
    first_servers = set()
    for seed in range(20):
        (attempt,) = BalancerHarness(4, seed=seed).submit_request()
        assert isinstance(attempt, StartAttempt)
        first_servers.add(attempt.server)
    assert first_servers == {1, 2, 3, 4}


def test_server_whose_connections_ended_gets_the_next_connections():
    harness = BalancerHarness(2)
    attempts = [harness.place() for _ in range(10)]
    for attempt in attempts:
        if attempt.server == 1:
            harness.end(attempt, Outcome.OK, finished=True)
    assert [harness.place().server for _ in range(5)] == [1] * 5


def test_rotation_counts_load_instead_of_connections():
    harness = BalancerHarness(2)
    heavy = harness.place(load_hint=9.0)
    servers_of_light_connections = [harness.place(load_hint=1.0).server for _ in range(8)]
    assert heavy.server not in servers_of_light_connections


def test_connections_are_distributed_by_listed_weight():
    harness = BalancerHarness([make_endpoint(1, weight=3.0), make_endpoint(2, weight=1.0)])
    sent = [harness.place().server for _ in range(40)]
    assert sent.count(1) in (29, 30, 31)


def test_connections_are_distributed_by_the_core_speed_of_the_machine_type():
    """Listed weights are core counts. The speed of a core depends on the machine type."""
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
    connection_counts = {number: len(server.connections) for number, server in harness.balancer.servers.items()}
    assert (
        abs(connection_counts[1] - 97) <= 2
        and abs(connection_counts[2] - 150) <= 2
        and abs(connection_counts[3] - 100) <= 2
    ), connection_counts
    harness.update_endpoints(make_endpoint(1, machine_type=2))  # a changed machine type changes the weight too
    assert harness.balancer.servers[1].weight == harness.balancer.servers[2].weight


@pytest.mark.parametrize(("weight", "least", "most"), [(None, 12, 18), (0, 0, 0), (1e-9, 0, 1), (999999999, 51, 60)])
def test_missing_weight_counts_as_1_and_a_server_with_weight_0_gets_no_requests(weight, least, most):
    harness = DiscoveryHarness(
        [endpoint_entry(0, capacity_hint=weight), *(endpoint_entry(n, capacity_hint=1.0) for n in range(1, 4))], 230
    )
    assert least <= [harness.registry.uid(harness.finish_request().server) for _ in range(60)].count("s-0") <= most
