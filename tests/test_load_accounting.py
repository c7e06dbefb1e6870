"""Load accounting: the load of each server."""

from __future__ import annotations

from dataclasses import replace

from helpers import SETTINGS, BalancerHarness

from aspensaddle.core.actions import StartAttempt
from aspensaddle.core.events import (
    AttemptEnded,
    ClientDisconnected,
    ConnectionAdopted,
    ConnectionLoadReported,
    Outcome,
    Request,
)


def test_first_reported_loads_do_not_make_servers_without_reports_look_loaded():
    """The mean load is a guess at the start. Normalized loads computed with it must not stay in the rotation."""
    for seed in range(5):
        harness = BalancerHarness(4, seed=seed)
        for n in range(20):
            attempt = harness.place()
            harness.balancer.handle(
                harness.now, ConnectionLoadReported(attempt.request_id, attempt.server, 0.01 + 0.002 * (n % 5))
            )
        connection_counts = [len(record.connections) for record in harness.balancer.servers.values()]
        assert max(connection_counts) <= 8, connection_counts


def test_each_session_group_of_a_server_adds_its_cost_to_the_load():
    harness = BalancerHarness(2, settings=replace(SETTINGS, session_groups=True))
    attempts = [harness.place(session_group=group, load_hint=0.1) for group in range(8)]
    group_counts = {server_id: len(record.session_groups) for server_id, record in harness.balancer.servers.items()}
    (loaded_server, emptied_server) = sorted(group_counts, key=lambda server_id: -group_counts[server_id])
    for attempt in attempts:
        if attempt.server == emptied_server:
            harness.end(attempt, Outcome.OK, finished=True)
    assert not harness.balancer.servers[emptied_server].session_groups
    # Each session group adds three mean loads and the load of its connection.
    group_count = group_counts[loaded_server]
    assert all(harness.place(load_hint=0.1).server == emptied_server for _ in range(4 * group_count - 2))


def test_mean_load_of_zero_does_not_prevent_new_attempts():
    harness = BalancerHarness(2)
    attempt = harness.place()
    harness.balancer.handle(harness.now, ConnectionLoadReported(attempt.request_id, attempt.server, 0.0))
    assert isinstance(harness.place(), StartAttempt)


def test_adopted_connections_count_as_load_until_they_end():
    harness = BalancerHarness(2)
    harness.balancer.handle(harness.now, ConnectionAdopted(Request("a", 0, 0.0, load_hint=5.0), 1))
    assert [harness.place(load_hint=1.0).server for _ in range(4)] == [2] * 4
    harness.balancer.handle(harness.now, AttemptEnded("a", 0, 1, Outcome.CANCELLED, finished=True))
    assert harness.balancer.servers[1].load == 0


def test_reported_load_of_a_connection_replaces_its_load_hint():
    harness = BalancerHarness(2)
    attempt = harness.place(load_hint=1.0)
    harness.balancer.handle(harness.now, ConnectionLoadReported(attempt.request_id, attempt.server, 4.0))
    assert harness.balancer.servers[attempt.server].load == 4.0


def test_load_of_a_connection_is_removed_when_its_client_disconnects():
    harness = BalancerHarness(2)
    attempt = harness.place()
    harness.balancer.handle(harness.now, ClientDisconnected(attempt.request_id))
    assert harness.balancer.servers[attempt.server].load == 0 and not harness.balancer.requests
