"""Retry-After values of rejections."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest
from helpers import SETTINGS, BalancerHarness

from aspensaddle.core.retry_after import (
    MIN_RETRY_AFTER_FRACTION,
    SHUTDOWN_RETRY_AFTER_SECONDS,
    rejection_retry_after,
    shutdown_retry_after,
)


def test_retry_after_is_random_and_at_most_the_maximum():
    harness = BalancerHarness(0)
    retry_afters = {harness.submit_request()[0].retry_after for _ in range(10)}
    assert len(retry_afters) == 10 and all(0 < seconds <= SETTINGS.limits.max_retry_after for seconds in retry_afters)


def test_rejection_retry_after_is_drawn_between_its_minimum_and_maximum():
    limits, random = SETTINGS.limits, Random(1)
    retry_afters = [rejection_retry_after(limits, random) for _ in range(1000)]
    shortest, longest = MIN_RETRY_AFTER_FRACTION * limits.max_retry_after, limits.max_retry_after
    assert shortest <= min(retry_afters) <= 1.05 * shortest
    assert 0.95 * longest <= max(retry_afters) <= longest


@pytest.mark.parametrize(
    ("longest", "expected"),
    [(10.0, SHUTDOWN_RETRY_AFTER_SECONDS), (SHUTDOWN_RETRY_AFTER_SECONDS / 2, SHUTDOWN_RETRY_AFTER_SECONDS / 2)],
)
def test_shutdown_retry_after_is_fixed_but_at_most_the_maximum(longest, expected):
    assert shutdown_retry_after(replace(SETTINGS.limits, max_retry_after=longest)) == expected


def test_retry_after_is_zero_where_the_limits_do_not_allow_it():
    limits = replace(SETTINGS.limits, retry_after_allowed=False)
    assert shutdown_retry_after(limits) == 0.0
    assert rejection_retry_after(limits, Random(1)) == 0.0
