"""Migration: which open connections are asked to reconnect."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import SETTINGS, BalancerHarness, make_endpoint
from lock_step import (
    HUNDREDS_OF_BALANCERS,
    LARGE_SERVER_COUNT,
    LOAD,
    MANY_BALANCERS,
    MESSAGE_LATENCY_OBJECTIVE,
    SERVER_COUNT,
    SESSION_GROUP_SETTINGS,
    harnesses_in_lock_step,
    large_fleet,
    lose_connections,
    place_with_reported_load,
)

from aspensaddle.core.actions import Migrate, Reject, RejectReason
from aspensaddle.core.events import AttemptEnded, ConnectionLoadReported, Outcome, ServerLatencyReported, ServerState
from aspensaddle.core.migration import REBALANCE_FRACTION


def harness_with_grown_loads(servers, **more):
    """A harness whose server 1 has connections with loads that grew after they were placed."""
    harness = BalancerHarness(servers, **more)
    sends = [harness.place(load_hint=0.02) for _ in range(20 * servers)]
    for send in sends:
        if send.server == 1:
            harness.balancer.handle(
                harness.now, ConnectionLoadReported(send.request_id, 1, 0.05 + 0.001 * int(send.request_id[1:]))
            )
    return harness


def migrations(harness, ticks=10):
    return [a for _ in range(ticks) for a in harness.tick() if isinstance(a, Migrate)]


def test_slow_server_loses_connections_the_heaviest_first():
    harness = BalancerHarness(4)
    sends = [harness.place(load_hint=float(n)) for n in range(1, 41)]
    on = [s for s in sends if s.server == sends[0].server]
    moves = harness.balancer.handle(harness.now, ServerLatencyReported(on[0].request_id, on[0].server, 0.06))
    assert 1 <= len(moves) <= 2 and moves[0] == Migrate(on[-1].request_id)


def test_server_far_over_the_mean_load_loses_its_heaviest_connections():
    harness = harness_with_grown_loads(4)
    before = harness.balancer.servers[1].load
    first = migrations(harness, 1)
    assert len(first) <= 3  # a tenth of 20, or less, a tick
    gone = first + migrations(harness)
    assert 2 <= len(gone) <= 20
    loads = [harness.balancer.requests[m.request_id].load for m in gone]
    assert min(loads) > max(r.load for r in harness.balancer.servers[1].connections.values())  # the heaviest
    for m in gone:
        harness.balancer.handle(harness.now, AttemptEnded(m.request_id, 0, 1, Outcome.CANCELLED, 0.0, True))
    assert harness.balancer.servers[1].load < before


def test_no_connection_migrates_where_it_would_not_help():
    assert not migrations(harness_with_grown_loads(1))  # nowhere else to go
    even = BalancerHarness(4)
    for _ in range(80):
        even.place(load_hint=0.05)
    assert not migrations(even)
    light = BalancerHarness(4)
    for n in range(8):
        light.place(load_hint=0.01 * n)
    assert not migrations(light)  # far from evenly, but hardly any load
    alone = harness_with_grown_loads(2)
    other = alone.balancer.servers[2]
    other.ejected_until = alone.now + 100
    alone.lay_out()
    assert not migrations(alone)


def test_connection_that_also_frees_a_session_group_migrates_first():
    harness = BalancerHarness(2, settings=replace(SETTINGS, session_groups=True))
    harness.balancer.servers[2].ejected_until = harness.now + 1.0
    harness.lay_out()
    for _ in range(20):
        harness.place(load_hint=0.05, session_group=1)
    last = harness.place(load_hint=0.04, session_group=2)  # the only one of its group here
    harness.now += 5.0
    harness.lay_out()
    assert migrations(harness, 1)[0].request_id == last.request_id


def test_more_leaves_a_slow_server_where_most_balancers_get_no_report_of_it():
    """Balancers without connections there get no report and keep placing there, so that as many more must leave."""
    harnesses, rounds, moved, there = harnesses_in_lock_step(), 200, 0, 0
    for _ in range(4):
        for harness in harnesses:
            harness.place(load_hint=LOAD)
    unheard = (
        sum(not s.connections for harness in harnesses for s in harness.balancer.servers.values())
        / MANY_BALANCERS
        / SERVER_COUNT
    )
    assert unheard > 0.5
    for harness in harnesses:
        harness.tick()
    for harness in (harness for harness in harnesses if harness.balancer.servers[3].connections):
        s, held = harness.balancer.servers[3], dict(harness.balancer.servers[3].connections)
        for _ in range(rounds):  # the same connections again and again
            there += len(held)
            moved += len(
                harness.balancer.handle(harness.now, ServerLatencyReported("", 3, MESSAGE_LATENCY_OBJECTIVE)) or []
            )
            s.connections.update(held)
    assert 0.9 < moved / there / (REBALANCE_FRACTION * (1 + unheard)) < 1.1


@pytest.mark.parametrize(
    ("count", "cores", "breaks", "leaves"),
    [
        (1, 2.0, 3, False),
        (2, 2.0, 3, False),
        (HUNDREDS_OF_BALANCERS, 2.0, 3, True),
        (HUNDREDS_OF_BALANCERS, 40.0, 3, False),
        (HUNDREDS_OF_BALANCERS, 2.0, 0, False),
    ],
)
def test_heaviest_connections_migrate_while_servers_lose_connections_for_lack_of_capacity(
    count, cores, breaks, leaves
):
    """A twentieth of the connections may cause most of the load, and each counts no more than a light one."""
    harness = BalancerHarness(
        [make_endpoint(n, weight=cores) for n in range(LARGE_SERVER_COUNT)], replace(SETTINGS, balancer_count=count)
    )
    lose_connections(harness, breaks)
    light = [place_with_reported_load(harness, 0.02) for _ in range(4)]
    heavy, moves = place_with_reported_load(harness, 0.8)
    assert not any(m for _, m in light)
    assert [a.request_id for a in [*moves, *harness.tick()] if isinstance(a, Migrate)] == (
        [heavy.request_id] if leaves else []
    )
    assert not [a for a in harness.tick() if isinstance(a, Migrate)]  # once
    harness.end(heavy, Outcome.CANCELLED, finished=True)
    again, moves = place_with_reported_load(harness, 0.9)
    assert [a.request_id for a in moves if isinstance(a, Migrate)] == ([again.request_id] if leaves else [])
    assert not any(isinstance(a, Migrate) for a in place_with_reported_load(harness, 0.01)[1])
    for send, _ in light:  # loads swing: one that grows heavy leaves too, and one that stays light does not
        harness.balancer.handle(harness.now, ConnectionLoadReported(send.request_id, send.server, 0.03))
    assert count <= 2 or not [a for a in harness.tick() if isinstance(a, Migrate)]  # few even out what they see


@pytest.mark.parametrize("why", ["cold", "draining"])
@pytest.mark.parametrize(("count", "leaves"), [(1, False), (2, False), (200, True)])
def test_heaviest_connections_migrate_only_while_the_list_shows_a_capacity_shortage(count, leaves, why):
    harness = BalancerHarness(large_fleet(60), replace(SESSION_GROUP_SETTINGS, balancer_count=count))
    light, heavy = (
        [place_with_reported_load(harness, 0.02)[0] for _ in range(6)],
        place_with_reported_load(harness, 0.8)[0],
    )
    for _ in range(3):
        assert not [a for a in harness.tick() if isinstance(a, Migrate)]
    gone = [
        make_endpoint(n, weight=2.0, state=ServerState.DRAINING)
        for n in range(60)
        if n not in {heavy.server} and n % 3 == 0
    ]
    harness.update_endpoints(
        *(gone if why == "draining" else [replace(e, state=ServerState.READY, started_at=harness.now) for e in gone])
    )
    moved = {a.request_id for a in harness.tick() if isinstance(a, Migrate)}
    assert (heavy.request_id in moved) is leaves and not moved & {s.request_id for s in light if s.server % 3}
    answers = [harness.submit_request(load_hint=0.02, reconnecting=True)[0] for _ in range(200)]
    stormed = sum(isinstance(a, Reject) and a.reason is RejectReason.RETRY_STORM for a in answers)
    assert (60 <= stormed <= 150) if leaves else not stormed
    assert not any(isinstance(harness.submit_request(load_hint=0.02)[0], Reject) for _ in range(50))  # new clients
