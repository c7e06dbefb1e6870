"""Outlier ejection: which servers get no attempts after failures, and when they are readmitted."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import BalancerHarness, make_endpoint
from lock_step import SESSION_GROUP_SETTINGS, large_fleet

from aspensaddle.core.actions import StartAttempt
from aspensaddle.core.events import ClientDisconnected, Outcome, ServerState
from aspensaddle.core.outlier_ejection import AVOIDANCE_SECONDS


def test_unreachable_server_is_ejected_and_gets_one_half_open_attempt():
    harness = BalancerHarness(3)
    (attempt,) = harness.submit_request()
    harness.end(attempt, Outcome.UNREACHABLE)
    assert all(harness.place().server != attempt.server for _ in range(9))
    harness.now += 2.0
    harness.tick(0.0)
    half_open_attempts = [
        action for action in (harness.submit_request()[0] for _ in range(9)) if action.server == attempt.server
    ]
    assert len(half_open_attempts) == 1
    harness.end(half_open_attempts[0], Outcome.UNREACHABLE)
    assert harness.balancer.servers[attempt.server].ejected_until > harness.now + 1.4  # the second ejection is longer


def test_accepted_half_open_attempt_ends_the_ejection():
    harness = BalancerHarness(2)
    (attempt,) = harness.submit_request()
    harness.end(attempt, Outcome.UNREACHABLE)
    harness.now += 2.0
    harness.tick(0.0)
    while harness.place().server != attempt.server:
        pass
    assert harness.balancer.servers[attempt.server].consecutive_failures == 0


def test_server_that_drops_new_connections_is_ejected_until_one_holds():
    """Such a server carries no load, so without ejection it would always be next in the rotation."""
    harness = BalancerHarness(3)
    dropping, attempt_count = harness.place().server, 0
    for _ in range(10):
        for _ in range(10):
            attempt = harness.place()
            if attempt.server == dropping:
                attempt_count += 1
                harness.end(attempt, Outcome.CONNECTION_LOST, finished=True)
        harness.tick(1.0)
    assert 2 <= attempt_count <= 12  # of 100; without ejection about half
    harness.tick(20.0)
    while harness.place().server != dropping:
        pass
    harness.tick(1.0)
    # The new connection has not held for long enough.
    assert all(harness.place().server != dropping for _ in range(6))
    harness.tick(1.5)
    assert harness.balancer.servers[dropping].consecutive_failures == 0 and any(
        harness.place().server == dropping for _ in range(60)
    )


def test_lost_old_connection_ejects_no_server():
    harness = BalancerHarness(2)
    attempts = [harness.place() for _ in range(8)]
    harness.now += 10.0
    for attempt in attempts:
        harness.end(attempt, Outcome.CONNECTION_LOST, finished=True)
    assert {harness.place().server for _ in range(4)} == {1, 2}


def test_server_that_fails_at_once_is_not_chosen_for_every_request():
    """A server that fails at once carries no load, so by load alone it would always be chosen first."""
    harness = BalancerHarness(4)
    failures = 0
    for _ in range(40):
        (action,) = harness.submit_request()
        while action.server == 1:
            failures += 1
            (action,) = harness.end(action, Outcome.ERROR)
        harness.establish(action)
    assert failures <= 2


@pytest.mark.parametrize(("count", "avoided"), [(2, False), (200, True)])
def test_server_that_lost_a_connection_is_avoided_by_its_session_groups_for_a_time(count, avoided):
    """Guards against clients that all reconnect to the server that lost them before it has recovered."""
    draining = [make_endpoint(n, weight=2.0, state=ServerState.DRAINING) for n in range(60, 70)]
    harness = BalancerHarness([*large_fleet(60), *draining], replace(SESSION_GROUP_SETTINGS, balancer_count=count))
    first = harness.place(affinity_key=7, session_group=3)
    harness.tick(3.0)
    harness.end(first, Outcome.CONNECTION_LOST, finished=True)
    chosen = [harness.place(affinity_key=n, session_group=3).server for n in range(40)]
    assert (first.server not in chosen) is avoided
    for _ in range(16):
        harness.tick()
    assert not avoided or first.server in [
        harness.place(affinity_key=n, session_group=3).server for n in range(100, 160)
    ]


def servers_chosen_for_group(harness: BalancerHarness, group: int, keys: range) -> set[int]:
    """Return the servers of one request for each affinity key. Each request ends at once and leaves no load."""
    chosen = set()
    for key in keys:
        (attempt,) = harness.submit_request(affinity_key=key, session_group=group)
        assert isinstance(attempt, StartAttempt)
        chosen.add(attempt.server)
        harness.balancer.handle(harness.now, ClientDisconnected(attempt.request_id))
    return chosen


def harness_with_lost_connection(draining_servers: int) -> tuple[BalancerHarness, int]:
    """Return a harness that has just lost its only connection of session group 3, and the server that lost it."""
    draining = [make_endpoint(60 + n, weight=2.0, state=ServerState.DRAINING) for n in range(draining_servers)]
    harness = BalancerHarness([*large_fleet(60), *draining], SESSION_GROUP_SETTINGS)
    connection = harness.place(affinity_key=7, session_group=3)
    harness.tick(3.0)  # the connection holds, so its loss does not count as a failed attempt
    harness.end(connection, Outcome.CONNECTION_LOST, finished=True)
    return harness, connection.server


def test_server_that_lost_a_connection_during_a_shortage_is_avoided_for_exactly_15_seconds():
    harness, server = harness_with_lost_connection(draining_servers=10)
    lost_at = harness.now
    assert harness.balancer.state.shortage.missing_fraction > 0
    assert AVOIDANCE_SECONDS == 15.0
    for elapsed, avoided in ((0.0, True), (14.999, True), (15.0, False)):
        harness.now = lost_at + elapsed
        chosen = servers_chosen_for_group(harness, group=3, keys=range(100, 200))
        assert (server not in chosen) is avoided, elapsed


def test_server_that_lost_a_connection_without_a_shortage_is_not_avoided():
    harness, server = harness_with_lost_connection(draining_servers=0)
    assert harness.balancer.state.shortage.missing_fraction == 0
    # These connections stay open: without a shortage the group's least loaded server is chosen, which changes with load.
    assert server in {harness.place(affinity_key=key, session_group=3).server for key in range(100, 140)}
