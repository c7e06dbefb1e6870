"""Retry-After of rejections."""

from __future__ import annotations

from helpers import SETTINGS, BalancerHarness


def test_retry_after_is_spread_and_bounded():
    harness = BalancerHarness(0)
    waits = {harness.ask()[0].retry_after for _ in range(10)}
    assert len(waits) == 10 and all(0 < w <= SETTINGS.limits.max_retry_after for w in waits)
