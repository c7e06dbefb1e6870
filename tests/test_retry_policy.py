"""Retry policy: one final answer in time, and no second effect of a request."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import CLASS, SETTINGS, BalancerHarness, entry

from aspensaddle.core.actions import (
    Fail,
    Reject,
    StartAttempt,
)
from aspensaddle.core.events import (
    Outcome,
)
from aspensaddle.core.settings import DeduplicationScope, Idempotency, Limits

SAFE, KEYED, UNSAFE = 0, 1, 2


def two_attempts(harness: BalancerHarness, cls: int, outcome: Outcome):
    (send,) = harness.ask(cls=cls)
    (answer,) = harness.end(send, outcome)
    return send, answer


def test_attempts_are_bounded_where_every_server_rejects():
    harness = BalancerHarness(30)
    for _ in range(100):
        (a,) = harness.ask()
        sends = 0
        while isinstance(a, StartAttempt):
            sends += 1
            (a,) = harness.end(a, Outcome.REJECTED)
        assert isinstance(a, Reject) and sends == SETTINGS.limits.max_attempts


def test_attempt_timeout_is_the_time_left_of_the_client():
    harness = BalancerHarness(1)
    (send,) = harness.ask(left=1.2)
    assert send.timeout == pytest.approx(1.2)


def test_no_retry_after_the_deadline():
    harness = BalancerHarness(3)
    (send,) = harness.ask(left=1.0)
    harness.now += 1.0
    (answer,) = harness.end(send, Outcome.TIMED_OUT)
    assert isinstance(answer, (Fail, Reject))
    assert not harness.balancer.requests


def test_single_server_that_rejects_ends_in_a_rejection():
    harness = BalancerHarness(1)
    (action,) = harness.ask()
    sends = 1
    while isinstance(action, StartAttempt):
        (action,) = harness.end(action, Outcome.REJECTED)
        sends += 1
        assert sends < 20
    assert isinstance(action, Reject)


def test_no_more_attempts_than_allowed():
    harness = BalancerHarness(8, settings=replace(SETTINGS, limits=Limits(max_attempts=3)))
    (action,) = harness.ask()
    for _ in range(2):
        (action,) = harness.end(action, Outcome.UNREACHABLE)
        assert isinstance(action, StartAttempt)
    (action,) = harness.end(action, Outcome.UNREACHABLE)
    assert isinstance(action, Reject)


def test_established_connection_is_not_retried():
    harness = BalancerHarness(3)
    send = harness.place()
    assert harness.end(send, Outcome.CONNECTION_LOST, finished=True) == []
    assert not harness.balancer.requests


@pytest.mark.parametrize("outcome", [o for o in Outcome if o is not Outcome.OK])
def test_not_idempotent_request_is_retried_only_if_it_was_not_executed(outcome):
    _, answer = two_attempts(BalancerHarness(4), UNSAFE, outcome)
    assert isinstance(answer, StartAttempt if outcome.known_not_executed else Fail)


@pytest.mark.parametrize("group", list(DeduplicationScope))
def test_keyed_retry_stays_in_the_deduplication_scope_of_the_first_server(group):
    classes = (CLASS, replace(CLASS, idempotency=Idempotency.IDEMPOTENCY_KEY, deduplication_scope=group))
    servers = [entry(n, zone=n % 2, cell=n % 4) for n in range(8)]
    for seed in range(10):
        harness = BalancerHarness(servers, settings=replace(SETTINGS, classes=classes, zone_count=2), seed=seed)
        send, again = two_attempts(harness, KEYED, Outcome.TIMED_OUT)
        assert isinstance(again, StartAttempt)
        if group is DeduplicationScope.ZONE:
            assert again.server % 2 == send.server % 2
        if group is DeduplicationScope.CELL:
            assert again.server % 4 == send.server % 4


def test_keyed_request_is_not_retried_after_its_deduplication_window():
    classes = (
        CLASS,
        replace(
            CLASS,
            idempotency=Idempotency.IDEMPOTENCY_KEY,
            deduplication_scope=DeduplicationScope.ZONE,
            deduplication_window=0.5,
        ),
    )
    harness = BalancerHarness(4, settings=replace(SETTINGS, classes=classes))
    (send,) = harness.ask(cls=KEYED)
    harness.now += 0.5
    (answer,) = harness.end(send, Outcome.CONNECTION_LOST)
    assert isinstance(answer, Fail)


def test_possibly_executed_keyed_request_is_rejected_only_where_all_servers_deduplicate():
    for group, final in (
        (DeduplicationScope.ALL, Reject),
        (DeduplicationScope.ZONE, Fail),
        (DeduplicationScope.CELL, Fail),
    ):
        classes = (CLASS, replace(CLASS, idempotency=Idempotency.IDEMPOTENCY_KEY, deduplication_scope=group))
        harness = BalancerHarness(1, settings=replace(SETTINGS, classes=classes, limits=Limits(max_attempts=1)))
        _, answer = two_attempts(harness, KEYED, Outcome.ERROR)
        assert isinstance(answer, final)
