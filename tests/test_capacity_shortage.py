"""Capacity shortage: the heaviest load of a connection that may stay."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import given
from hypothesis import strategies as st

from aspensaddle.core.capacity_shortage import (
    FAIR_SHARE_FRACTION,
    MIN_LOAD_FRACTION_OF_SERVER,
    CapacityShortage,
    ServerCapacity,
)

CORES = st.floats(0, 100)


# A derandomized test draws by the hash of its source; the seed keeps the draws of an earlier source.
@hypothesis.seed(0x0E0A90713AC8CC6B1406E9B9C757BC0FAF1DB04AA7C6B4B53B8612D9A1AF28561CB274164F2FC4C27741B7217CFB092A)
@given(
    st.lists(st.tuples(CORES, st.floats(0, 1)), max_size=30),
    st.integers(0, 10_000),
    st.floats(0, 1),
    st.floats(0, 99),
)
def test_allowed_load_is_at_least_a_fair_share_and_unlimited_without_a_shortage(listed, stand, blind, breaks):
    servers = [ServerCapacity(cores, cores * warm) for cores, warm in listed]
    short = CapacityShortage()
    short.update(servers, stand, blind, breaks)
    cores = sum(server.listed_cores for server in servers)
    assert 0 <= short.missing_fraction <= blind
    assert short.max_connection_load >= max(
        FAIR_SHARE_FRACTION * cores / max(1, stand), MIN_LOAD_FRACTION_OF_SERVER * cores / max(1, len(servers))
    )
    tight, eased = CapacityShortage(), CapacityShortage()
    tight.update([ServerCapacity(server.listed_cores, 0.0) for server in servers], stand, blind, breaks + 1)
    assert tight.missing_fraction >= short.missing_fraction and tight.max_connection_load <= short.max_connection_load
    eased.update([ServerCapacity(server.listed_cores, server.listed_cores) for server in servers], stand, blind, 0.0)
    assert eased.missing_fraction == 0 and eased.max_connection_load == float("inf")


def shortage_of(available: float, **more: float) -> CapacityShortage:
    """Ten servers of one core each, with `available` cores in all and 100 connections in the fleet."""
    shortage = CapacityShortage()
    figures = {"fleet_connections": 100, "weight": 1.0, "lost_connections": 0.0, **more}
    shortage.update([ServerCapacity(1.0, available / 10)] * 10, **figures)
    return shortage


@pytest.mark.parametrize(("available", "missing"), [(10.0, 0.0), (8.75, 0.5), (7.5, 1.0), (0.0, 1.0)])
def test_missing_is_the_fraction_of_the_spare_quarter_that_is_not_available(available, missing):
    assert shortage_of(available).missing_fraction == pytest.approx(missing)


def test_allowed_load_falls_with_the_shortage():
    # A fair share is 0.25 * 10 cores / 100 connections; 0.03 of a server's cores are more.
    assert shortage_of(7.5).max_connection_load == pytest.approx(0.03)
    assert shortage_of(8.75).max_connection_load == pytest.approx(0.03 / 0.5)
    assert shortage_of(10.0).max_connection_load == float("inf")


def test_allowed_load_is_at_least_half_the_mean_load():
    assert shortage_of(7.5, mean_load=0.2).max_connection_load == pytest.approx(0.1)


def test_lost_connections_limit_the_load_without_missing_capacity():
    shortage = shortage_of(10.0, lost_connections=1.0)
    assert shortage.missing_fraction == 0.0
    assert shortage.max_connection_load == pytest.approx(0.03 / (0.3 * 0.5))


def test_balancer_that_sees_the_whole_fleet_finds_no_shortage():
    shortage = shortage_of(0.0, weight=0.0, lost_connections=9.0)
    assert (shortage.missing_fraction, shortage.max_connection_load) == (0.0, float("inf"))
