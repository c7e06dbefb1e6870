"""Locality: when the servers of the local zone are preferred."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import SETTINGS, BalancerHarness, entry
from lock_step import (
    LOAD,
    MANY_BALANCERS,
    MANY_BALANCERS_SETTINGS,
    SERVER_COUNT,
)

TWO_ZONES = [entry(n, zone=n % 2) for n in range(10)]


def test_local_zone_is_preferred_within_a_bound():
    harness = BalancerHarness(TWO_ZONES, settings=replace(SETTINGS, zone_count=2))
    assert all(harness.place().server % 2 == 0 for _ in range(20))


def test_small_local_zone_is_not_overloaded_by_its_own_clients():
    servers = [entry(0, zone=0)] + [entry(n, zone=1) for n in range(1, 10)]
    harness = BalancerHarness(servers, settings=replace(SETTINGS, zone_count=2))
    here = sum(harness.place().server == 0 for _ in range(40))
    assert 8 <= here <= 12  # 1.25 x 2 zones x a tenth of the share


def test_reconnecting_clients_of_a_lost_balancer_use_the_whole_fleet():
    """They come over in a crowd, and their zone's servers have room that this balancer can't see."""
    harness = BalancerHarness(TWO_ZONES, settings=replace(SETTINGS, zone_count=2))
    servers = [harness.place(load_hint=0.05).server for _ in range(200)]  # 10 cores listed, 5 of them here
    first = servers[:25]  # 1.25 of load for 5 cores
    assert all(s % 2 == 0 for s in first[:20])
    per_server = [servers.count(n) for n in range(10)]
    assert max(per_server) - min(per_server) <= 4


def test_local_zone_that_is_ejected_whole_is_left():
    harness = BalancerHarness(TWO_ZONES, settings=replace(SETTINGS, zone_count=2))
    for server in range(0, 10, 2):
        harness.balancer.servers[server].consecutive_failures, harness.balancer.servers[server].ejected_until = (
            1,
            harness.now + 5,
        )
    harness.lay_out()
    assert all(harness.place().server % 2 == 1 for _ in range(5))


@pytest.mark.parametrize(("count", "local"), [(2, True), (MANY_BALANCERS, False)])
def test_local_zone_is_preferred_by_the_estimated_load_of_all_balancers(count, local):
    """One of forty carries next to nothing itself while its zone is buried under what all send there."""
    servers = [entry(n, zone=n % 2) for n in range(1, SERVER_COUNT + 1)]
    harness = BalancerHarness(servers, replace(MANY_BALANCERS_SETTINGS, balancer_count=count, zone_count=2, zone=0))
    zones = [harness.balancer.servers[harness.place(load_hint=LOAD).server].zone for _ in range(16)]
    assert (set(zones) == {0}) is local
