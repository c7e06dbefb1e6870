"""Load accounting: what each server carries."""

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
    """The mean load is unknown at the start. Normalized loads computed with the initial guess are not kept."""
    for seed in range(5):
        harness = BalancerHarness(4, seed=seed)
        for n in range(20):
            send = harness.place()
            harness.balancer.handle(
                harness.now, ConnectionLoadReported(send.request_id, send.server, 0.01 + 0.002 * (n % 5))
            )
        held = [len(s.connections) for s in harness.balancer.servers.values()]
        assert max(held) <= 8, held


def test_session_groups_of_a_server_count_as_load():
    harness = BalancerHarness(2, settings=replace(SETTINGS, session_groups=True))
    groups = [harness.place(session_group=n, load_hint=0.1) for n in range(8)]
    held = {n: len(s.session_groups) for n, s in harness.balancer.servers.items()}
    (most, least) = sorted(held, key=lambda n: -held[n])
    for send in groups:
        if send.server == least:
            harness.end(send, Outcome.OK, finished=True)
    assert not harness.balancer.servers[least].session_groups
    here = held[most]  # each costs three mean loads and its own
    assert all(harness.place(load_hint=0.1).server == least for _ in range(4 * here - 2))


def test_mean_load_of_zero_is_valid():
    harness = BalancerHarness(2)
    send = harness.place()
    harness.balancer.handle(harness.now, ConnectionLoadReported(send.request_id, send.server, 0.0))
    assert isinstance(harness.place(), StartAttempt)


def test_adopted_connections_count_as_load_until_they_end():
    harness = BalancerHarness(2)
    harness.balancer.handle(harness.now, ConnectionAdopted(Request("a", 0, 0.0, load_hint=5.0), 1))
    assert [harness.place(load_hint=1.0).server for _ in range(4)] == [2] * 4
    harness.balancer.handle(harness.now, AttemptEnded("a", 0, 1, Outcome.CANCELLED, finished=True))
    assert harness.balancer.servers[1].load == 0


def test_reported_load_replaces_the_hint():
    harness = BalancerHarness(2)
    send = harness.place(load_hint=1.0)
    harness.balancer.handle(harness.now, ConnectionLoadReported(send.request_id, send.server, 4.0))
    assert harness.balancer.servers[send.server].load == 4.0


def test_load_is_released_when_the_client_disconnects():
    harness = BalancerHarness(2)
    send = harness.place()
    harness.balancer.handle(harness.now, ClientDisconnected(send.request_id))
    assert harness.balancer.servers[send.server].load == 0 and not harness.balancer.requests
