"""Slow start: the limit on attempts of one balancer at a server that is warming up, against figures worked out by hand."""

from __future__ import annotations

import pytest
from helpers import SETTINGS, BalancerHarness, make_endpoint

from aspensaddle.core.actions import RejectReason
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
