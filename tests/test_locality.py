"""Locality: when the servers of the local zone are preferred."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import SETTINGS, BalancerHarness, make_endpoint
from lock_step import LOAD, MANY_BALANCERS, MANY_BALANCERS_SETTINGS, SERVER_COUNT

from aspensaddle.core.balancer_state import BalancerState
from aspensaddle.core.locality import MAX_LOCAL_LOAD_PER_CORE, MAX_LOCAL_LOAD_RATIO, prefers_local_zone

TWO_ZONES = [make_endpoint(n, zone=n % 2) for n in range(10)]


def test_local_zone_is_preferred_while_its_load_is_within_the_limits():
    harness = BalancerHarness(TWO_ZONES, settings=replace(SETTINGS, zone_count=2))
    assert all(harness.place().server % 2 == 0 for _ in range(20))


def test_small_local_zone_is_not_overloaded_by_its_own_clients():
    servers = [make_endpoint(0, zone=0)] + [make_endpoint(n, zone=1) for n in range(1, 10)]
    harness = BalancerHarness(servers, settings=replace(SETTINGS, zone_count=2))
    local_connections = sum(harness.place().server == 0 for _ in range(40))
    # The limit is MAX_LOCAL_LOAD_RATIO (1.25) x 2 zones x a tenth of the shares: 10 of 40 connections.
    assert 8 <= local_connections <= 12


def test_reconnecting_clients_of_a_failed_balancer_are_spread_over_the_whole_fleet():
    """They arrive together, and this balancer does not know how much capacity its local zone has left."""
    harness = BalancerHarness(TWO_ZONES, settings=replace(SETTINGS, zone_count=2))
    servers = [harness.place(load_hint=0.05).server for _ in range(200)]  # 10 listed cores, 5 in the local zone
    first = servers[:25]  # a load of 1.25 for the 5 local cores
    assert all(number % 2 == 0 for number in first[:20])
    per_server = [servers.count(n) for n in range(10)]
    assert max(per_server) - min(per_server) <= 4


def test_other_zone_is_used_while_all_servers_of_the_local_zone_are_ejected():
    harness = BalancerHarness(TWO_ZONES, settings=replace(SETTINGS, zone_count=2))
    for server in range(0, 10, 2):
        harness.balancer.servers[server].consecutive_failures, harness.balancer.servers[server].ejected_until = (
            1,
            harness.now + 5,
        )
    harness.rebuild_rotation()
    assert all(harness.place().server % 2 == 1 for _ in range(5))


@pytest.mark.parametrize(("count", "local"), [(2, True), (MANY_BALANCERS, False)])
def test_local_zone_is_preferred_by_the_estimated_load_of_all_balancers(count, local):
    """Each of forty balancers sees only a fortieth of the load of its zone."""
    servers = [make_endpoint(n, zone=n % 2) for n in range(1, SERVER_COUNT + 1)]
    harness = BalancerHarness(servers, replace(MANY_BALANCERS_SETTINGS, balancer_count=count, zone_count=2, zone=0))
    zones = [harness.balancer.servers[harness.place(load_hint=LOAD).server].zone for _ in range(16)]
    assert (set(zones) == {0}) is local


def state_with_pools(local_load: float, fleet_load: float, balancer_count: int = 1) -> BalancerState:
    """Return a state with two zones and ten ready servers of equal share, one of them in the local zone."""
    state = BalancerState(replace(SETTINGS, zone_count=2, balancer_count=balancer_count), seed=1)
    state.ready_count = 10
    state.load_samples = 100
    for pool, count, load in ((state.local_pool, 1, local_load), (state.fleet_pool, 10, fleet_load)):
        pool.available_count, pool.share, pool.load = count, count / 10, load
    return state


def test_local_zone_is_not_preferred_without_an_available_server():
    state = state_with_pools(local_load=0.0, fleet_load=1.0)
    assert prefers_local_zone(state)
    state.local_pool.available_count = 0
    assert not prefers_local_zone(state)


def test_local_zone_is_not_preferred_while_no_server_of_the_fleet_is_available():
    state = state_with_pools(local_load=0.0, fleet_load=0.0)
    state.local_pool.available_count = state.fleet_pool.available_count = 0
    assert not prefers_local_zone(state)


@pytest.mark.parametrize(("factor", "preferred"), [(0.99, True), (1.01, False)])
def test_local_zone_is_preferred_up_to_a_multiple_of_the_load_per_share_of_the_fleet(factor, preferred):
    fleet_load = 0.1  # per share; the local zone has a tenth of all shares
    local_load = factor * MAX_LOCAL_LOAD_RATIO * 2 * fleet_load / 10
    assert prefers_local_zone(state_with_pools(local_load, fleet_load)) is preferred


@pytest.mark.parametrize(("factor", "preferred"), [(0.99, True), (1.01, False)])
def test_local_zone_is_preferred_up_to_a_load_per_listed_core(factor, preferred):
    local_load = factor * MAX_LOCAL_LOAD_PER_CORE  # the local zone has one core
    assert prefers_local_zone(state_with_pools(local_load, fleet_load=10.0)) is preferred


def test_load_of_other_balancers_is_estimated_when_there_are_many():
    local_load = MAX_LOCAL_LOAD_PER_CORE / 2
    assert prefers_local_zone(state_with_pools(local_load, fleet_load=10.0, balancer_count=4))
    assert not prefers_local_zone(state_with_pools(local_load, fleet_load=10.0, balancer_count=6))


def test_limit_per_core_does_not_apply_while_no_connection_load_is_known():
    state = state_with_pools(local_load=2 * MAX_LOCAL_LOAD_PER_CORE, fleet_load=10.0)
    assert not prefers_local_zone(state)
    state.load_samples = 0
    assert prefers_local_zone(state)
