"""Latency outliers: servers with a high message latency get nothing new for a time."""

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
    harnesses_in_lock_step,
    listed_target,
    place_on_each,
    report_latency,
)

from aspensaddle.core.actions import Reject, StartAttempt
from aspensaddle.core.events import Outcome, ServerLatencyReported
from aspensaddle.core.latency_outliers import SLOW_SECONDS
from aspensaddle.core.passive_measurement import rejection_rank


def test_slow_server_gets_no_new_connections_and_ranks_as_failing():
    harness = BalancerHarness(4)
    sends = [harness.place() for _ in range(8)]
    slow = sends[0].server
    harness.balancer.handle(harness.now, ServerLatencyReported(sends[0].request_id, slow, 0.03))
    assert all(harness.place().server != slow for _ in range(8))
    assert rejection_rank(harness.balancer.servers[slow]) > (0.0, 0)
    harness.balancer.handle(harness.now, ServerLatencyReported(sends[0].request_id, slow, 0.01))  # back under
    assert any(harness.place().server == slow for _ in range(8))


def test_slow_servers_that_lost_all_connections_still_count_as_slow():
    """An overload is still detected after the connections that reported it were lost."""
    harness = BalancerHarness(6)
    sends = [harness.place() for _ in range(6)]
    for s in sends[:5]:
        harness.balancer.handle(harness.now, ServerLatencyReported(s.request_id, s.server, 0.06))
        harness.end(s, Outcome.CONNECTION_LOST, finished=True)
    harness.tick()
    assert isinstance(harness.submit_request()[0], Reject)


@pytest.mark.parametrize("count", [2, MANY_BALANCERS])
def test_empty_slow_server_gets_as_many_trials_from_many_balancers_as_from_few(count):
    """A balancer without connections there learns only by its own attempt that the server is still slow."""
    harnesses, seconds, tries = (
        harnesses_in_lock_step(settings=replace(SETTINGS, balancer_count=count), count=count),
        60,
        0,
    )
    for harness in harnesses:
        report_latency(harness, 3, MESSAGE_LATENCY_OBJECTIVE)
    for _ in range(seconds):
        for harness, send in place_on_each(harnesses, 3):
            tries += 1
            report_latency(harness, 3, MESSAGE_LATENCY_OBJECTIVE)
            harness.end(send, Outcome.CANCELLED)
        for harness in harnesses:
            harness.tick()
    assert 0 < tries <= 2.5 * seconds / SLOW_SECONDS


@pytest.mark.parametrize("count", [2, MANY_BALANCERS])
def test_server_with_connections_is_slow_no_longer_than_its_reports_say(count):
    """A balancer that gets reports does not extend the slow time for the number of balancers."""
    harness = BalancerHarness(SERVER_COUNT, replace(SETTINGS, balancer_count=count))
    sends = [harness.place(load_hint=LOAD) for _ in range(3 * SERVER_COUNT)]
    assert sum(s.server == 3 for s in sends) > 1
    report_latency(harness, 3, MESSAGE_LATENCY_OBJECTIVE / 2)
    harness.tick()
    assert harness.balancer.servers[3].slow_until > harness.now and not harness.balancer.servers[3].is_available
    for _ in range(3):
        harness.tick()
    assert harness.balancer.servers[3].connections and harness.balancer.servers[3].is_available


@pytest.mark.parametrize("count", [1, 3, 40, 230])
@pytest.mark.parametrize("others", [0, 1])
def test_one_slow_server_does_not_make_a_balancer_of_few_connections_reject_all(count, others):
    """Fewer than 40 requests in a row, 0.1 s apart, are rejected."""
    harness = DiscoveryHarness([listed_target(n) for n in range(60)], count)
    action = [harness.ends() for _ in range(1 + others)][0]
    harness.balancer.handle(harness.now, ServerLatencyReported(action.request_id, action.server, 0.5))
    harness.end(action, Outcome.CANCELLED, finished=True)  # moved
    turned = 0  # on end
    for step in range(400):
        if not step % 10:
            harness.tick(0.0)
        harness.now += 0.1
        end = harness.ends()
        turned = 0 if isinstance(end, StartAttempt) else turned + 1
        assert turned < 40
        if isinstance(end, StartAttempt):
            harness.end(end, finished=True)
