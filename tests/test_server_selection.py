"""Server selection: which server the next attempt of a request goes to."""

from dataclasses import replace

import pytest
from helpers import REQUEST_CLASS, SETTINGS, BalancerHarness, make_endpoint

from aspensaddle.core.events import Outcome, Request
from aspensaddle.core.request_state import RequestState
from aspensaddle.core.settings import DeduplicationScope, Idempotency, Settings


def request_of_class(class_index: int = 0) -> RequestState:
    return RequestState(Request("r1", class_index, 3.0), deadline=1003.0)


def may_attempt(harness: BalancerHarness, request: RequestState, server: int) -> bool:
    selection = harness.balancer.selection
    return selection.may_attempt(harness.now, request, harness.balancer.servers[server])


@pytest.mark.parametrize(("load", "allowed"), [(0.85, True), (0.86, False)])
def test_server_may_be_attempted_up_to_the_utilization_limit_of_its_reported_capacity(load, allowed):
    harness = BalancerHarness(1)
    server = harness.balancer.servers[1]
    server.reported.capacity = 1.0
    server.load = load
    request = request_of_class()
    request.utilization_limit = 0.85
    assert may_attempt(harness, request, 1) is allowed


def test_server_without_a_reported_capacity_has_no_utilization_limit():
    harness = BalancerHarness(1)
    harness.balancer.servers[1].load = 1000.0
    request = request_of_class()
    request.utilization_limit = 0.0
    assert may_attempt(harness, request, 1)


def test_server_outside_the_deduplication_scope_may_not_be_attempted():
    class_with_key = replace(
        REQUEST_CLASS, idempotency=Idempotency.IDEMPOTENCY_KEY, deduplication_scope=DeduplicationScope.ZONE
    )
    settings: Settings = replace(SETTINGS, classes=(class_with_key,), zone_count=2)
    harness = BalancerHarness(
        [make_endpoint(1, zone=0), make_endpoint(2, zone=0), make_endpoint(3, zone=1)], settings
    )
    request = request_of_class()
    request.possibly_executed_on = harness.balancer.servers[1]
    request.possibly_executed_at = harness.now
    assert [may_attempt(harness, request, server) for server in (1, 2, 3)] == [True, True, False]


def test_retry_goes_to_a_server_that_was_not_tried_while_one_is_left():
    harness = BalancerHarness(4)
    (attempt,) = harness.submit_request()
    tried = [attempt.server]
    for _ in range(3):
        (attempt,) = harness.end(attempt, Outcome.REJECTED)
        tried.append(attempt.server)
    assert sorted(tried) == [1, 2, 3, 4]


def test_slow_server_is_chosen_before_an_ejected_one():
    harness = BalancerHarness(2)
    harness.balancer.servers[1].slow_until = harness.now + 10.0
    harness.balancer.servers[2].consecutive_failures = 1
    harness.balancer.servers[2].ejected_until = harness.now + 10.0
    harness.rebuild_rotation()
    assert {harness.place().server for _ in range(10)} == {1}


def test_ejected_server_is_chosen_if_no_other_is_left():
    harness = BalancerHarness(1)
    harness.balancer.servers[1].consecutive_failures = 1
    harness.balancer.servers[1].ejected_until = harness.now + 10.0
    harness.rebuild_rotation()
    assert harness.place().server == 1
