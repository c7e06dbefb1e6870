"""Retry policy: every request gets one final action in time and never takes effect twice."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import REQUEST_CLASS, SETTINGS, BalancerHarness, make_endpoint

from aspensaddle.core.actions import Fail, Reject, RejectReason, StartAttempt
from aspensaddle.core.events import Outcome, Request
from aspensaddle.core.request_state import RequestState
from aspensaddle.core.retry_policy import attempts_exhausted, give_up_reason, may_retry_on
from aspensaddle.core.server_state import Server
from aspensaddle.core.settings import DeduplicationScope, Idempotency, Limits, RequestClass

IDEMPOTENT_CLASS, KEYED_CLASS, NOT_IDEMPOTENT_CLASS = 0, 1, 2  # class indexes; keyed: with an idempotency key


def attempt_and_next_action(harness: BalancerHarness, class_index: int, outcome: Outcome):
    """Start a request and end its first attempt; return that attempt and the action that follows."""
    (attempt,) = harness.submit_request(class_index=class_index)
    (action,) = harness.end(attempt, outcome)
    return attempt, action


def test_attempts_are_bounded_where_every_server_rejects():
    harness = BalancerHarness(30)
    for _ in range(100):
        (action,) = harness.submit_request()
        attempts = 0
        while isinstance(action, StartAttempt):
            attempts += 1
            (action,) = harness.end(action, Outcome.REJECTED)
        assert isinstance(action, Reject) and attempts == SETTINGS.limits.max_attempts


def test_attempt_timeout_is_the_time_left_of_the_request():
    harness = BalancerHarness(1)
    (attempt,) = harness.submit_request(time_left=1.2)
    assert attempt.timeout == pytest.approx(1.2)


def test_request_is_not_retried_after_its_deadline():
    harness = BalancerHarness(3)
    (attempt,) = harness.submit_request(time_left=1.0)
    harness.now += 1.0
    (action,) = harness.end(attempt, Outcome.TIMED_OUT)
    assert isinstance(action, (Fail, Reject))
    assert not harness.balancer.requests


def test_request_is_rejected_where_the_only_server_rejects_it():
    harness = BalancerHarness(1)
    (action,) = harness.submit_request()
    attempts = 1
    while isinstance(action, StartAttempt):
        (action,) = harness.end(action, Outcome.REJECTED)
        attempts += 1
        assert attempts < 20
    assert isinstance(action, Reject)


def test_request_is_rejected_after_the_maximum_number_of_attempts():
    harness = BalancerHarness(8, settings=replace(SETTINGS, limits=Limits(max_attempts=3)))
    (action,) = harness.submit_request()
    for _ in range(2):
        (action,) = harness.end(action, Outcome.UNREACHABLE)
        assert isinstance(action, StartAttempt)
    (action,) = harness.end(action, Outcome.UNREACHABLE)
    assert isinstance(action, Reject)


def test_established_connection_is_not_retried():
    harness = BalancerHarness(3)
    attempt = harness.place()
    assert harness.end(attempt, Outcome.CONNECTION_LOST, finished=True) == []
    assert not harness.balancer.requests


@pytest.mark.parametrize("outcome", [member for member in Outcome if member is not Outcome.OK])
def test_not_idempotent_request_is_retried_only_if_it_was_not_executed(outcome):
    _, action = attempt_and_next_action(BalancerHarness(4), NOT_IDEMPOTENT_CLASS, outcome)
    assert isinstance(action, StartAttempt if outcome.known_not_executed else Fail)


@pytest.mark.parametrize("scope", list(DeduplicationScope))
def test_keyed_retry_stays_in_the_deduplication_scope_of_the_first_server(scope):
    classes = (
        REQUEST_CLASS,
        replace(REQUEST_CLASS, idempotency=Idempotency.IDEMPOTENCY_KEY, deduplication_scope=scope),
    )
    servers = [make_endpoint(n, zone=n % 2, cell=n % 4) for n in range(8)]
    for seed in range(10):
        harness = BalancerHarness(servers, settings=replace(SETTINGS, classes=classes, zone_count=2), seed=seed)
        attempt, retry = attempt_and_next_action(harness, KEYED_CLASS, Outcome.TIMED_OUT)
        assert isinstance(retry, StartAttempt)
        if scope is DeduplicationScope.ZONE:
            assert retry.server % 2 == attempt.server % 2
        if scope is DeduplicationScope.CELL:
            assert retry.server % 4 == attempt.server % 4


def test_keyed_request_is_not_retried_after_its_deduplication_window():
    classes = (
        REQUEST_CLASS,
        replace(
            REQUEST_CLASS,
            idempotency=Idempotency.IDEMPOTENCY_KEY,
            deduplication_scope=DeduplicationScope.ZONE,
            deduplication_window=0.5,
        ),
    )
    harness = BalancerHarness(4, settings=replace(SETTINGS, classes=classes))
    (attempt,) = harness.submit_request(class_index=KEYED_CLASS)
    harness.now += 0.5
    (action,) = harness.end(attempt, Outcome.CONNECTION_LOST)
    assert isinstance(action, Fail)


def test_possibly_executed_keyed_request_is_rejected_only_where_all_servers_deduplicate():
    for scope, expected_type in (
        (DeduplicationScope.ALL, Reject),
        (DeduplicationScope.ZONE, Fail),
        (DeduplicationScope.CELL, Fail),
    ):
        classes = (
            REQUEST_CLASS,
            replace(REQUEST_CLASS, idempotency=Idempotency.IDEMPOTENCY_KEY, deduplication_scope=scope),
        )
        harness = BalancerHarness(1, settings=replace(SETTINGS, classes=classes, limits=Limits(max_attempts=1)))
        _, action = attempt_and_next_action(harness, KEYED_CLASS, Outcome.ERROR)
        assert isinstance(action, expected_type)


FIRST_SERVER = Server(make_endpoint(1, zone=0, cell=0), 0.0)
SAME_CELL = Server(make_endpoint(2, zone=0, cell=0), 0.0)
SAME_ZONE = Server(make_endpoint(3, zone=0, cell=1), 0.0)
OTHER_ZONE = Server(make_endpoint(4, zone=1, cell=2), 0.0)


def possibly_executed_request(executed_at: float = 0.0) -> RequestState:
    """Return a request whose attempt at `FIRST_SERVER` may have been executed."""
    request = RequestState(Request("r1", 0, 3.0), deadline=3.0)
    request.possibly_executed_on = FIRST_SERVER
    request.possibly_executed_at = executed_at
    return request


def keyed_class(scope: DeduplicationScope, window: float = 5.0) -> RequestClass:
    return replace(
        REQUEST_CLASS, idempotency=Idempotency.IDEMPOTENCY_KEY, deduplication_scope=scope, deduplication_window=window
    )


@pytest.mark.parametrize("idempotency", list(Idempotency))
def test_request_may_be_retried_anywhere_until_an_attempt_may_have_been_executed(idempotency):
    request = RequestState(Request("r1", 0, 3.0), deadline=3.0)
    assert may_retry_on(1.0, request, replace(REQUEST_CLASS, idempotency=idempotency), OTHER_ZONE)


@pytest.mark.parametrize(
    ("scope", "allowed"),
    [
        (DeduplicationScope.ALL, [FIRST_SERVER, SAME_CELL, SAME_ZONE, OTHER_ZONE]),
        (DeduplicationScope.ZONE, [FIRST_SERVER, SAME_CELL, SAME_ZONE]),
        (DeduplicationScope.CELL, [FIRST_SERVER, SAME_CELL]),
    ],
)
def test_possibly_executed_keyed_request_may_be_retried_within_its_deduplication_scope(scope, allowed):
    request = possibly_executed_request()
    servers = [FIRST_SERVER, SAME_CELL, SAME_ZONE, OTHER_ZONE]
    assert [server for server in servers if may_retry_on(1.0, request, keyed_class(scope), server)] == allowed


@pytest.mark.parametrize("scope", list(DeduplicationScope))
def test_keyed_request_may_be_retried_only_before_the_end_of_its_deduplication_window(scope):
    request = possibly_executed_request(executed_at=10.0)
    request_class = keyed_class(scope, window=0.5)
    assert may_retry_on(10.499, request, request_class, FIRST_SERVER)
    assert not may_retry_on(10.5, request, request_class, FIRST_SERVER)


def test_possibly_executed_request_may_be_retried_anywhere_if_idempotent_and_nowhere_if_not():
    request = possibly_executed_request()
    not_idempotent = replace(REQUEST_CLASS, idempotency=Idempotency.NOT_IDEMPOTENT)
    assert may_retry_on(100.0, request, REQUEST_CLASS, OTHER_ZONE)
    assert not may_retry_on(0.0, request, not_idempotent, FIRST_SERVER)


def test_give_up_reason_is_exhausted_attempts_then_the_deadline_then_the_missing_server():
    limits = Limits(max_attempts=2)
    request = possibly_executed_request()
    request.no_server_reason = RejectReason.SLOW_START_LIMIT
    request.attempts = 1
    assert not attempts_exhausted(request, limits)
    assert give_up_reason(request, 1.0, limits) is RejectReason.SLOW_START_LIMIT
    assert give_up_reason(request, 0.0, limits) is RejectReason.DEADLINE_EXCEEDED
    request.attempts = 2
    assert attempts_exhausted(request, limits)
    assert give_up_reason(request, 0.0, limits) is RejectReason.ATTEMPTS_EXHAUSTED
