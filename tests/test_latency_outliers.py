"""Latency outliers: servers with a high message latency get no new connections for a time."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import SETTINGS, BalancerHarness
from lock_step import (
    LOAD,
    MANY_BALANCERS,
    MESSAGE_LATENCY_OBJECTIVE,
    SERVER_COUNT,
    DiscoveryHarness,
    endpoint_entry,
    harnesses_in_lock_step,
    place_on_each,
    report_latency,
)

from aspensaddle.core.actions import Reject, StartAttempt
from aspensaddle.core.events import Outcome, ServerLatencyReported
from aspensaddle.core.latency_outliers import SLOW_SECONDS
from aspensaddle.core.passive_measurement import rejection_rank


def test_slow_server_gets_no_new_connections_and_ranks_as_failing():
    harness = BalancerHarness(4)
    attempts = [harness.place() for _ in range(8)]
    slow = attempts[0].server
    harness.balancer.handle(harness.now, ServerLatencyReported(attempts[0].request_id, slow, 0.03))
    assert all(harness.place().server != slow for _ in range(8))
    assert rejection_rank(harness.balancer.servers[slow]) > (0.0, 0)
    # A latency below the threshold ends the mark.
    harness.balancer.handle(harness.now, ServerLatencyReported(attempts[0].request_id, slow, 0.01))
    assert any(harness.place().server == slow for _ in range(8))


def test_slow_servers_that_lost_all_connections_still_count_as_slow():
    """Guards against an overload that is no longer detected once the connections that reported it are lost."""
    harness = BalancerHarness(6)
    attempts = [harness.place() for _ in range(6)]
    for attempt in attempts[:5]:
        harness.balancer.handle(harness.now, ServerLatencyReported(attempt.request_id, attempt.server, 0.06))
        harness.end(attempt, Outcome.CONNECTION_LOST, finished=True)
    harness.tick()
    assert isinstance(harness.submit_request()[0], Reject)


@pytest.mark.parametrize("count", [2, MANY_BALANCERS])
def test_slow_server_without_connections_gets_no_more_attempts_from_many_balancers_than_from_few(count):
    """A balancer without connections at the server learns only by its own attempt that it is still slow."""
    harnesses, seconds, attempt_count = (
        harnesses_in_lock_step(settings=replace(SETTINGS, balancer_count=count), count=count),
        60,
        0,
    )
    for harness in harnesses:
        report_latency(harness, 3, MESSAGE_LATENCY_OBJECTIVE)
    for _ in range(seconds):
        for harness, attempt in place_on_each(harnesses, 3):
            attempt_count += 1
            report_latency(harness, 3, MESSAGE_LATENCY_OBJECTIVE)
            harness.end(attempt, Outcome.CANCELLED)
        for harness in harnesses:
            harness.tick()
    assert 0 < attempt_count <= 2.5 * seconds / SLOW_SECONDS


@pytest.mark.parametrize("count", [2, MANY_BALANCERS])
def test_mark_of_a_server_with_connections_ends_with_its_slow_reports(count):
    """A balancer that gets reports does not keep the mark longer because there are many balancers."""
    harness = BalancerHarness(SERVER_COUNT, replace(SETTINGS, balancer_count=count))
    attempts = [harness.place(load_hint=LOAD) for _ in range(3 * SERVER_COUNT)]
    assert sum(attempt.server == 3 for attempt in attempts) > 1
    report_latency(harness, 3, MESSAGE_LATENCY_OBJECTIVE / 2)
    harness.tick()
    assert harness.balancer.servers[3].slow_until > harness.now and not harness.balancer.servers[3].is_available
    for _ in range(3):
        harness.tick()
    assert harness.balancer.servers[3].connections and harness.balancer.servers[3].is_available


@pytest.mark.parametrize("count", [1, 3, 40, 230])
@pytest.mark.parametrize("other_connections", [0, 1])
def test_balancer_with_few_connections_does_not_reject_all_because_of_one_slow_server(count, other_connections):
    """Of requests 0.1 s apart, fewer than 40 in a row are rejected."""
    harness = DiscoveryHarness([endpoint_entry(n) for n in range(60)], count)
    action = [harness.finish_request() for _ in range(1 + other_connections)][0]
    harness.balancer.handle(harness.now, ServerLatencyReported(action.request_id, action.server, 0.5))
    harness.end(action, Outcome.CANCELLED, finished=True)  # migrated
    rejected_in_a_row = 0
    for step in range(400):
        if not step % 10:
            harness.tick(0.0)
        harness.now += 0.1
        final_action = harness.finish_request()
        rejected_in_a_row = 0 if isinstance(final_action, StartAttempt) else rejected_in_a_row + 1
        assert rejected_in_a_row < 40
        if isinstance(final_action, StartAttempt):
            harness.end(final_action, finished=True)
