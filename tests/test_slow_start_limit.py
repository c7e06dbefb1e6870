"""Slow start: the limit on attempts of one balancer at a server that is warming up, against figures worked out by hand."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest
from helpers import LARGE_FLEET, MAX_SERVERS_PER_SEARCH, SETTINGS, BalancerHarness, make_endpoint, record_calls

from aspensaddle.core.actions import Reject, RejectReason, StartAttempt
from aspensaddle.core.events import Request
from aspensaddle.core.request_state import RequestState
from aspensaddle.core.slow_start import SlowStart


def half_warm_harness() -> BalancerHarness:
    """Return a balancer with server 1 half through its slow start, server 2 warm, and a mean load of 0.01 cores.

    The limit of server 1 is 3.0 (overload multiple) * 0.6 (capacity fraction) / 20 s = 0.09 cores per second.
    """
    harness = BalancerHarness([make_endpoint(1, started_at=1000.0), make_endpoint(2)])
    harness.balancer.state.load_samples = 100
    harness.balancer.state.mean_load = 0.01
    harness.now = 1000.0 + SETTINGS.rules.slow_start_duration / 2
    return harness


def exceeds_limit(harness: BalancerHarness, server: int, draw: float) -> tuple[bool, RejectReason]:
    """Return whether an attempt would exceed the limit, and the reason that the request then holds."""
    request = RequestState(Request("r1", 0, 3.0), deadline=harness.now + 3.0)
    request.slow_start_draw = draw
    state = harness.balancer.state
    is_over_limit = SlowStart(state).exceeds_limit(harness.now, request, state.servers[server])
    return is_over_limit, request.no_server_reason


def test_attempt_at_a_warm_server_is_never_limited():
    harness = half_warm_harness()
    assert exceeds_limit(harness, server=2, draw=1.0) == (False, RejectReason.NO_AVAILABLE_SERVER)
    harness.now = 1000.0 + SETTINGS.rules.slow_start_duration
    assert exceeds_limit(harness, server=1, draw=1.0) == (False, RejectReason.NO_AVAILABLE_SERVER)


@pytest.mark.parametrize(("draw", "is_over_limit"), [(0.59, False), (0.61, True)])
def test_requests_over_the_limit_of_a_warming_server_are_limited_at_random(draw, is_over_limit):
    """Of the offered 10 requests per second of 0.01 cores each, 1.5 times all count as meant for this server.

    That is an offered load rate of 0.15 cores per second, of which the limit of 0.09 allows the part 0.6.
    """
    reason = RejectReason.SLOW_START_LIMIT if is_over_limit else RejectReason.NO_AVAILABLE_SERVER
    assert exceeds_limit(half_warm_harness(), server=1, draw=draw) == (is_over_limit, reason)


@pytest.mark.parametrize(("elapsed", "is_over_limit"), [(0.22, True), (0.23, False)])
def test_attempt_at_a_warming_server_is_limited_until_the_minimum_interval_has_passed(elapsed, is_over_limit):
    """At 0.09 cores per second, two connections of 0.01 cores each take 0.222 s."""
    harness = half_warm_harness()
    harness.balancer.servers[1].last_attempt_at = harness.now - elapsed
    assert exceeds_limit(harness, server=1, draw=1e-9)[0] is is_over_limit


@pytest.mark.parametrize("group", [None, 3])
def test_request_over_every_limit_is_rejected_without_a_search(group, monkeypatch):
    """Guards against a search of all servers for each request after a restart of a whole large fleet."""
    settings = replace(SETTINGS, balancer_count=200, session_groups=True)
    endpoints = [make_endpoint(number, weight=2.0, started_at=999.0) for number in range(LARGE_FLEET)]
    harness = BalancerHarness(endpoints, settings)
    examined = record_calls(monkeypatch, SlowStart, "exceeds_limit")
    rejected = 0
    for _ in range(30):
        examined.clear()
        (action,) = harness.submit_request(load_hint=0.05, session_group=group)
        rejected += isinstance(action, Reject)
        assert len(examined) <= MAX_SERVERS_PER_SEARCH
    assert rejected >= 20


@pytest.mark.parametrize("seed", range(12))
def test_rejection_without_a_search_is_that_of_the_search(seed, monkeypatch):
    """Servers of any age and weight; some become warm, join or leave while requests come."""

    def play():
        rng, actions = Random(seed), []
        settings = replace(SETTINGS, balancer_count=rng.choice([1, 3, 40, 230]))
        harness = BalancerHarness([], settings, seed=seed)
        for step in range(300):
            if step < 12 or rng.random() < 0.4:
                started_at = 0.0 if seed % 2 and rng.random() < 0.02 else harness.now - rng.uniform(-2.0, 12.0)
                harness.update_endpoints(
                    make_endpoint(rng.randrange(16), weight=rng.uniform(0.2, 3.0), started_at=started_at)
                )
            if rng.random() < 0.02:
                harness.withdraw_server(rng.randrange(16))
            harness.now += rng.uniform(0.0, 0.3)
            if step % 4 == 0:
                harness.tick(0.0)
            (action,) = harness.submit_request(load_hint=0.05)
            actions.append(action)
            if isinstance(action, StartAttempt):
                harness.establish(action)
        return actions

    with_shortcut = play()
    monkeypatch.setattr(SlowStart, "exceeds_every_limit", lambda *args: False)
    assert with_shortcut == play()
