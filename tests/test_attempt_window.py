"""Attempt window: counts by slot, and their sums."""

from aspensaddle.core.attempt_window import WINDOW_SLOTS, AttemptWindow


def test_sums_count_attempts_of_all_slots_and_those_accepted():
    window = AttemptWindow()
    window.count(0, accepted=True)
    window.count(0, accepted=False)
    window.count(WINDOW_SLOTS - 1, accepted=True)
    assert (window.sends, window.accepts) == (3, 2)


def test_clearing_a_slot_reduces_the_sums_and_returns_whether_any_attempt_is_left():
    window = AttemptWindow()
    window.count(0, accepted=True)
    window.count(1, accepted=False)
    assert window.clear(0)
    assert (window.sends, window.accepts) == (1, 0)
    assert not window.clear(1)
    assert (window.sends, window.accepts) == (0, 0)


def test_clearing_a_slot_again_changes_nothing():
    window = AttemptWindow()
    window.count(0, accepted=True)
    window.count(1, accepted=True)
    window.clear(0)
    assert window.clear(0)
    assert (window.sends, window.accepts) == (1, 1)
