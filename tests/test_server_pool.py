"""Server pool: sums over the available servers."""

import pytest
from helpers import make_endpoint

from aspensaddle.core.server_pool import ServerPool
from aspensaddle.core.server_state import Server


def server_with(number: int, share: float, load: float) -> Server:
    server = Server(make_endpoint(number), 0.0)
    server.share = share
    server.load = load
    return server


def test_sums_include_added_servers_until_they_are_removed():
    pool = ServerPool()
    first, second = server_with(1, 0.25, 1.0), server_with(2, 0.75, 2.0)
    pool.add(first)
    pool.add(second)
    assert (pool.available_count, pool.share, pool.load) == (2, 1.0, 3.0)
    pool.remove(first)
    assert (pool.available_count, pool.share, pool.load) == (1, 0.75, 2.0)


def test_sums_of_an_empty_pool_are_exactly_zero_despite_rounding():
    pool = ServerPool()
    servers = [server_with(number, 0.1, 0.1) for number in range(3)]
    for server in servers:
        pool.add(server)
    for server in servers:
        pool.remove(server)
    assert (pool.available_count, pool.share, pool.load) == (0, 0.0, 0.0)


def test_reset_clears_rotation_heap_and_sums():
    pool = ServerPool()
    server = server_with(1, 0.5, 1.0)
    pool.add(server)
    pool.rotation_heap.append((0.0, server.id, server))
    pool.reset()
    assert (pool.rotation_heap, pool.available_count, pool.share, pool.load) == ([], 0, 0.0, 0.0)


def test_load_per_share_is_raised_by_the_fraction_of_slow_servers():
    pool = ServerPool()
    pool.add(server_with(1, 0.5, 1.0))
    assert pool.load_per_share() == pytest.approx(2.0)
    pool.slow_fraction = 0.75
    assert pool.load_per_share() == pytest.approx(8.0)


@pytest.mark.parametrize("slow_fraction", [0.0, 1.0])
def test_load_per_share_is_infinite_without_an_available_server_that_is_not_slow(slow_fraction):
    pool = ServerPool()
    if slow_fraction:
        pool.add(server_with(1, 0.5, 1.0))
    pool.slow_fraction = slow_fraction
    assert pool.load_per_share() == float("inf")
