"""Slow start: the limit on attempts of one balancer at a server that warms up, by figures worked out by hand."""

from __future__ import annotations

import pytest
from helpers import SETTINGS, BalancerHarness, make_endpoint

from aspensaddle.core.actions import RejectReason
from aspensaddle.core.events import Request
from aspensaddle.core.request_state import RequestState
from aspensaddle.core.slow_start import SlowStart


def half_warm_harness() -> BalancerHarness:
    """Server 1 half through its slow start, server 2 warm, and connections of a hundredth of a core.

    The limit of server 1 is 3.0 (overload multiple) * 0.6 (warmth) / 20 s = 0.09 of a core per second.
    """
    harness = BalancerHarness([make_endpoint(1, started_at=1000.0), make_endpoint(2)])
    harness.balancer.state.load_samples = 100
    harness.balancer.state.mean_load = 0.01
    harness.now = 1000.0 + SETTINGS.rules.slow_start_duration / 2
    return harness


def holds_back(harness: BalancerHarness, server: int, draw: float) -> tuple[bool, RejectReason]:
    request = RequestState(Request("r1", 0, 3.0), deadline=harness.now + 3.0)
    request.slow_start_draw = draw
    state = harness.balancer.state
    held_back = SlowStart(state).holds_back(harness.now, request, state.servers[server])
    return held_back, request.no_server_reason


def test_warm_server_is_never_held_back():
    harness = half_warm_harness()
    assert holds_back(harness, server=2, draw=1.0) == (False, RejectReason.NO_AVAILABLE_SERVER)
    harness.now = 1000.0 + SETTINGS.rules.slow_start_duration
    assert holds_back(harness, server=1, draw=1.0) == (False, RejectReason.NO_AVAILABLE_SERVER)


@pytest.mark.parametrize(("draw", "held_back"), [(0.59, False), (0.61, True)])
def test_requests_over_the_limit_of_a_warming_server_are_held_back_by_chance(draw, held_back):
    """Offered are 10 requests a second of 0.01 of a core, 1.5 parts of them to this server: 0.6 of it is allowed."""
    reason = RejectReason.SLOW_START_LIMIT if held_back else RejectReason.NO_AVAILABLE_SERVER
    assert holds_back(half_warm_harness(), server=1, draw=draw) == (held_back, reason)


@pytest.mark.parametrize(("elapsed", "held_back"), [(0.22, True), (0.23, False)])
def test_attempts_at_a_warming_server_keep_an_interval(elapsed, held_back):
    """Two connections of 0.01 of a core take 0.222 s at 0.09 of a core per second."""
    harness = half_warm_harness()
    harness.balancer.servers[1].last_attempt_at = harness.now - elapsed
    assert holds_back(harness, server=1, draw=1e-9)[0] is held_back
