"""Slow responses: when the delays of a server's responses become a latency report."""

from dataclasses import replace

import pytest
from helpers import SETTINGS

from aspensaddle.core.slow_responses import REPORT_INTERVAL_SECONDS, SLOW_LATENCY_FRACTION, SlowResponseDetector

NOW = 1000.0
SERVER = 1
OBJECTIVE = SETTINGS.classes[0].message_latency_objective
SLOW = 2 * SLOW_LATENCY_FRACTION * OBJECTIVE
FAST = SLOW_LATENCY_FRACTION * OBJECTIVE / 2


def test_slow_response_is_reported_with_its_delay():
    assert SlowResponseDetector(SETTINGS).record(NOW, SERVER, SLOW) == pytest.approx(SLOW)


def test_fast_response_is_not_reported():
    assert SlowResponseDetector(SETTINGS).record(NOW, SERVER, FAST) is None


def test_delay_at_the_threshold_is_not_slow():
    detector = SlowResponseDetector(SETTINGS)
    assert detector.record(NOW, SERVER, SLOW_LATENCY_FRACTION * OBJECTIVE) is None


def test_each_server_is_reported_at_most_once_an_interval():
    detector = SlowResponseDetector(SETTINGS)
    assert detector.record(NOW, SERVER, SLOW) is not None
    assert detector.record(NOW + REPORT_INTERVAL_SECONDS - 0.001, SERVER, SLOW) is None
    assert detector.record(NOW + REPORT_INTERVAL_SECONDS - 0.001, SERVER + 1, SLOW) is not None
    assert detector.record(NOW + REPORT_INTERVAL_SECONDS, SERVER, SLOW) is not None


def test_one_late_response_does_not_make_a_server_slow():
    detector = SlowResponseDetector(SETTINGS)
    detector.record(NOW, SERVER, FAST)
    assert detector.record(NOW + 0.5, SERVER, FAST) is None
    assert detector.record(NOW + 0.6, SERVER, 100 * SLOW) is None
    assert detector.record(NOW + REPORT_INTERVAL_SECONDS, SERVER, FAST) is None


def test_recovery_of_a_slow_server_is_reported_once():
    detector = SlowResponseDetector(SETTINGS)
    detector.record(NOW, SERVER, SLOW)
    assert detector.record(NOW + 1.0, SERVER, FAST) == pytest.approx(FAST)
    assert detector.record(NOW + 2.0, SERVER, FAST) is None


def test_event_loop_lag_is_subtracted_and_halves_at_each_call():
    detector = SlowResponseDetector(SETTINGS)
    detector.record_event_loop_lag(SLOW)
    assert detector.record(NOW, SERVER, SLOW) is None
    detector.record_event_loop_lag(0.0)
    assert detector.record(NOW + 1.0, SERVER, 2 * SLOW) == pytest.approx(1.5 * SLOW)


def test_event_loop_lag_longer_than_the_delay_gives_a_latency_of_zero():
    detector = SlowResponseDetector(SETTINGS)
    detector.record(NOW, SERVER, SLOW)
    detector.record_event_loop_lag(10 * SLOW)
    assert detector.record(NOW + 1.0, SERVER, SLOW) == 0.0


def test_threshold_follows_the_shortest_objective_of_new_settings():
    detector = SlowResponseDetector(SETTINGS)
    strict = replace(SETTINGS.classes[0], message_latency_objective=OBJECTIVE / 10)
    detector.configure(replace(SETTINGS, classes=(*SETTINGS.classes, strict)))
    assert detector.record(NOW, SERVER, FAST) == pytest.approx(FAST)
