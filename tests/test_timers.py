"""The timer queue: when timers fire, and in which order."""

from aspensaddle.core.timers import TimerQueue


def test_empty_queue_has_no_due_time_and_fires_nothing():
    timers = TimerQueue()
    assert timers.next_due_at() is None
    assert list(timers.pop_due(1e9)) == []


def test_timers_fire_in_order_of_due_time_and_only_when_due():
    timers = TimerQueue()
    for due_at, timer in ((3.0, "late"), (1.0, "early"), (2.0, "middle")):
        timers.set(due_at, timer)
    assert timers.next_due_at() == 1.0
    assert list(timers.pop_due(0.999)) == []
    assert list(timers.pop_due(2.0)) == ["early", "middle"]  # a timer fires at its due time, not only after it
    assert timers.next_due_at() == 3.0


def test_timers_due_at_the_same_time_fire_in_the_order_in_which_they_were_set():
    timers = TimerQueue()
    for timer in ("z", "a", "m"):
        timers.set(1.0, timer)
    assert list(timers.pop_due(1.0)) == ["z", "a", "m"]


def test_timer_that_is_set_twice_fires_twice():
    timers = TimerQueue()
    timers.set(1.0, "tick")
    timers.set(1.0, "tick")
    assert list(timers.pop_due(1.0)) == ["tick", "tick"]


def test_timer_that_is_set_while_others_fire_also_fires_if_it_is_due():
    timers = TimerQueue()
    timers.set(1.0, "first")
    fired = []
    for timer in timers.pop_due(2.0):
        fired.append(timer)
        if timer == "first":
            timers.set(2.0, "due")
            timers.set(2.1, "not due")
    assert fired == ["first", "due"]
    assert timers.next_due_at() == 2.1
