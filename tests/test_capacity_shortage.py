"""Capacity shortage: the heaviest load of a connection that may stay."""

from __future__ import annotations

import hypothesis
from hypothesis import given
from hypothesis import strategies as st

from aspensaddle.core.capacity_shortage import (
    FAIR_SHARE_FRACTION,
    MIN_LOAD_FRACTION_OF_SERVER,
    CapacityShortage,
    ServerCapacity,
)

CORES = st.floats(0, 100)


# The seed that this had before the fields were renamed.
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
    cores = sum(server.listed for server in servers)
    assert 0 <= short.missing <= blind
    assert short.max_connection_load >= max(
        FAIR_SHARE_FRACTION * cores / max(1, stand), MIN_LOAD_FRACTION_OF_SERVER * cores / max(1, len(servers))
    )
    tight, eased = CapacityShortage(), CapacityShortage()
    tight.update([ServerCapacity(server.listed, 0.0) for server in servers], stand, blind, breaks + 1)
    assert tight.missing >= short.missing and tight.max_connection_load <= short.max_connection_load
    eased.update([ServerCapacity(server.listed, server.listed) for server in servers], stand, blind, 0.0)
    assert eased.missing == 0 and eased.max_connection_load == float("inf")
