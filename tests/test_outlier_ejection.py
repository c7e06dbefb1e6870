"""Outlier ejection: which servers get no attempts after failures, and when they are readmitted."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import BalancerHarness, entry
from lock_step import SESSION_GROUP_SETTINGS, large_fleet

from aspensaddle.core.actions import StartAttempt
from aspensaddle.core.events import ClientDisconnected, Outcome, ServerState
from aspensaddle.core.outlier_ejection import AVOIDANCE_SECONDS


def test_unreachable_server_is_ejected_and_gets_one_half_open_attempt():
    harness = BalancerHarness(3)
    (send,) = harness.ask()
    harness.end(send, Outcome.UNREACHABLE)
    assert all(harness.place().server != send.server for _ in range(9))
    harness.now += 2.0
    harness.tick(0.0)
    trials = [a for a in (harness.ask()[0] for _ in range(9)) if a.server == send.server]
    assert len(trials) == 1
    harness.end(trials[0], Outcome.UNREACHABLE)
    assert harness.balancer.servers[send.server].ejected_until > harness.now + 1.4  # backed off


def test_accepted_half_open_attempt_ends_the_ejection():
    harness = BalancerHarness(2)
    (send,) = harness.ask()
    harness.end(send, Outcome.UNREACHABLE)
    harness.now += 2.0
    harness.tick(0.0)
    while harness.place().server != send.server:
        pass
    assert harness.balancer.servers[send.server].consecutive_failures == 0


def test_server_that_drops_new_connections_is_ejected_until_one_holds():
    """Such a server carries no load, so that without ejection its turn would always come next."""
    harness = BalancerHarness(3)
    bad, sent = harness.place().server, 0
    for _ in range(10):
        for _ in range(10):
            send = harness.place()
            if send.server == bad:
                sent += 1
                harness.end(send, Outcome.CONNECTION_LOST, finished=True)
        harness.tick(1.0)
    assert 2 <= sent <= 12  # of 100; where the empty one is always due, about half
    harness.tick(20.0)
    while harness.place().server != bad:
        pass
    harness.tick(1.0)
    assert all(harness.place().server != bad for _ in range(6))  # whether it holds is still open
    harness.tick(1.5)
    assert harness.balancer.servers[bad].consecutive_failures == 0 and any(
        harness.place().server == bad for _ in range(60)
    )


def test_lost_old_connection_ejects_no_server():
    harness = BalancerHarness(2)
    sends = [harness.place() for _ in range(8)]
    harness.now += 10.0
    for send in sends:
        harness.end(send, Outcome.CONNECTION_LOST, finished=True)
    assert {harness.place().server for _ in range(4)} == {1, 2}


def test_server_that_fails_at_once_does_not_attract_every_turn():
    """A server that fails fast carries no load, so that by load alone it would always be chosen first."""
    harness = BalancerHarness(4)
    hits = 0
    for _ in range(40):
        (a,) = harness.ask()
        while a.server == 1:
            hits += 1
            (a,) = harness.end(a, Outcome.ERROR)
        harness.establish(a)
    assert hits <= 2


@pytest.mark.parametrize(("count", "shunned"), [(2, False), (200, True)])
def test_server_that_lost_a_connection_is_avoided_by_its_groups_for_a_while(count, shunned):
    """The server needs time to recover; otherwise all clients that it lost would reconnect to it."""
    leaving = [entry(n, weight=2.0, state=ServerState.DRAINING) for n in range(60, 70)]
    harness = BalancerHarness([*large_fleet(60), *leaving], replace(SESSION_GROUP_SETTINGS, balancer_count=count))
    first = harness.place(affinity_key=7, session_group=3)
    harness.tick(3.0)
    harness.end(first, Outcome.CONNECTION_LOST, finished=True)
    others = [harness.place(affinity_key=n, session_group=3).server for n in range(40)]
    assert (first.server not in others) is shunned
    for _ in range(16):
        harness.tick()
    assert not shunned or first.server in [
        harness.place(affinity_key=n, session_group=3).server for n in range(100, 160)
    ]


def servers_chosen_for_group(harness: BalancerHarness, group: int, keys: range) -> set[int]:
    """The servers of one request for each affinity key. Each request ends at once and leaves no load."""
    chosen = set()
    for key in keys:
        (attempt,) = harness.ask(affinity_key=key, session_group=group)
        assert isinstance(attempt, StartAttempt)
        chosen.add(attempt.server)
        harness.balancer.handle(harness.now, ClientDisconnected(attempt.request_id))
    return chosen


def harness_with_lost_connection(draining_servers: int) -> tuple[BalancerHarness, int]:
    """A harness whose first connection of group 3 was lost just now, and the server that lost it."""
    draining = [entry(60 + n, weight=2.0, state=ServerState.DRAINING) for n in range(draining_servers)]
    harness = BalancerHarness([*large_fleet(60), *draining], SESSION_GROUP_SETTINGS)
    connection = harness.place(affinity_key=7, session_group=3)
    harness.tick(3.0)  # it held, so that its loss is no failed attempt
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
    # Connections that stay, because without a shortage the group's least loaded server is chosen.
    assert server in {harness.place(affinity_key=key, session_group=3).server for key in range(100, 140)}
