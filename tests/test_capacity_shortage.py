"""Capacity shortage: the missing fraction, and the heaviest load of a connection that is not migrated."""

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


# Hypothesis seeds a derandomized test with the hash of its source; this seed keeps the draws of an earlier source.
@hypothesis.seed(0x0E0A90713AC8CC6B1406E9B9C757BC0FAF1DB04AA7C6B4B53B8612D9A1AF28561CB274164F2FC4C27741B7217CFB092A)
@given(
    st.lists(st.tuples(CORES, st.floats(0, 1)), max_size=30),
    st.integers(0, 10_000),
    st.floats(0, 1),
    st.floats(0, 99),
)
def test_allowed_load_is_at_least_a_fair_share_and_unlimited_without_a_shortage(
    cores_and_fractions, fleet_connections, weight, losses
):
    servers = [ServerCapacity(cores, cores * capacity_fraction) for cores, capacity_fraction in cores_and_fractions]
    shortage = CapacityShortage()
    shortage.update(servers, fleet_connections, weight, losses)
    cores = sum(server.listed_cores for server in servers)
    assert 0 <= shortage.missing_fraction <= weight
    assert shortage.max_connection_load >= max(
        FAIR_SHARE_FRACTION * cores / max(1, fleet_connections),
        MIN_LOAD_FRACTION_OF_SERVER * cores / max(1, len(servers)),
    )
    total_shortage, no_shortage = CapacityShortage(), CapacityShortage()
    total_shortage.update(
        [ServerCapacity(server.listed_cores, 0.0) for server in servers], fleet_connections, weight, losses + 1
    )
    assert (
        total_shortage.missing_fraction >= shortage.missing_fraction
        and total_shortage.max_connection_load <= shortage.max_connection_load
    )
    no_shortage.update(
        [ServerCapacity(server.listed_cores, server.listed_cores) for server in servers],
        fleet_connections,
        weight,
        0.0,
    )
    assert no_shortage.missing_fraction == 0 and no_shortage.max_connection_load == float("inf")


def shortage_of(available_cores: float, **overrides: float) -> CapacityShortage:
    """Return the shortage of ten servers of one core each, with 100 connections in the fleet.

    `available_cores` is the sum over the servers.
    """
    shortage = CapacityShortage()
    arguments = {"fleet_connections": 100, "weight": 1.0, "lost_connections": 0.0, **overrides}
    shortage.update([ServerCapacity(1.0, available_cores / 10)] * 10, **arguments)
    return shortage


@pytest.mark.parametrize(("available_cores", "missing_fraction"), [(10.0, 0.0), (8.75, 0.5), (7.5, 1.0), (0.0, 1.0)])
def test_missing_fraction_is_the_part_of_the_spare_quarter_that_is_not_available(available_cores, missing_fraction):
    assert shortage_of(available_cores).missing_fraction == pytest.approx(missing_fraction)


def test_allowed_load_falls_as_the_shortage_grows():
    # The fair share, 0.25 * 10 cores / 100 connections, is less than the 0.03 of a server's cores that count here.
    assert shortage_of(7.5).max_connection_load == pytest.approx(0.03)
    assert shortage_of(8.75).max_connection_load == pytest.approx(0.03 / 0.5)
    assert shortage_of(10.0).max_connection_load == float("inf")


def test_allowed_load_is_at_least_half_the_mean_load():
    assert shortage_of(7.5, mean_load=0.2).max_connection_load == pytest.approx(0.1)


def test_lost_connections_limit_the_allowed_load_even_without_missing_capacity():
    shortage = shortage_of(10.0, lost_connections=1.0)
    assert shortage.missing_fraction == 0.0
    assert shortage.max_connection_load == pytest.approx(0.03 / (0.3 * 0.5))


def test_weight_of_zero_gives_no_shortage():
    shortage = shortage_of(0.0, weight=0.0, lost_connections=9.0)
    assert (shortage.missing_fraction, shortage.max_connection_load) == (0.0, float("inf"))
