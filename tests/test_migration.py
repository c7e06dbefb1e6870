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
from aspensaddle.core.migration import MIGRATED_FRACTION


def harness_with_grown_loads(servers, **arguments):
    """Return a harness whose server 1 has connections with loads that grew after they were placed."""
    harness = BalancerHarness(servers, **arguments)
    attempts = [harness.place(load_hint=0.02) for _ in range(20 * servers)]
    for attempt in attempts:
        if attempt.server == 1:
            harness.balancer.handle(
                harness.now, ConnectionLoadReported(attempt.request_id, 1, 0.05 + 0.001 * int(attempt.request_id[1:]))
            )
    return harness


def migrations(harness, ticks=10):
    return [action for _ in range(ticks) for action in harness.tick() if isinstance(action, Migrate)]


def test_slow_server_loses_its_heaviest_connections_first():
    harness = BalancerHarness(4)
    attempts = [harness.place(load_hint=float(n)) for n in range(1, 41)]
    on_slow_server = [attempt for attempt in attempts if attempt.server == attempts[0].server]
    migrate_actions = harness.balancer.handle(
        harness.now, ServerLatencyReported(on_slow_server[0].request_id, on_slow_server[0].server, 0.06)
    )
    assert 1 <= len(migrate_actions) <= 2 and migrate_actions[0] == Migrate(on_slow_server[-1].request_id)


def test_server_far_over_the_mean_load_loses_its_heaviest_connections():
    harness = harness_with_grown_loads(4)
    before = harness.balancer.servers[1].load
    first_actions = migrations(harness, 1)
    assert len(first_actions) <= 3  # per tick, at most a tenth of 20
    migrate_actions = first_actions + migrations(harness)
    assert 2 <= len(migrate_actions) <= 20
    loads = [harness.balancer.requests[migrate.request_id].load for migrate in migrate_actions]
    # The heaviest have migrated.
    assert min(loads) > max(request.load for request in harness.balancer.servers[1].connections.values())
    for migrate in migrate_actions:
        harness.balancer.handle(harness.now, AttemptEnded(migrate.request_id, 0, 1, Outcome.CANCELLED, 0.0, True))
    assert harness.balancer.servers[1].load < before


def test_no_connection_migrates_if_it_would_not_help():
    assert not migrations(harness_with_grown_loads(1))  # there is no other server
    even = BalancerHarness(4)
    for _ in range(80):
        even.place(load_hint=0.05)
    assert not migrations(even)
    light = BalancerHarness(4)
    for n in range(8):
        light.place(load_hint=0.01 * n)
    assert not migrations(light)  # spread unevenly, but with hardly any load
    alone = harness_with_grown_loads(2)
    other = alone.balancer.servers[2]
    other.ejected_until = alone.now + 100
    alone.rebuild_rotation()
    assert not migrations(alone)


def test_connection_that_also_frees_a_session_group_migrates_first():
    harness = BalancerHarness(2, settings=replace(SETTINGS, session_groups=True))
    harness.balancer.servers[2].ejected_until = harness.now + 1.0
    harness.rebuild_rotation()
    for _ in range(20):
        harness.place(load_hint=0.05, session_group=1)
    last = harness.place(load_hint=0.04, session_group=2)  # the only connection of its group
    harness.now += 5.0
    harness.rebuild_rotation()
    assert migrations(harness, 1)[0].request_id == last.request_id


def test_more_connections_leave_a_slow_server_if_most_balancers_get_no_report_of_it():
    """Balancers without connections at the server get no report and keep placing on it; the others make up for that."""
    harnesses, rounds, migrated, connection_count = harnesses_in_lock_step(), 200, 0, 0
    for _ in range(4):
        for harness in harnesses:
            harness.place(load_hint=LOAD)
    unobserved_fraction = (
        sum(not server.connections for harness in harnesses for server in harness.balancer.servers.values())
        / MANY_BALANCERS
        / SERVER_COUNT
    )
    assert unobserved_fraction > 0.5
    for harness in harnesses:
        harness.tick()
    for harness in (harness for harness in harnesses if harness.balancer.servers[3].connections):
        server, connections_before = harness.balancer.servers[3], dict(harness.balancer.servers[3].connections)
        for _ in range(rounds):  # the same connections each time
            connection_count += len(connections_before)
            migrated += len(
                harness.balancer.handle(harness.now, ServerLatencyReported("", 3, MESSAGE_LATENCY_OBJECTIVE)) or []
            )
            server.connections.update(connections_before)
    assert 0.9 < migrated / connection_count / (MIGRATED_FRACTION * (1 + unobserved_fraction)) < 1.1


@pytest.mark.parametrize(
    ("count", "cores", "lost_connections", "migrates"),
    [
        (1, 2.0, 3, False),
        (2, 2.0, 3, False),
        (HUNDREDS_OF_BALANCERS, 2.0, 3, True),
        (HUNDREDS_OF_BALANCERS, 40.0, 3, False),
        (HUNDREDS_OF_BALANCERS, 2.0, 0, False),
    ],
)
def test_heaviest_connections_migrate_while_servers_lose_connections_for_lack_of_capacity(
    count, cores, lost_connections, migrates
):
    """A twentieth of the connections may cause most of the load, and one of them is as cheap to migrate as a light one."""
    harness = BalancerHarness(
        [make_endpoint(n, weight=cores) for n in range(LARGE_SERVER_COUNT)], replace(SETTINGS, balancer_count=count)
    )
    lose_connections(harness, lost_connections)
    light = [place_with_reported_load(harness, 0.02) for _ in range(4)]
    heavy, actions = place_with_reported_load(harness, 0.8)
    assert not any(light_actions for _, light_actions in light)
    assert [action.request_id for action in [*actions, *harness.tick()] if isinstance(action, Migrate)] == (
        [heavy.request_id] if migrates else []
    )
    assert not [action for action in harness.tick() if isinstance(action, Migrate)]  # each is asked once
    harness.end(heavy, Outcome.CANCELLED, finished=True)
    next_heavy, actions = place_with_reported_load(harness, 0.9)
    assert [action.request_id for action in actions if isinstance(action, Migrate)] == (
        [next_heavy.request_id] if migrates else []
    )
    assert not any(isinstance(action, Migrate) for action in place_with_reported_load(harness, 0.01)[1])
    # Loads change: a connection that becomes heavy migrates too, and one that stays light does not.
    for attempt, _ in light:
        harness.balancer.handle(harness.now, ConnectionLoadReported(attempt.request_id, attempt.server, 0.03))
    # One or two balancers rebalance the servers that they see.
    assert count <= 2 or not [action for action in harness.tick() if isinstance(action, Migrate)]


@pytest.mark.parametrize("cause", ["warming_up", "draining"])
@pytest.mark.parametrize(("count", "migrates"), [(1, False), (2, False), (200, True)])
def test_heaviest_connections_migrate_only_while_the_list_shows_a_capacity_shortage(count, migrates, cause):
    harness = BalancerHarness(large_fleet(60), replace(SESSION_GROUP_SETTINGS, balancer_count=count))
    light, heavy = (
        [place_with_reported_load(harness, 0.02)[0] for _ in range(6)],
        place_with_reported_load(harness, 0.8)[0],
    )
    for _ in range(3):
        assert not [action for action in harness.tick() if isinstance(action, Migrate)]
    unavailable = [
        make_endpoint(n, weight=2.0, state=ServerState.DRAINING)
        for n in range(60)
        if n not in {heavy.server} and n % 3 == 0
    ]
    harness.update_endpoints(
        *(
            unavailable
            if cause == "draining"
            else [replace(endpoint, state=ServerState.READY, started_at=harness.now) for endpoint in unavailable]
        )
    )
    migrated = {action.request_id for action in harness.tick() if isinstance(action, Migrate)}
    assert (heavy.request_id in migrated) is migrates and not migrated & {
        attempt.request_id for attempt in light if attempt.server % 3
    }
    actions = [harness.submit_request(load_hint=0.02, reconnecting=True)[0] for _ in range(200)]
    rejected_reconnects = sum(
        isinstance(action, Reject) and action.reason is RejectReason.RETRY_STORM for action in actions
    )
    assert (60 <= rejected_reconnects <= 150) if migrates else not rejected_reconnects
    assert not any(
        isinstance(harness.submit_request(load_hint=0.02)[0], Reject) for _ in range(50)
    )  # clients that are new
