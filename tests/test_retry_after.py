"""Retry-After of rejections."""

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


def test_retry_after_is_spread_and_bounded():
    harness = BalancerHarness(0)
    waits = {harness.ask()[0].retry_after for _ in range(10)}
    assert len(waits) == 10 and all(0 < w <= SETTINGS.limits.max_retry_after for w in waits)


def test_rejection_retry_after_is_drawn_between_the_earliest_and_the_longest():
    limits, random = SETTINGS.limits, Random(1)
    waits = [rejection_retry_after(limits, random) for _ in range(1000)]
    earliest, longest = MIN_RETRY_AFTER_FRACTION * limits.max_retry_after, limits.max_retry_after
    assert earliest <= min(waits) <= 1.05 * earliest
    assert 0.95 * longest <= max(waits) <= longest


@pytest.mark.parametrize(
    ("longest", "expected"),
    [(10.0, SHUTDOWN_RETRY_AFTER_SECONDS), (SHUTDOWN_RETRY_AFTER_SECONDS / 2, SHUTDOWN_RETRY_AFTER_SECONDS / 2)],
)
def test_shutdown_retry_after_is_fixed_but_no_longer_than_allowed(longest, expected):
    assert shutdown_retry_after(replace(SETTINGS.limits, max_retry_after=longest)) == expected


def test_retry_after_is_zero_where_the_settings_do_not_allow_it():
    limits = replace(SETTINGS.limits, retry_after_allowed=False)
    assert shutdown_retry_after(limits) == 0.0
    assert rejection_retry_after(limits, Random(1)) == 0.0
