"""Request rate: an exponentially weighted moving average with a prior for a process that has just started."""

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


def test_smoothed_rate_is_one_request_per_second_at_the_start():
    assert RequestRate(SPAN_TICKS).smoothed() == pytest.approx(1.0)


def test_observed_rate_is_the_prior_at_the_start():
    assert RequestRate(SPAN_TICKS).observed() == pytest.approx(PRIOR_REQUESTS_PER_SECOND)


def test_each_request_raises_the_smoothed_rate_by_one_over_the_span():
    rate = RequestRate(SPAN_TICKS)
    rate.count()
    assert rate.smoothed() == pytest.approx(1.0 + 1 / SPAN_TICKS)


def test_smoothed_rate_falls_by_one_over_the_span_in_a_second_without_requests():
    assert rate_after(0, 1).smoothed() == pytest.approx(1 - 1 / SPAN_TICKS)


def test_both_rates_converge_to_the_rate_of_steady_traffic():
    rate = rate_after(40, seconds=200)
    assert rate.smoothed() == pytest.approx(40.0, rel=0.15)
    assert rate.observed() == pytest.approx(40.0, rel=0.15)


def test_observed_rate_approaches_the_rate_of_traffic_sooner_than_the_smoothed_rate():
    rate = rate_after(40, seconds=5)
    assert rate.smoothed() < 20.0 < rate.observed() < 45.0
