"""Request rate: an exponentially weighted mean with a prior for a process that has just started."""

import pytest

from aspensaddle.core.request_rate import PRIOR_REQUESTS_PER_SECOND, RequestRate

SPAN_TICKS = 10.0


def rate_after(requests_per_second: int, seconds: int) -> RequestRate:
    rate = RequestRate(SPAN_TICKS)
    for _ in range(seconds):
        for _ in range(requests_per_second):
            rate.count()
        rate.tick()
    return rate


def test_one_request_per_second_is_assumed_before_the_start():
    assert RequestRate(SPAN_TICKS).smoothed() == pytest.approx(1.0)


def test_observed_rate_is_the_prior_before_any_request():
    assert RequestRate(SPAN_TICKS).observed() == pytest.approx(PRIOR_REQUESTS_PER_SECOND)


def test_each_request_raises_the_smoothed_rate_by_its_part_of_the_span():
    rate = RequestRate(SPAN_TICKS)
    rate.count()
    assert rate.smoothed() == pytest.approx(1.0 + 1 / SPAN_TICKS)


def test_a_second_without_requests_lowers_the_smoothed_rate():
    assert rate_after(0, 1).smoothed() == pytest.approx(1 - 1 / SPAN_TICKS)


def test_both_rates_converge_to_a_steady_rate():
    rate = rate_after(40, seconds=200)
    assert rate.smoothed() == pytest.approx(40.0, rel=0.15)
    assert rate.observed() == pytest.approx(40.0, rel=0.15)


def test_observed_rate_leaves_the_prior_sooner_than_the_smoothed_rate_leaves_one():
    rate = rate_after(40, seconds=5)
    assert rate.smoothed() < 20.0 < rate.observed() < 45.0
